"""Quarantine of unhealthy endpoints and their release by probes."""

from collections.abc import Hashable
from dataclasses import dataclass, replace
from typing import Final

from cuminstack.core import EndpointId, EndpointRecord, ServiceRef
from cuminstack.health._outliers import OutlierDetector
from cuminstack.health._records import (
    LimitEndpoint,
    Outcome,
    Quarantine,
    Slow,
    Symptom,
)
from cuminstack.health._window import Sample

#: Initial backoff before a quarantined endpoint is probed, in seconds.
_MIN_BACKOFF_SECONDS: Final = 2
#: Maximum backoff after repeated failures, in seconds.
_MAX_BACKOFF_SECONDS: Final = 60
#: Interval between comparisons of the endpoints of a service, in seconds.
_COMPARISON_INTERVAL_SECONDS: Final = 1
#: A new quarantine this soon after a release counts as flapping, in seconds.
_FLAPPING_SECONDS: Final = 60
#: Consecutive successful probes that end a quarantine.
_REQUIRED_PROBES: Final = 3
#: Share of a service's slots that is never quarantined.
_MIN_SERVING_SHARE: Final = 0.5


@dataclass(slots=True)
class _LastRelease:
    """Time of the last release from quarantine, and the backoff then."""

    released_at: float
    backoff: float


class EndpointHealth:
    """Quarantines endpoints that fail or are slow while their peers are not.

    A quarantined endpoint gets one task at a time as a probe, after a backoff
    that doubles with each failed probe and while the endpoint flaps.
    """

    def __init__(self) -> None:
        self._records: dict[EndpointId, EndpointRecord] = {}
        self._detector = OutlierDetector()
        self._quarantines: dict[EndpointId, Quarantine] = {}
        self._backoffs: dict[EndpointId, float] = {}
        self._last_releases: dict[EndpointId, _LastRelease] = {}
        self._limits: dict[EndpointId, int | None] = {}
        self._next_comparison: dict[ServiceRef, float] = {}

    @property
    def quarantined(self) -> tuple[Quarantine, ...]:
        """The quarantines of all quarantined endpoints."""
        return tuple(self._quarantines.values())

    def observe_endpoint(self, record: EndpointRecord) -> None:
        """Add or replace the record of an endpoint.

        Samples of an earlier incarnation are removed.
        """
        known = self._records.get(record.endpoint)
        self._records[record.endpoint] = record
        if known is not None and known.incarnation != record.incarnation:
            self._detector.forget(record.endpoint)

    def forget_endpoint(self, endpoint: EndpointId) -> None:
        """Remove an endpoint that is gone."""
        self._records.pop(endpoint, None)
        self._detector.forget(endpoint)
        for table in (
            self._quarantines,
            self._backoffs,
            self._last_releases,
        ):
            table.pop(endpoint, None)
        self._limits.pop(endpoint, None)

    def record(
        self,
        endpoint: EndpointId,
        job: Hashable,
        service: ServiceRef,
        outcome: Outcome,
        seconds: float,
        *,
        now: float,
    ) -> None:
        """Record the end of an attempt.

        Args:
            endpoint: Endpoint of the attempt.
            job: Job of the task.
            service: Service of the task.
            outcome: How the attempt ended. `not_started` is ignored, since
                it does not indicate the health of the endpoint.
            seconds: Duration of the attempt, in seconds.
            now: The present time, in seconds.
        """
        if outcome is Outcome.not_started:
            return
        sample = Sample(now, job, service, outcome, seconds)
        quarantine = self._quarantines.get(endpoint)
        if quarantine is None:
            self._detector.record(endpoint, sample)
            self._evaluate(endpoint, sample)
        else:
            self._record_probe(quarantine, sample, now)

    def usable(self, endpoint: EndpointId, *, now: float) -> bool:
        """Return whether a task may be started at an endpoint."""
        return self.limit(endpoint, now=now) != 0

    def limit(self, endpoint: EndpointId, *, now: float) -> int | None:
        """Return how many tasks may run at an endpoint; None for no limit."""
        quarantine = self._quarantines.get(endpoint)
        if quarantine is None:
            return None
        return int(quarantine.probe_at <= now)

    def changes(self, *, now: float) -> tuple[LimitEndpoint, ...]:
        """Return the limits that have changed since the last call."""
        changed: list[LimitEndpoint] = []
        for endpoint in self._records:
            limit = self.limit(endpoint, now=now)
            if self._limits.get(endpoint) != limit:
                self._limits[endpoint] = limit
                changed.append(LimitEndpoint(endpoint, limit))
        return tuple(changed)

    def _evaluate(self, endpoint: EndpointId, sample: Sample) -> None:
        """Check for failures after each failure, for slowness periodically."""
        if sample.is_failure:
            failing = self._detector.find_failing(endpoint)
            self._try_quarantine(endpoint, failing, sample)
        due = self._next_comparison.get(sample.service, sample.at)
        if sample.at < due:
            return
        self._next_comparison[sample.service] = (
            sample.at + _COMPARISON_INTERVAL_SECONDS
        )
        for slow, symptom in self._detector.find_slow(sample.service).items():
            self._try_quarantine(slow, symptom, sample)

    def _try_quarantine(
        self,
        endpoint: EndpointId,
        symptom: Symptom | None,
        sample: Sample,
    ) -> None:
        if symptom is not None and self._can_spare(endpoint, sample.service):
            self._quarantine(endpoint, symptom, sample.at)

    def _quarantine(
        self,
        endpoint: EndpointId,
        symptom: Symptom,
        now: float,
    ) -> None:
        backoff = self._next_backoff(endpoint, now)
        self._backoffs[endpoint] = backoff
        self._detector.forget(endpoint)
        self._quarantines[endpoint] = Quarantine(
            endpoint,
            symptom,
            since=now,
            probe_at=now + backoff,
            probes_passed=0,
        )

    def _next_backoff(self, endpoint: EndpointId, now: float) -> float:
        last = self._last_releases.get(endpoint)
        if last is None or now - last.released_at > _FLAPPING_SECONDS:
            return _MIN_BACKOFF_SECONDS
        return min(2 * last.backoff, _MAX_BACKOFF_SECONDS)

    def _record_probe(
        self,
        quarantine: Quarantine,
        sample: Sample,
        now: float,
    ) -> None:
        endpoint = quarantine.endpoint
        if now < quarantine.probe_at:
            return  # The task was started before the quarantine.
        passed = quarantine.probes_passed + 1
        if sample.is_failure or _is_slow_probe(quarantine.symptom, sample):
            backoff = min(2 * self._backoffs[endpoint], _MAX_BACKOFF_SECONDS)
            self._backoffs[endpoint] = backoff
            self._quarantines[endpoint] = replace(
                quarantine,
                probe_at=now + backoff,
                probes_passed=0,
            )
        elif passed < _REQUIRED_PROBES:
            self._quarantines[endpoint] = replace(
                quarantine,
                probes_passed=passed,
            )
        else:
            self._release(endpoint, now)

    def _release(self, endpoint: EndpointId, now: float) -> None:
        self._quarantines.pop(endpoint)
        self._last_releases[endpoint] = _LastRelease(
            now,
            self._backoffs.pop(endpoint),
        )

    def _can_spare(self, endpoint: EndpointId, service: ServiceRef) -> bool:
        """Return whether a service keeps enough slots without an endpoint."""
        serving = [
            record for record in self._records.values() if record.runs(service)
        ]
        remaining = sum(
            record.slots
            for record in serving
            if record.endpoint not in self._quarantines
            and record.endpoint != endpoint
        )
        return remaining >= _MIN_SERVING_SHARE * sum(
            each.slots for each in serving
        )


def _is_slow_probe(symptom: Symptom, sample: Sample) -> bool:
    return isinstance(symptom, Slow) and sample.seconds > symptom.limit
