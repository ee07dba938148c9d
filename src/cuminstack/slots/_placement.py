"""Selection of the endpoint for the next task of a class."""

from collections import Counter
from collections.abc import Mapping

from cuminstack.core import EndpointId, EndpointRecord
from cuminstack.slots._holdings import Holdings
from cuminstack.slots._queue import TaskClass


class Placement:
    """Selects among the endpoints whose free slots are held here.

    Args:
        holdings: The leases held.
        records: The announced records of the endpoints.
    """

    def __init__(
        self,
        holdings: Holdings,
        records: Mapping[EndpointId, EndpointRecord],
    ) -> None:
        self._holdings = holdings
        self._records = records
        self._limits: dict[EndpointId, int] = {}
        self._running: Counter[EndpointId] = Counter()
        self._fits: dict[TaskClass, frozenset[EndpointId]] = {}

    def set_limit(self, endpoint: EndpointId, limit: int | None) -> None:
        """Limit the running tasks at an endpoint; None removes the limit."""
        if limit is None:
            self._limits.pop(endpoint, None)
        else:
            self._limits[endpoint] = limit

    def clear_cache(self) -> None:
        """Clear the cache of fitting endpoints, after records changed."""
        self._fits.clear()

    def adjust_running(self, endpoint: EndpointId, change: int) -> None:
        """Adjust the number of running tasks at an endpoint."""
        self._running[endpoint] += change

    def fitting(self, task_class: TaskClass) -> frozenset[EndpointId]:
        """Return the endpoints that can run a class of tasks."""
        if task_class not in self._fits:
            self._fits[task_class] = frozenset(
                endpoint
                for endpoint, record in self._records.items()
                if task_class.fits(record)
            )
        return self._fits[task_class]

    def has_open(self, task_class: TaskClass) -> bool:
        """Return whether a task of a class could start now."""
        fitting = self.fitting(task_class)
        return any(
            endpoint in fitting and self._is_open(endpoint)
            for endpoint in self._holdings.open_endpoints
        )

    def pick(self, task_class: TaskClass) -> EndpointId:
        """Return the endpoint with the most free slots for a class."""
        fitting = self.fitting(task_class)
        candidates = (
            endpoint
            for endpoint in self._holdings.open_endpoints
            if endpoint in fitting and self._is_open(endpoint)
        )
        return max(candidates, key=self._holdings.free_at)

    def _is_open(self, endpoint: EndpointId) -> bool:
        limit = self._limits.get(endpoint)
        return limit is None or self._running[endpoint] < limit
