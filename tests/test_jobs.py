"""The life of jobs: starts at most once, and true outcomes."""

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
    Complete,
    Failed,
    FailureReason,
    FreeSlot,
    JobBook,
    JobEnded,
    JobRequest,
    OutcomeStore,
    Queue,
    RefusalReason,
    Refused,
    SendStart,
    StartEnd,
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


class Book:
    """A job book, its clock, and the effects of each kind so far."""

    def __init__(self, max_bytes: int = 10_000) -> None:
        outcomes = OutcomeStore(lifetime=60, max_bytes=max_bytes)
        self.book = JobBook(OWN, outcomes)
        self.first = 0
        self.now = 100.0
        self.effects: list[Any] = []

    def open(self, tasks: int = 2, within: float = 10) -> None:
        self.effects.extend(
            self.book.open(request(tasks, within), now=self.now),
        )
        # Attempts are counted from 1 in these tests.
        self.first = self.of(Queue)[-1].tasks[0].task.attempt - 1

    def start(self, index: int, attempt: int = 1) -> None:
        effects = self.book.start(
            self.task(index, attempt),
            ENDPOINT,
            now=self.now,
        )
        self.effects.extend(effects)

    def finish(
        self,
        index: int,
        end: StartEnd,
        attempt: int = 1,
        answer: bytes = b'',
    ) -> None:
        effects = self.book.finish(
            self.task(index, attempt),
            ENDPOINT,
            end,
            answer=answer,
            now=self.now,
        )
        self.effects.extend(effects)

    def task(self, index: int, attempt: int = 1) -> TaskId:
        return TaskId(JOB, index, self.first + attempt)

    def of(self, kind: type[Any]) -> list[Any]:
        return [each for each in self.effects if isinstance(each, kind)]

    @property
    def outcome(self) -> Any:
        ended = self.of(JobEnded)
        assert len(ended) == 1
        return ended[0].outcome


class TestComplete:
    """The answer is whole and in task order."""

    def test_task_order(self) -> None:
        book = Book()
        book.open()
        book.start(1)
        book.start(0)
        book.finish(1, StartEnd.answered, answer=b'"b"')
        assert not book.of(JobEnded)
        book.finish(0, StartEnd.answered, answer=b'"a"')
        assert book.outcome == Complete((b'"a"', b'"b"'))

    def test_second_answer_is_dropped(self) -> None:
        book = Book()
        book.open()
        book.start(0)
        book.finish(0, StartEnd.answered, answer=b'1')
        book.finish(0, StartEnd.answered, answer=b'2')
        assert book.book.strays.counts[StartEnd.answered] == 1
        book.start(1)
        book.finish(1, StartEnd.answered, answer=b'3')
        assert book.outcome == Complete((b'1', b'3'))


class TestStarts:
    """Each attempt is sent once, and a task anew only if it never ran."""

    def test_same_attempt_is_sent_once(self) -> None:
        book = Book()
        book.open()
        book.start(0)
        book.start(0)
        assert len(book.of(SendStart)) == 1
        assert book.of(FreeSlot) == [FreeSlot(book.task(0), ENDPOINT, False)]

    def test_not_started_is_tried_again(self) -> None:
        book = Book()
        book.open(1)
        book.start(0)
        book.finish(0, StartEnd.not_started)
        again = book.of(Queue)[-1].tasks[0].task
        assert again == book.task(0, 2)
        book.start(0, 2)
        book.finish(0, StartEnd.answered, 2, b'1')
        assert book.outcome == Complete((b'1',))

    def test_unknown_is_never_sent_again(self) -> None:
        book = Book()
        book.open()
        book.start(0)
        book.start(1)
        book.finish(0, StartEnd.unknown)
        assert book.outcome.reason is FailureReason.task_unknown
        assert book.of(StopStarted) == [StopStarted(ENDPOINT, (book.task(1),))]
        assert len(book.of(SendStart)) == 2

    def test_bound_on_retries(self) -> None:
        book = Book()
        book.open(1)
        attempt = 0
        while not book.of(JobEnded):
            attempt += 1
            assert attempt < 100
            book.start(0, attempt)
            book.finish(0, StartEnd.not_started, attempt)
        assert book.outcome.reason is RefusalReason.not_started

    def test_deadline_stops_starts(self) -> None:
        book = Book()
        book.open(within=1)
        book.now += 2
        book.start(0)
        assert not book.of(SendStart)


class TestGivingUp:
    """Refused only if nothing may have run, else failed."""

    def test_refused_before_a_start(self) -> None:
        book = Book()
        book.open()
        book.effects.extend(book.book.cancel(JOB, now=book.now))
        assert isinstance(book.outcome, Refused)
        assert book.of(Withdraw) == [Withdraw((book.task(0), book.task(1)))]

    def test_failed_after_a_start(self) -> None:
        book = Book()
        book.open()
        book.start(0)
        book.effects.extend(book.book.cancel(JOB, now=book.now))
        assert book.outcome == Failed(FailureReason.cancelled)

    def test_failed_after_an_answer(self) -> None:
        book = Book()
        book.open(within=5)
        book.start(0)
        book.finish(0, StartEnd.answered, answer=b'1')
        book.now += 5
        book.effects.extend(book.book.tick(now=book.now))
        assert book.outcome == Failed(FailureReason.deadline_passed)

    def test_refused_after_not_started(self) -> None:
        book = Book()
        book.open(1, within=5)
        book.start(0)
        book.finish(0, StartEnd.not_started)
        book.now += 5
        book.effects.extend(book.book.tick(now=book.now))
        assert book.outcome.reason is RefusalReason.deadline_passed

    def test_queued_count_returns_to_zero(self) -> None:
        book = Book()
        book.open(5)
        book.start(0)
        book.start(1)
        book.finish(0, StartEnd.not_started)
        assert book.book.queued_of(JOB.member) == 4
        book.finish(1, StartEnd.failed)
        assert book.book.queued_of(JOB.member) == 0


class TestRuns:
    """A job that runs again shares no task id with its earlier run."""

    def test_attempts_differ(self) -> None:
        book = Book()
        book.open(1)
        first = book.task(0)
        book.effects.extend(book.book.cancel(JOB, now=book.now))
        book.open(1)
        assert book.task(0) != first


class TestOutcomes:
    """Outcomes are kept within bounds, and never turn into a new run."""

    def test_expires(self) -> None:
        book = Book()
        book.open(1)
        book.start(0)
        book.finish(0, StartEnd.answered, answer=b'1')
        assert book.book.ended(JOB) is not None
        book.book.tick(now=book.now + 61)
        assert book.book.ended(JOB) is None

    def test_answers_over_the_bound_are_dropped(self) -> None:
        book = Book(max_bytes=1000)
        book.open(1)
        book.start(0)
        book.finish(0, StartEnd.answered, answer=b'1' * 2000)
        kept = book.book.ended(JOB)
        assert kept is not None
        assert kept.outcome == Failed(FailureReason.outcome_expired)
