"""What the caller of a job may be told."""

import enum
from dataclasses import dataclass

from cuminstack.core import JobKey
from cuminstack.pool import JobState


class Failure(enum.Enum):
    """Why a job has no answer of its tasks."""

    deadline = 'deadline'
    no_dispatcher = 'no_dispatcher'
    interrupted = 'interrupted'
    leaving = 'leaving'


@dataclass(frozen=True, slots=True)
class Completed:
    """The job ran, and this is how it ended."""

    state: JobState


@dataclass(frozen=True, slots=True)
class NotRun:
    """None of its tasks ran, nor will.

    Args:
        reason: Why, as a word.
        retry_after: Seconds after which it may be taken.
    """

    reason: str
    retry_after: float


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """It is not known how much of it ran."""

    failure: Failure


Answer = Completed | NotRun | MayHaveRun


@dataclass(frozen=True, slots=True)
class Answered:
    """The final answer for the caller of a job."""

    job: JobKey
    answer: Answer
