"""Tests of jobs: each task starts at most once, outcomes are correct."""

from typing import Any

from cuminstack.core import (
    EndpointId,
    Instance,
    InstanceId,
    JobId,
    JobKey,
    MemberName,
    ServiceName,
    ServiceRef,
    TaskId,
    ZoneName,
)
from cuminstack.jobs import (
    AttemptOutcome,
    Complete,
    EnqueueTasks,
    Failed,
    FailureReason,
    FreeSlot,
    JobEnded,
    JobRequest,
    JobTracker,
    OutcomeStore,
    RefusalReason,
    Refused,
    SendStart,
    StopStarted,
    TaskSpec,
    Withdraw,
)

JOB = JobId(MemberName('tkemali'), JobKey('order-1'))
SERVICE = ServiceRef(MemberName('tkemali'), ServiceName('order-desk'))
OWN = Instance(InstanceId('a1'), ZoneName('a'), 1, '127.0.0.1:1', '127.0.0.1:2')
ENDPOINT = EndpointId('e1')


def request(tasks: int = 2, within: float = 10) -> JobRequest:
    return JobRequest(
        job=JOB,
        service=SERVICE,
        tasks=tuple(TaskSpec(b'%d' % index) for index in range(tasks)),
        idempotent=True,
        within=within,
        digest=b'digest',
    )


class JobHarness:
    """Drives a `JobTracker` with a fake clock and collects its effects."""

    def __init__(self, max_bytes: int = 10_000) -> None:
        outcomes = OutcomeStore(lifetime=60, max_bytes=max_bytes)
        self.tracker = JobTracker(OWN, outcomes)
        self.attempt_offset = 0
        self.now = 100.0
        self.effects: list[Any] = []

    def accept(self, tasks: int = 2, within: float = 10) -> None:
        self.effects.extend(
            self.tracker.accept(request(tasks, within), now=self.now),
        )
        # These tests number attempts from 1; the tracker does not.
        self.attempt_offset = (
            self.effects_of(EnqueueTasks)[-1].tasks[0].task.attempt - 1
        )

    def start(self, index: int, attempt: int = 1) -> None:
        effects = self.tracker.start(
            self.task(index, attempt),
            ENDPOINT,
            now=self.now,
        )
        self.effects.extend(effects)

    def finish(
        self,
        index: int,
        end: AttemptOutcome,
        attempt: int = 1,
        answer: bytes = b'',
    ) -> None:
        effects = self.tracker.finish(
            self.task(index, attempt),
            ENDPOINT,
            end,
            answer=answer,
            now=self.now,
        )
        self.effects.extend(effects)

    def task(self, index: int, attempt: int = 1) -> TaskId:
        return TaskId(JOB, index, self.attempt_offset + attempt)

    def effects_of(self, kind: type[Any]) -> list[Any]:
        return [each for each in self.effects if isinstance(each, kind)]

    @property
    def outcome(self) -> Any:
        ended = self.effects_of(JobEnded)
        assert len(ended) == 1
        return ended[0].outcome


class TestComplete:
    """A complete job has all answers, in task order."""

    def test_answers_in_task_order(self) -> None:
        harness = JobHarness()
        harness.accept()
        harness.start(1)
        harness.start(0)
        harness.finish(1, AttemptOutcome.answered, answer=b'"b"')
        assert not harness.effects_of(JobEnded)
        harness.finish(0, AttemptOutcome.answered, answer=b'"a"')
        assert harness.outcome == Complete((b'"a"', b'"b"'))

    def test_duplicate_answer_is_ignored(self) -> None:
        harness = JobHarness()
        harness.accept()
        harness.start(0)
        harness.finish(0, AttemptOutcome.answered, answer=b'1')
        harness.finish(0, AttemptOutcome.answered, answer=b'2')
        assert (
            harness.tracker.unmatched_results.counts[AttemptOutcome.answered]
            == 1
        )
        harness.start(1)
        harness.finish(1, AttemptOutcome.answered, answer=b'3')
        assert harness.outcome == Complete((b'1', b'3'))


class TestStarts:
    """An attempt is sent once; a task is retried only if it never ran."""

    def test_same_attempt_is_sent_once(self) -> None:
        harness = JobHarness()
        harness.accept()
        harness.start(0)
        harness.start(0)
        assert len(harness.effects_of(SendStart)) == 1
        assert harness.effects_of(FreeSlot) == [
            FreeSlot(harness.task(0), ENDPOINT, False)
        ]

    def test_not_started_is_retried(self) -> None:
        harness = JobHarness()
        harness.accept(1)
        harness.start(0)
        harness.finish(0, AttemptOutcome.not_started)
        retried = harness.effects_of(EnqueueTasks)[-1].tasks[0].task
        assert retried == harness.task(0, 2)
        harness.start(0, 2)
        harness.finish(0, AttemptOutcome.answered, 2, b'1')
        assert harness.outcome == Complete((b'1',))

    def test_unknown_is_not_retried(self) -> None:
        harness = JobHarness()
        harness.accept()
        harness.start(0)
        harness.start(1)
        harness.finish(0, AttemptOutcome.unknown)
        assert harness.outcome.reason is FailureReason.task_unknown
        assert harness.effects_of(StopStarted) == [
            StopStarted(ENDPOINT, (harness.task(1),))
        ]
        assert len(harness.effects_of(SendStart)) == 2

    def test_retries_are_limited(self) -> None:
        harness = JobHarness()
        harness.accept(1)
        attempt = 0
        while not harness.effects_of(JobEnded):
            attempt += 1
            assert attempt < 100
            harness.start(0, attempt)
            harness.finish(0, AttemptOutcome.not_started, attempt)
        assert harness.outcome.reason is RefusalReason.not_started

    def test_no_start_after_deadline(self) -> None:
        harness = JobHarness()
        harness.accept(within=1)
        harness.now += 2
        harness.start(0)
        assert not harness.effects_of(SendStart)


class TestIncompleteJobs:
    """A job is refused only if no task may have run, and failed otherwise."""

    def test_refused_if_nothing_started(self) -> None:
        harness = JobHarness()
        harness.accept()
        harness.effects.extend(harness.tracker.cancel(JOB, now=harness.now))
        assert isinstance(harness.outcome, Refused)
        assert harness.effects_of(Withdraw) == [
            Withdraw((harness.task(0), harness.task(1)))
        ]

    def test_failed_if_a_task_started(self) -> None:
        harness = JobHarness()
        harness.accept()
        harness.start(0)
        harness.effects.extend(harness.tracker.cancel(JOB, now=harness.now))
        assert harness.outcome == Failed(FailureReason.cancelled)

    def test_failed_if_a_task_was_answered(self) -> None:
        harness = JobHarness()
        harness.accept(within=5)
        harness.start(0)
        harness.finish(0, AttemptOutcome.answered, answer=b'1')
        harness.now += 5
        harness.effects.extend(harness.tracker.tick(now=harness.now))
        assert harness.outcome == Failed(FailureReason.deadline_passed)

    def test_refused_if_no_attempt_started(self) -> None:
        harness = JobHarness()
        harness.accept(1, within=5)
        harness.start(0)
        harness.finish(0, AttemptOutcome.not_started)
        harness.now += 5
        harness.effects.extend(harness.tracker.tick(now=harness.now))
        assert harness.outcome.reason is RefusalReason.deadline_passed

    def test_queued_count_returns_to_zero(self) -> None:
        harness = JobHarness()
        harness.accept(5)
        harness.start(0)
        harness.start(1)
        harness.finish(0, AttemptOutcome.not_started)
        assert harness.tracker.queued_of(JOB.member) == 4
        harness.finish(1, AttemptOutcome.failed)
        assert harness.tracker.queued_of(JOB.member) == 0


class TestRepeatedRuns:
    """Two runs of one job have no task id in common."""

    def test_attempt_numbers_differ(self) -> None:
        harness = JobHarness()
        harness.accept(1)
        first = harness.task(0)
        harness.effects.extend(harness.tracker.cancel(JOB, now=harness.now))
        harness.accept(1)
        assert harness.task(0) != first


class TestOutcomes:
    """Stored outcomes expire, and their memory is limited."""

    def test_outcome_expires(self) -> None:
        harness = JobHarness()
        harness.accept(1)
        harness.start(0)
        harness.finish(0, AttemptOutcome.answered, answer=b'1')
        assert harness.tracker.ended(JOB) is not None
        harness.tracker.tick(now=harness.now + 61)
        assert harness.tracker.ended(JOB) is None

    def test_answers_over_the_limit_are_discarded(self) -> None:
        harness = JobHarness(max_bytes=1000)
        harness.accept(1)
        harness.start(0)
        harness.finish(0, AttemptOutcome.answered, answer=b'1' * 2000)
        stored = harness.tracker.ended(JOB)
        assert stored is not None
        assert stored.outcome == Failed(FailureReason.outcome_expired)
