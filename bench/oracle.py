"""Checks the outcomes of jobs against what the endpoints really started."""

import enum
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from cuminstack.core import JobId, JobKey, MemberName, TaskId


class OutcomeKind(enum.Enum):
    """What a caller was told of its job."""

    complete = 'complete'
    refused = 'refused'
    failed = 'failed'
    unanswered = 'unanswered'


@dataclass(frozen=True, slots=True)
class Told:
    """What a caller was told of one submission.

    Args:
        member: Whose job it was.
        key: Its idempotency key.
        tasks: How many tasks it has.
        kind: The kind of outcome.
        whole: Whether each answer is that of its task; true where the
            outcome holds no answers, as it must then.
    """

    member: str
    key: str
    tasks: int
    kind: OutcomeKind
    whole: bool


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken promise.

    Args:
        promise: Which.
        subject: The task or job.
        found: What was seen.
    """

    promise: str
    subject: str
    found: str


class Oracle:
    """The starts of a run, from the start logs of all its endpoints."""

    def __init__(self, start_logs: Iterable[Mapping[str, Any]]) -> None:
        logs = list(start_logs)
        started = [TaskId.parse(text) for log in logs for text in log['starts']]
        self._attempts = Counter(started)
        self._tasks = Counter((task.job, task.index) for task in started)
        self._jobs = Counter(task.job for task in started)
        self._duplicates = [text for log in logs for text in log['duplicates']]

    @property
    def starts(self) -> int:
        """Give how many starts there were."""
        return self._attempts.total()

    def starts_of(self, member: str, key: str) -> int:
        """Give how many starts there were for a job."""
        return self._jobs[JobId(MemberName(member), JobKey(key))]

    def check(self, told: Sequence[Told]) -> tuple[Violation, ...]:
        """Give every broken promise."""
        return (
            *self._started_twice(),
            *self._sent_twice(),
            *(fault for one in told for fault in self._check_one(one)),
        )

    def _started_twice(self) -> Iterable[Violation]:
        for (job, index), count in self._tasks.items():
            if count > 1:
                subject = f'{job.member}/{job.key}/{index}'
                yield Violation('at most one start', subject, f'{count} starts')

    def _sent_twice(self) -> Iterable[Violation]:
        for text in self._duplicates:
            yield Violation('no task id sent twice', text, 'sent again')

    def _check_one(self, told: Told) -> Iterable[Violation]:
        starts = self.starts_of(told.member, told.key)
        subject = f'{told.member}/{told.key}'
        if not told.whole:
            yield Violation('whole answers', subject, 'wrong or partial')
        if told.kind is OutcomeKind.complete and starts != told.tasks:
            found = f'{starts} starts of {told.tasks}'
            yield Violation('complete means each task ran', subject, found)
        if told.kind is OutcomeKind.refused and starts:
            found = f'{starts} starts'
            yield Violation('not run means no start', subject, found)
