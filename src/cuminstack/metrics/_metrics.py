"""What an instance measures while it runs."""

from collections import Counter

from cuminstack.core import InstanceId, MemberName, ServiceRef
from cuminstack.metrics._kinds import (
    Direction,
    Measure,
    MessageKind,
    Tally,
    WasteCause,
)
from cuminstack.metrics._service import ServiceMetrics
from cuminstack.metrics._snapshot import (
    MessageCount,
    MetricsSnapshot,
    WasteCount,
)


class Metrics:
    """Histograms and counters of one instance, from its start on."""

    def __init__(self, instance: InstanceId) -> None:
        self._instance = instance
        self._services: dict[ServiceRef, ServiceMetrics] = {}
        self._messages: dict[tuple[MessageKind, Direction], _Volume] = {}
        self._waste: Counter[tuple[MemberName | None, WasteCause]] = Counter()

    def record_wait(self, service: ServiceRef, seconds: float) -> None:
        """Take the time that a task waited for its start."""
        self._of(service).record(Measure.wait, seconds)

    def record_run(self, service: ServiceRef, seconds: float) -> None:
        """Take the time from a task's start to its answer."""
        self._of(service).record(Measure.run, seconds)

    def record_response(
        self,
        service: ServiceRef,
        seconds: float,
        *,
        ideal: float,
    ) -> None:
        """Take the response time of a whole job.

        Args:
            service: What it was a job of.
            seconds: Time from its acceptance to its outcome.
            ideal: Time it would have taken with a free slot at once for
                each of its tasks, in seconds; 0 if that is not known.
        """
        found = self._of(service)
        found.record(Measure.response, seconds)
        if ideal > 0:
            found.record(Measure.response_ratio, seconds / ideal)

    def record_tally(
        self,
        service: ServiceRef,
        tally: Tally,
        *,
        count: int = 1,
    ) -> None:
        """Count jobs or tasks of a service."""
        self._of(service).count(tally, count=count)

    def record_message(
        self,
        kind: MessageKind,
        direction: Direction,
        *,
        size: int = 0,
    ) -> None:
        """Count a message, with its size in bytes."""
        volume = self._messages.get((kind, direction))
        if volume is None:
            volume = _Volume()
            self._messages[kind, direction] = volume
        volume.count += 1
        volume.size += size

    def record_waste(
        self,
        cause: WasteCause,
        *,
        member: MemberName | None = None,
        count: int = 1,
    ) -> None:
        """Count wasted messages, of a member if they are one's."""
        self._waste[member, cause] += count

    def snapshot(self) -> MetricsSnapshot:
        """Give everything measured so far."""
        services = self._services.values()
        return MetricsSnapshot(
            instances=(self._instance,),
            histograms=tuple(
                found for each in services for found in each.histograms()
            ),
            tallies=tuple(
                found for each in services for found in each.tallies()
            ),
            messages=tuple(
                MessageCount(*key, volume.count, volume.size)
                for key, volume in self._messages.items()
            ),
            waste=tuple(
                WasteCount(*key, count) for key, count in self._waste.items()
            ),
        )

    def _of(self, service: ServiceRef) -> ServiceMetrics:
        found = self._services.get(service)
        if found is None:
            found = ServiceMetrics(service)
            self._services[service] = found
        return found


class _Volume:
    """Messages and bytes of one kind, in one direction."""

    __slots__ = ('count', 'size')

    def __init__(self) -> None:
        self.count = 0
        self.size = 0
