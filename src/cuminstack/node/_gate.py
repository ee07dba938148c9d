"""Whether a submission may be taken on, before any claim is taken."""

from dataclasses import dataclass
from typing import Final, Protocol

from cuminstack.jobs import JobBook, JobRequest, RefusalReason, Refused
from cuminstack.membership import Timing

#: Seconds after which a retry at an overloaded instance can help.
_RETRY_AFTER_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class NodeOptions:
    """What a node keeps to; times are in seconds.

    Args:
        endpoint_lease: Silence after which an endpoint is gone.
        outcome_lifetime: How long outcomes are kept for resends.
        max_running_jobs: Jobs in progress at most.
        timing: Time-outs of the failure detector.
    """

    endpoint_lease: float
    outcome_lifetime: float
    max_running_jobs: int
    timing: Timing


class Gate(Protocol):
    """Checks a submission against the sheet, the limits and the load."""

    def check(self, request: JobRequest, *, now: float) -> Refused | None:
        """Give the refusal of a submission, or none if it may run."""


class LoadGate:
    """Refuses what comes on top of the most jobs that may be in progress."""

    def __init__(self, book: JobBook, options: NodeOptions) -> None:
        self._book = book
        self._options = options

    def check(self, request: JobRequest, *, now: float) -> Refused | None:
        """Give the refusal of a submission, or none if it may run."""
        if self._book.running < self._options.max_running_jobs:
            return None
        return Refused(
            RefusalReason.overloaded,
            retry_after=_RETRY_AFTER_SECONDS,
        )
