"""Requests for admission, verdicts, and the reasons to refuse."""

from dataclasses import dataclass
from typing import Protocol

from cuminstack.core import MemberName, Needs, ServiceRef


class Chance(Protocol):
    """A seeded source of chance, such as `random.Random`."""

    def random(self) -> float:
        """Give a number from 0 to below 1."""


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """A job that asks to be let in.

    Args:
        service: What it is a job of.
        tasks: How many tasks it has.
        needs: The different needs of its tasks.
        expected: Declared run time of a task, in seconds; 0 if none.
        deadline: Time that it may take, in seconds; none for any.
        retry: Whether it is known to be sent again.
    """

    service: ServiceRef
    tasks: int
    needs: tuple[Needs, ...] = ()
    expected: float = 0
    deadline: float | None = None
    retry: bool = False


@dataclass(frozen=True, slots=True)
class MemberBound:
    """What the sheet allows a member to have in the queue.

    Args:
        max_queued: Tasks that wait or run at once; 0 for no bound.
    """

    max_queued: int = 0


@dataclass(frozen=True, slots=True)
class Unrunnable:
    """No endpoint of the service could ever hold a task."""

    needs: Needs


@dataclass(frozen=True, slots=True)
class OverClaim:
    """A task needs more than the member may claim."""

    needs: Needs
    claim: Needs


@dataclass(frozen=True, slots=True)
class UnknownMember:
    """The sheet in force names no such member."""

    member: MemberName


@dataclass(frozen=True, slots=True)
class NoEndpoint:
    """No endpoint of the service is known at present."""

    service: ServiceRef


@dataclass(frozen=True, slots=True)
class QueueFull:
    """The member has as many tasks in the queue as it may."""

    queued: int
    bound: int


@dataclass(frozen=True, slots=True)
class DeadlineTooSoon:
    """The job would end too late; `likely` is when, in seconds from now."""

    likely: float


@dataclass(frozen=True, slots=True)
class RetryBudgetSpent:
    """The member resends more than its successes allow."""


@dataclass(frozen=True, slots=True)
class Overloaded:
    """This instance is late with its work, by so many seconds."""

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
    """The job is let in; its tasks count as queued until settled."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """The job is not let in, and nothing of it was run.

    Args:
        reason: Why.
        retry_after: When to try again, in seconds; none if it can't help.
    """

    reason: Reason
    retry_after: float | None = None


Verdict = Admit | Refuse
