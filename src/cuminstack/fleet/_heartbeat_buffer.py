"""Which heartbeats of endpoints other instances are told of at once."""

from collections.abc import Iterable
from dataclasses import replace

from cuminstack.core import EndpointId
from cuminstack.fleet._messages import EndpointNews
from cuminstack.pool import EndpointReport


class HeartbeatBuffer:
    """Gathers heartbeats that only say that an endpoint is still there.

    All instances that may dispatch are told of each heartbeat, so that frames
    would grow with endpoints times instances, though nothing happened.
    """

    def __init__(self) -> None:
        self._told: dict[EndpointId, EndpointReport] = {}
        self._waiting: dict[EndpointId, EndpointReport] = {}

    def take(self, report: EndpointReport) -> EndpointNews | None:
        """Take a heartbeat; give it back if it must not wait."""
        endpoint = report.endpoint
        lasting = replace(report, sequence=0, cold_seconds=0)
        if self._told.get(endpoint) == lasting:
            self._waiting[endpoint] = report
            return None
        self._told[endpoint] = lasting
        self._waiting.pop(endpoint, None)
        return EndpointNews((report,))

    def forget(self, endpoint: EndpointId) -> None:
        """Take that an endpoint has left."""
        self._told.pop(endpoint, None)
        self._waiting.pop(endpoint, None)

    def keep_only(self, endpoints: Iterable[EndpointId]) -> None:
        """Forget endpoints that were silent for long."""
        for gone in self._told.keys() - set(endpoints):
            self.forget(gone)

    def flush(self) -> EndpointNews | None:
        """Give what has been gathered, if anything."""
        if not self._waiting:
            return None
        news = EndpointNews(tuple(self._waiting.values()))
        self._waiting.clear()
        return news
