"""Buffering of endpoint heartbeats that other instances receive."""

from collections.abc import Iterable
from dataclasses import replace

from cuminstack.core import EndpointId
from cuminstack.fleet._messages import EndpointReports
from cuminstack.pool import EndpointReport


class HeartbeatBuffer:
    """Buffers heartbeats that report no change since the previous one.

    Every heartbeat is forwarded to all instances that may dispatch.  Sent one
    by one, the frames would grow with endpoints times instances even though
    nothing happens.  Heartbeats that report a change aren't delayed.
    """

    def __init__(self) -> None:
        self._forwarded: dict[EndpointId, EndpointReport] = {}
        self._buffered: dict[EndpointId, EndpointReport] = {}

    def add(self, report: EndpointReport) -> EndpointReports | None:
        """Buffer a heartbeat, or return it if it has to be sent at once."""
        endpoint = report.endpoint
        # Without the fields that change with every heartbeat.
        comparable = replace(report, sequence=0, cold_seconds=0)
        if self._forwarded.get(endpoint) == comparable:
            self._buffered[endpoint] = report
            return None
        self._forwarded[endpoint] = comparable
        self._buffered.pop(endpoint, None)
        return EndpointReports((report,))

    def forget(self, endpoint: EndpointId) -> None:
        """Remove an endpoint that has left."""
        self._forwarded.pop(endpoint, None)
        self._buffered.pop(endpoint, None)

    def keep_only(self, endpoints: Iterable[EndpointId]) -> None:
        """Remove all endpoints except the given ones."""
        for gone in self._forwarded.keys() - set(endpoints):
            self.forget(gone)

    def flush(self) -> EndpointReports | None:
        """Return and clear the buffered heartbeats; None if there are none."""
        if not self._buffered:
            return None
        reports = EndpointReports(tuple(self._buffered.values()))
        self._buffered.clear()
        return reports
