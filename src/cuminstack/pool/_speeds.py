"""Speeds of endpoints, learned from the run times of tasks there.

The estimate of an endpoint is the mean of the logarithm of measured over
expected run time.  Each sample updates it as in a scalar Kalman filter [1]
whose surprises are bounded as by Huber [2].  The prior of an endpoint is the
distribution of the estimates of its kind, as in an empirical Bayes method [3].
The values of an update are a few sums, so it takes constant time.

[1] R. E. Kalman, A new approach to linear filtering and prediction problems,
    Journal of Basic Engineering 82 (1960).
[2] P. J. Huber, Robust estimation of a location parameter, Annals of
    Mathematical Statistics 35 (1964).
[3] C. N. Morris, Parametric empirical Bayes inference, Journal of the American
    Statistical Association 78 (1983).
"""

import math
from collections.abc import Mapping
from typing import Final, NamedTuple

from cuminstack.core import EndpointId
from cuminstack.pool._endpoint import Endpoint
from cuminstack.pool._speed_kinds import (
    MIN_VARIANCE,
    UNKNOWN_VARIANCE,
    Kinds,
    KindTable,
)
from cuminstack.pool._speed_table import SpeedFigure, SpeedTable

#: Variance of the logarithm of a run time at one endpoint, that is 20%: tasks
#: of a step differ by 15%, and jobs of a queue somewhat more.
_TASK_VARIANCE: Final = 0.04
#: Seconds by which the measured time of a run is off, as its start and its end
#: are reported over the network.
_LATENCY_SECONDS: Final = 0.01
#: Growth of the variance with the age of an estimate, in each second.  An
#: estimate that is an hour old tells nothing.
_VARIANCE_GROWTH: Final = 0.00005
#: Standard deviations to which a surprise is bounded.  3% of jobs take seven
#: times as long as the others of their queue.
_MAX_SURPRISE: Final = 2.0
#: Bounded surprises in a row which mean that the endpoint has changed.  Each
#: adds to the variance, so that it counts for more.
_SURPRISES_IN_ROW: Final = 3
_SURPRISE_VARIANCE: Final = 0.006
#: Standard deviations by which an endpoint must differ from the mean of its
#: service, so that one in some hundreds of like endpoints seems to differ.
_SIGNIFICANCE: Final = 3.0
#: Least difference of the logarithm that counts; run times differ by more from
#: task to task.
_MIN_DIFFERENCE: Final = 0.1
#: Samples of all endpoints for which a derived speed holds.  Each changes the
#: means of kinds and services by little, and speeds are read many times more
#: often than samples come.
_MAX_SAMPLES: Final = 64
#: Decimal places of the values of a table.
_DIGITS: Final = 4


class _Estimate(NamedTuple):
    """Estimate for one lifetime of an endpoint.

    Args:
        lifetime: Number of the lifetime.
        kinds: Populations that the estimate belongs to.
        log: Mean of the logarithm of measured over expected run time.
        variance: Variance of `log`.
        updated_at: Time of the newest sample in seconds; None if there is
            none.
        surprises: Number of the newest samples in a row that were bounded.
    """

    lifetime: int
    kinds: Kinds
    log: float
    variance: float
    updated_at: float | None = None
    surprises: int = 0

    def variance_at(self, now: float) -> float:
        """Return the variance of `log`, which grows with its age."""
        updated_at = now if self.updated_at is None else self.updated_at
        growth = max(0, now - updated_at) * _VARIANCE_GROWTH
        return min(self.variance + growth, UNKNOWN_VARIANCE)


class _Speed(NamedTuple):
    """What an estimate amounts to.

    Args:
        slowness: Slowness of the endpoint.
        uncertainty: Standard deviation of its logarithm.
        lifetime: Number of the endpoint's lifetime.
        until: Number of samples, of all endpoints, for which it holds.
    """

    slowness: float
    uncertainty: float
    lifetime: int = 0
    until: int = -1


_UNKNOWN: Final = _Speed(1.0, math.sqrt(UNKNOWN_VARIANCE))


class EndpointSpeeds:
    """Slowness of each endpoint: run times there against those of its service.

    Args:
        endpoints: All known endpoints, by id; changed by the caller.
    """

    def __init__(self, endpoints: Mapping[EndpointId, Endpoint]) -> None:
        self._endpoints = endpoints
        self._estimates: dict[EndpointId, _Estimate] = {}
        self._speeds: dict[EndpointId, _Speed] = {}
        self._restored: dict[EndpointId, tuple[SpeedFigure, float]] = {}
        self._samples = 0
        self._kinds = KindTable()

    def slowness(self, endpoint: EndpointId) -> float:
        """Return the factor by which run times at an endpoint differ.

        Returns:
            Run time there divided by the mean of the service; 1.0 if it is not
            known, or does not differ significantly.
        """
        return self._speed(endpoint).slowness

    def uncertainty(self, endpoint: EndpointId) -> float:
        """Return the standard deviation of the logarithm of a slowness.

        A difference that counts as none, as it is not significant, is part of
        the uncertainty.
        """
        return self._speed(endpoint).uncertainty

    def record(
        self,
        endpoint: Endpoint,
        expected: float,
        seconds: float,
        *,
        now: float,
    ) -> None:
        """Record the run time of a task that was done.

        Args:
            endpoint: Endpoint of the run.
            expected: Expected run time at slowness 1.0, in seconds.
            seconds: Measured run time, in seconds.
            now: Current time in seconds.
        """
        name = endpoint.report.endpoint
        known = self._estimate(endpoint)
        variance = known.variance_at(now)
        noise = _TASK_VARIANCE + (_LATENCY_SECONDS / expected) ** 2
        surprise = math.log(seconds / expected) - known.log
        bound = _MAX_SURPRISE * math.sqrt(variance + noise)
        surprises = 0
        if abs(surprise) > bound:
            surprise = math.copysign(bound, surprise)
            surprises = known.surprises + 1
            if surprises >= _SURPRISES_IN_ROW:
                variance = min(variance + _SURPRISE_VARIANCE, UNKNOWN_VARIANCE)
        gain = variance / (variance + noise)
        self._replace(
            name,
            _Estimate(
                lifetime=endpoint.lifetime.number,
                kinds=known.kinds,
                log=known.log + gain * surprise,
                variance=max(variance * (1 - gain), MIN_VARIANCE),
                updated_at=now,
                surprises=surprises,
            ),
        )

    def snapshot(self, *, now: float) -> SpeedTable:
        """Return all speeds that were learned or restored.

        Args:
            now: Current time in seconds.
        """
        return SpeedTable(
            tuple(
                self._figure(name, estimate, now)
                for name, estimate in tuple(self._estimates.items())
            )
        )

    def restore(self, table: SpeedTable, *, now: float) -> None:
        """Start with the speeds that an earlier dispatcher has learned.

        Figures of other lifetimes are ignored, as are those of endpoints whose
        run times were measured here.  Endpoints that are not known yet get
        theirs once they are.

        Args:
            table: The speeds.
            now: Current time in seconds.
        """
        for figure in table.figures:
            name = figure.endpoint
            endpoint = self._endpoints.get(name)
            self._restored[name] = (figure, now - figure.age)
            if endpoint is not None and name not in self._estimates:
                self._adopt(endpoint)

    def forget(self, endpoint: EndpointId) -> None:
        """Discard the estimate of an endpoint that was removed."""
        self._restored.pop(endpoint, None)
        self._speeds.pop(endpoint, None)
        known = self._estimates.pop(endpoint, None)
        if known is not None:
            known.kinds.remove(known.log, known.variance)

    def _speed(self, name: EndpointId) -> _Speed:
        """Return the speed of an endpoint, kept for some samples of others."""
        endpoint = self._endpoints.get(name)
        if endpoint is None:
            return _UNKNOWN
        known = self._speeds.get(name, _UNKNOWN)
        is_same = known.lifetime == endpoint.lifetime.number
        if known.until < self._samples or not is_same:
            known = self._derive(self._estimate(endpoint))
            self._speeds[name] = known
        return known

    def _figure(
        self, name: EndpointId, estimate: _Estimate, now: float
    ) -> SpeedFigure:
        updated_at = now if estimate.updated_at is None else estimate.updated_at
        return SpeedFigure(
            endpoint=name,
            lifetime=estimate.lifetime,
            log=round(estimate.log - estimate.kinds.service.mean, _DIGITS),
            variance=round(estimate.variance, _DIGITS),
            slowness=round(self._derive(estimate).slowness, _DIGITS),
            age=round(now - updated_at, _DIGITS),
        )

    def _derive(self, estimate: _Estimate) -> _Speed:
        """Return the speed that an estimate stands for.

        An endpoint that does not differ from its kind counts as like it, and a
        kind that does not differ from its service counts as like that.
        """
        mean = estimate.kinds.service.mean
        kind = estimate.kinds.largest
        base = mean
        if abs(kind.mean - mean) > _MIN_DIFFERENCE and kind.count:
            variance = kind.prior_variance / kind.count
            if _is_significant(kind.mean - mean, variance):
                base = kind.mean
        difference = estimate.log - base
        uncertainty = math.sqrt(estimate.variance)
        if _is_significant(difference, estimate.variance):
            base = estimate.log
        else:
            uncertainty = math.hypot(uncertainty, difference)
        return _Speed(
            math.exp(base - mean),
            uncertainty,
            estimate.lifetime,
            self._samples + _MAX_SAMPLES,
        )

    def _estimate(self, endpoint: Endpoint) -> _Estimate:
        """Return the estimate of an endpoint in its present lifetime.

        If there is none, it is the prior of its kind.
        """
        known = self._estimates.get(endpoint.report.endpoint)
        lifetime = endpoint.lifetime.number
        if known is not None and known.lifetime == lifetime:
            return known
        if self._adopt(endpoint):
            return self._estimates[endpoint.report.endpoint]
        kinds = self._kinds.kinds_of(endpoint.report)
        kind = kinds.largest if kinds.largest.count else kinds.service
        return _Estimate(lifetime, kinds, kind.mean, kind.prior_variance)

    def _adopt(self, endpoint: Endpoint) -> bool:
        """Use the restored figure of an endpoint, if it is of its lifetime."""
        name = endpoint.report.endpoint
        figure, updated_at = self._restored.get(name, (None, 0))
        if figure is None or figure.lifetime != endpoint.lifetime.number:
            return False
        variance = max(figure.variance, MIN_VARIANCE)
        estimate = _Estimate(
            lifetime=figure.lifetime,
            kinds=self._kinds.kinds_of(endpoint.report),
            log=figure.log,
            variance=variance,
            updated_at=updated_at,
        )
        grown = estimate.variance_at(updated_at + figure.age)
        self._replace(name, estimate._replace(variance=grown))
        return True

    def _replace(self, name: EndpointId, estimate: _Estimate) -> None:
        known = self._estimates.get(name)
        if known is not None:
            known.kinds.remove(known.log, known.variance)
        self._speeds.pop(name, None)
        self._samples += 1
        self._estimates[name] = estimate
        estimate.kinds.add(estimate.log, estimate.variance)


def _is_significant(difference: float, variance: float) -> bool:
    size = abs(difference)
    return size > _MIN_DIFFERENCE and size > _SIGNIFICANCE * math.sqrt(variance)
