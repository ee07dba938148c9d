"""Quarantine of endpoints, and their way back."""

from collections.abc import Hashable
from dataclasses import dataclass, replace
from typing import Final

from cuminstack.core import EndpointId, EndpointRecord, ServiceRef
from cuminstack.health._diagnosis import Diagnosis
from cuminstack.health._records import (
    LimitEndpoint,
    Outcome,
    Quarantine,
    Slow,
    Symptom,
)
from cuminstack.health._window import Sample

#: From a quarantine or a failed probe to the next probe, in seconds.
_FIRST_PAUSE_SECONDS: Final = 2
#: The longest such pause, after failures in a row, in seconds.
_LONGEST_PAUSE_SECONDS: Final = 60
#: Between two comparisons of the endpoints of a service, in seconds.
_COMPARE_SECONDS: Final = 1
#: Until an endpoint that came back counts as steady again, in seconds.
_STEADY_SECONDS: Final = 60
#: Probes to be answered in a row.
_PROBES: Final = 3
#: Part of a service's slots that is never quarantined.
_KEPT_SHARE: Final = 0.5


@dataclass(slots=True)
class _Past:
    """When an endpoint last came back, and the pause that it had."""

    released: float
    pause: float


class EndpointHealth:
    """Quarantines endpoints that fail or are slow where others aren't.

    A quarantined endpoint gets one task at a time as a probe, after a pause
    that doubles while probes fail or the endpoint flaps.
    """

    def __init__(self) -> None:
        self._records: dict[EndpointId, EndpointRecord] = {}
        self._diagnosis = Diagnosis()
        self._quarantines: dict[EndpointId, Quarantine] = {}
        self._pauses: dict[EndpointId, float] = {}
        self._past: dict[EndpointId, _Past] = {}
        self._limits: dict[EndpointId, int | None] = {}
        self._compare_at: dict[ServiceRef, float] = {}

    @property
    def quarantined(self) -> tuple[Quarantine, ...]:
        """Endpoints in quarantine."""
        return tuple(self._quarantines.values())

    def observe_endpoint(self, record: EndpointRecord) -> None:
        """Take a record; a new incarnation begins without a past."""
        known = self._records.get(record.endpoint)
        self._records[record.endpoint] = record
        if known is not None and known.incarnation != record.incarnation:
            self._diagnosis.forget(record.endpoint)

    def forget_endpoint(self, endpoint: EndpointId) -> None:
        """Drop an endpoint that is gone."""
        self._records.pop(endpoint, None)
        self._diagnosis.forget(endpoint)
        for table in (self._quarantines, self._pauses, self._past):
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
        """Take the end of an attempt.

        Args:
            endpoint: Where it was.
            job: Whose task it was.
            service: What it was a task of.
            outcome: How it ended; *not started* says nothing of health.
            seconds: How long it took.
            now: The present time, in seconds.
        """
        if outcome is Outcome.not_started:
            return
        sample = Sample(now, job, service, outcome, seconds)
        quarantine = self._quarantines.get(endpoint)
        if quarantine is None:
            self._diagnosis.record(endpoint, sample)
            self._judge(endpoint, sample)
        else:
            self._take_probe(quarantine, sample, now)

    def usable(self, endpoint: EndpointId, *, now: float) -> bool:
        """Tell whether a task may be started at an endpoint."""
        return self.limit(endpoint, now=now) != 0

    def limit(self, endpoint: EndpointId, *, now: float) -> int | None:
        """Give the tasks that may run at an endpoint; none for no bound."""
        quarantine = self._quarantines.get(endpoint)
        if quarantine is None:
            return None
        return int(quarantine.probe_at <= now)

    def changes(self, *, now: float) -> tuple[LimitEndpoint, ...]:
        """Give the bounds that have changed since the last call."""
        changed: list[LimitEndpoint] = []
        for endpoint in self._records:
            limit = self.limit(endpoint, now=now)
            if self._limits.get(endpoint) != limit:
                self._limits[endpoint] = limit
                changed.append(LimitEndpoint(endpoint, limit))
        return tuple(changed)

    def _judge(self, endpoint: EndpointId, sample: Sample) -> None:
        """Look for failures after one, and for slowness now and then."""
        if sample.bad:
            failing = self._diagnosis.failing(endpoint)
            self._suspect(endpoint, failing, sample)
        due = self._compare_at.get(sample.service, sample.at)
        if sample.at < due:
            return
        self._compare_at[sample.service] = sample.at + _COMPARE_SECONDS
        for slow, symptom in self._diagnosis.slow(sample.service).items():
            self._suspect(slow, symptom, sample)

    def _suspect(
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
        pause = self._next_pause(endpoint, now)
        self._pauses[endpoint] = pause
        self._diagnosis.forget(endpoint)
        self._quarantines[endpoint] = Quarantine(
            endpoint,
            symptom,
            since=now,
            probe_at=now + pause,
            probes_passed=0,
        )

    def _next_pause(self, endpoint: EndpointId, now: float) -> float:
        past = self._past.get(endpoint)
        if past is None or now - past.released > _STEADY_SECONDS:
            return _FIRST_PAUSE_SECONDS
        return min(2 * past.pause, _LONGEST_PAUSE_SECONDS)

    def _take_probe(
        self,
        quarantine: Quarantine,
        sample: Sample,
        now: float,
    ) -> None:
        endpoint = quarantine.endpoint
        if now < quarantine.probe_at:
            return  # It was started before the quarantine.
        passed = quarantine.probes_passed + 1
        if sample.bad or _is_late(quarantine.symptom, sample):
            pause = min(2 * self._pauses[endpoint], _LONGEST_PAUSE_SECONDS)
            self._pauses[endpoint] = pause
            self._quarantines[endpoint] = replace(
                quarantine,
                probe_at=now + pause,
                probes_passed=0,
            )
        elif passed < _PROBES:
            self._quarantines[endpoint] = replace(
                quarantine,
                probes_passed=passed,
            )
        else:
            self._release(endpoint, now)

    def _release(self, endpoint: EndpointId, now: float) -> None:
        self._quarantines.pop(endpoint)
        self._past[endpoint] = _Past(now, self._pauses.pop(endpoint))

    def _can_spare(self, endpoint: EndpointId, service: ServiceRef) -> bool:
        """Tell whether enough of a service's slots stay in use."""
        serving = [
            record for record in self._records.values() if record.runs(service)
        ]
        kept = sum(
            record.slots
            for record in serving
            if record.endpoint not in self._quarantines
            and record.endpoint != endpoint
        )
        return kept >= _KEPT_SHARE * sum(each.slots for each in serving)


def _is_late(symptom: Symptom, sample: Sample) -> bool:
    return isinstance(symptom, Slow) and sample.seconds > symptom.limit
