"""Which endpoint takes the next task of a class."""

from collections import Counter
from collections.abc import Mapping

from cuminstack.core import EndpointId, EndpointRecord
from cuminstack.slots._holdings import Holdings
from cuminstack.slots._queue import TaskClass


class Placement:
    """Chooses among the endpoints with a free slot held here.

    Args:
        holdings: The slots held.
        records: The endpoints, as they announced themselves.
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

    def limit(self, endpoint: EndpointId, most: int | None) -> None:
        """Bound the tasks at an endpoint; none lifts the bound."""
        if most is None:
            self._limits.pop(endpoint, None)
        else:
            self._limits[endpoint] = most

    def refresh(self) -> None:
        """Look at the records anew."""
        self._fits.clear()

    def count(self, endpoint: EndpointId, change: int) -> None:
        """Take a start or an end of a task."""
        self._running[endpoint] += change

    def fitting(self, lane: TaskClass) -> frozenset[EndpointId]:
        """Give the endpoints that take a class of tasks."""
        if lane not in self._fits:
            self._fits[lane] = frozenset(
                endpoint
                for endpoint, record in self._records.items()
                if lane.fits(record)
            )
        return self._fits[lane]

    def has_open(self, lane: TaskClass) -> bool:
        """Tell whether a task of a class could start now."""
        fitting = self.fitting(lane)
        return any(
            endpoint in fitting and self._is_open(endpoint)
            for endpoint in self._holdings.open_endpoints
        )

    def pick(self, lane: TaskClass) -> EndpointId:
        """Choose the endpoint with the most free slots for a class."""
        fitting = self.fitting(lane)
        candidates = (
            endpoint
            for endpoint in self._holdings.open_endpoints
            if endpoint in fitting and self._is_open(endpoint)
        )
        return max(candidates, key=self._holdings.free_at)

    def _is_open(self, endpoint: EndpointId) -> bool:
        limit = self._limits.get(endpoint)
        return limit is None or self._running[endpoint] < limit
