"""Final answers of jobs for their callers."""

import enum
from dataclasses import dataclass

from cuminstack.core import JobKey
from cuminstack.pool import JobState


class Failure(enum.Enum):
    """Reason why a job was ended without a result of its tasks.

    Attributes:
        deadline: Its caller has stopped waiting.
        no_dispatcher: No dispatcher was in touch.
        interrupted: Tasks that an earlier dispatcher started may have run.
        leaving: Its entry is about to end.
        useless: Its answer could not be useful to the caller any more.
    """

    deadline = 'deadline'
    no_dispatcher = 'no_dispatcher'
    interrupted = 'interrupted'
    leaving = 'leaving'
    useless = 'useless'


@dataclass(frozen=True, slots=True)
class Completed:
    """The job ran and ended in this state."""

    state: JobState


@dataclass(frozen=True, slots=True)
class NotRun:
    """The job was refused: none of its tasks has run or will run.

    Args:
        reason: Reason of the refusal, as the value of an enum member.
        retry_after: Seconds after which the job may be accepted.
    """

    reason: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """It isn't known which of the job's tasks ran."""

    failure: Failure


Answer = Completed | NotRun | MayHaveRun


@dataclass(frozen=True, slots=True)
class Answered:
    """The final answer for the caller of a job."""

    job: JobKey
    answer: Answer
