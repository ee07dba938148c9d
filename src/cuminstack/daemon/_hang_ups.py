"""Callers that hung up: their jobs go on for a while, then are given up."""

from collections import defaultdict

from aiohttp import web

from cuminstack.core import JobId


class HangUps:
    """Knows which jobs no caller is connected for, and since when.

    Args:
        grace: Seconds that a job goes on for a resend to attach to.
    """

    def __init__(self, *, grace: float) -> None:
        self._grace = grace
        self._requests: defaultdict[JobId, list[web.Request]]
        self._requests = defaultdict(list)
        self._alone_since: dict[JobId, float] = {}

    def connected(self, job: JobId, request: web.Request) -> None:
        """Take a caller that waits for a job."""
        self._requests[job].append(request)
        self._alone_since.pop(job, None)

    def ended(self, job: JobId) -> None:
        """Forget a job that has its outcome."""
        self._requests.pop(job, None)
        self._alone_since.pop(job, None)

    def sweep(self, *, now: float) -> tuple[JobId, ...]:
        """List the jobs whose grace has passed; each is listed once."""
        for waited_for, requests in self._requests.items():
            if any(map(_is_connected, requests)):
                self._alone_since.pop(waited_for, None)
            else:
                self._alone_since.setdefault(waited_for, now)
        given_up = tuple(
            job
            for job, since in self._alone_since.items()
            if now - since >= self._grace
        )
        for ended in given_up:
            self.ended(ended)
        return given_up


def _is_connected(request: web.Request) -> bool:
    transport = request.transport
    return transport is not None and not transport.is_closing()
