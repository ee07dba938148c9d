"""Admission requests, verdicts and reasons for refusal.

The text of a reason is the detail of a refusal in responses and in the log,
so the names of its class and fields are part of that output.
"""

from dataclasses import dataclass
from typing import Protocol

from cuminstack.core import MemberName, Needs, ServiceRef


class RandomSource(Protocol):
    """Source of random numbers, such as a seeded `random.Random`."""

    def random(self) -> float:
        """Return a random number in the range from 0 to below 1."""


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """The properties of a job that determine whether it is admitted.

    Args:
        service: Service that runs the tasks of the job.
        tasks: Number of tasks.
        needs: The distinct resource requirements of the tasks.
        expected: Declared run time of a task, in seconds; 0 if none was
            declared.
        deadline: Longest time that the job may take, in seconds; None for
            no limit.
        retry: Whether the job is known to be a resend.
    """

    service: ServiceRef
    tasks: int
    needs: tuple[Needs, ...] = ()
    expected: float = 0
    deadline: float | None = None
    retry: bool = False


@dataclass(frozen=True, slots=True)
class MemberBound:
    """Queue limit of a member in the configuration sheet.

    Args:
        max_queued: Maximum number of tasks that wait or run at once; 0 for
            no limit.
    """

    max_queued: int = 0


@dataclass(frozen=True, slots=True)
class Unrunnable:
    """A task needs more resources than any endpoint of its service offers."""

    needs: Needs


@dataclass(frozen=True, slots=True)
class OverClaim:
    """A task needs more resources than the sheet lets its service claim."""

    needs: Needs
    claim: Needs


@dataclass(frozen=True, slots=True)
class UnknownMember:
    """The sheet in force has no such member."""

    member: MemberName


@dataclass(frozen=True, slots=True)
class NoEndpoint:
    """No endpoint of the service is known and serving at present."""

    service: ServiceRef


@dataclass(frozen=True, slots=True)
class QueueFull:
    """The job would exceed the queue limit of its member."""

    queued: int
    bound: int


@dataclass(frozen=True, slots=True)
class DeadlineTooSoon:
    """The estimated end, `likely` seconds from now, is after the deadline."""

    likely: float


@dataclass(frozen=True, slots=True)
class RetryBudgetSpent:
    """The member has made more resends than its successes allow."""


@dataclass(frozen=True, slots=True)
class Overloaded:
    """The event loop of this instance lags by `lag` seconds."""

    lag: float


Reason = (
    Unrunnable
    | OverClaim
    | UnknownMember
    | NoEndpoint
    | QueueFull
    | DeadlineTooSoon
    | RetryBudgetSpent
    | Overloaded
)


@dataclass(frozen=True, slots=True)
class Admit:
    """The job is admitted; its tasks count as queued until it is settled."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """The job is not admitted, and none of its tasks was run.

    Args:
        reason: Why the job was refused.
        retry_after: Seconds after which a retry can succeed; None if a
            retry can't help.
    """

    reason: Reason
    retry_after: float | None = None


Verdict = Admit | Refuse
