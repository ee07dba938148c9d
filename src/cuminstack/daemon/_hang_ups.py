"""Tracks jobs whose callers have disconnected.

Such a job continues for a grace period, so that the caller can submit it
again and receive its outcome; then it is abandoned.
"""

from collections import defaultdict

from aiohttp import web

from cuminstack.core import JobId


class DisconnectTracker:
    """Tracks which jobs have no connected caller, and since when.

    Args:
        grace: Time that a job continues without a caller, in seconds.
    """

    def __init__(self, *, grace: float) -> None:
        self._grace = grace
        self._requests: defaultdict[JobId, list[web.Request]]
        self._requests = defaultdict(list)
        self._disconnected_since: dict[JobId, float] = {}

    def add_caller(self, job: JobId, request: web.Request) -> None:
        """Add the request of a caller that waits for a job."""
        self._requests[job].append(request)
        self._disconnected_since.pop(job, None)

    def forget(self, job: JobId) -> None:
        """Stop tracking a job."""
        self._requests.pop(job, None)
        self._disconnected_since.pop(job, None)

    def sweep(self, *, now: float) -> tuple[JobId, ...]:
        """Remove and return the jobs whose grace period has passed."""
        for tracked_job, requests in self._requests.items():
            if any(map(_is_connected, requests)):
                self._disconnected_since.pop(tracked_job, None)
            else:
                self._disconnected_since.setdefault(tracked_job, now)
        expired = tuple(
            job
            for job, since in self._disconnected_since.items()
            if now - since >= self._grace
        )
        for expired_job in expired:
            self.forget(expired_job)
        return expired


def _is_connected(request: web.Request) -> bool:
    transport = request.transport
    return transport is not None and not transport.is_closing()
