"""The metrics that an instance records."""

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
    """Histograms and counters of one instance since its start."""

    def __init__(self, instance: InstanceId) -> None:
        self._instance = instance
        self._services: dict[ServiceRef, ServiceMetrics] = {}
        self._messages: dict[tuple[MessageKind, Direction], _MessageTotal] = {}
        self._waste: Counter[tuple[MemberName | None, WasteCause]] = Counter()

    def record_wait(self, service: ServiceRef, seconds: float) -> None:
        """Record the time from the acceptance of a task to its start."""
        self._metrics_of(service).record(Measure.wait, seconds)

    def record_run(self, service: ServiceRef, seconds: float) -> None:
        """Record the time from the start of a task to its answer."""
        self._metrics_of(service).record(Measure.run, seconds)

    def record_response(
        self,
        service: ServiceRef,
        seconds: float,
        *,
        ideal: float,
    ) -> None:
        """Record the response time of a job.

        Args:
            service: Service of the job.
            seconds: Time from the acceptance of the job to its outcome.
            ideal: Response time with a slot free for each task immediately,
                in seconds; 0 if unknown.
        """
        metrics = self._metrics_of(service)
        metrics.record(Measure.response, seconds)
        if ideal > 0:
            metrics.record(Measure.response_ratio, seconds / ideal)

    def record_tally(
        self,
        service: ServiceRef,
        tally: Tally,
        *,
        count: int = 1,
    ) -> None:
        """Count jobs or tasks of a service."""
        self._metrics_of(service).count(tally, count=count)

    def record_message(
        self,
        kind: MessageKind,
        direction: Direction,
        *,
        size: int = 0,
    ) -> None:
        """Count a message.

        Args:
            kind: Kind of the message.
            direction: Whether it was sent or received.
            size: Size in bytes.
        """
        total = self._messages.get((kind, direction))
        if total is None:
            total = _MessageTotal()
            self._messages[kind, direction] = total
        total.count += 1
        total.size += size

    def record_waste(
        self,
        cause: WasteCause,
        *,
        member: MemberName | None = None,
        count: int = 1,
    ) -> None:
        """Count wasted messages.

        Args:
            cause: Reason of the waste.
            member: Member whose messages they are; None if of no member.
            count: Number of messages.
        """
        self._waste[member, cause] += count

    def snapshot(self) -> MetricsSnapshot:
        """Return everything recorded so far."""
        services = self._services.values()
        return MetricsSnapshot(
            instances=(self._instance,),
            histograms=tuple(
                histogram
                for each in services
                for histogram in each.histograms()
            ),
            tallies=tuple(
                tally for each in services for tally in each.tallies()
            ),
            messages=tuple(
                MessageCount(*key, total.count, total.size)
                for key, total in self._messages.items()
            ),
            waste=tuple(
                WasteCount(*key, count) for key, count in self._waste.items()
            ),
        )

    def _metrics_of(self, service: ServiceRef) -> ServiceMetrics:
        metrics = self._services.get(service)
        if metrics is None:
            metrics = ServiceMetrics(service)
            self._services[service] = metrics
        return metrics


class _MessageTotal:
    """Number and bytes of the messages of one kind and direction."""

    __slots__ = ('count', 'size')

    def __init__(self) -> None:
        self.count = 0
        self.size = 0
