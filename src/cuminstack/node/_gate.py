"""Whether a submission may be taken on, before any claim is taken."""

from typing import Protocol

from cuminstack.jobs import JobRequest, Refused


class Gate(Protocol):
    """Checks a submission against the sheet, the limits and the load."""

    def check(self, request: JobRequest, *, now: float) -> Refused | None:
        """Give the refusal of a submission, or none if it may run."""
