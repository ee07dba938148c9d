"""Outlier detection that distinguishes faulty endpoints from faulty jobs."""

from collections import OrderedDict
from collections.abc import Hashable, Mapping
from statistics import median
from typing import Final

from cuminstack.core import EndpointId, ServiceRef
from cuminstack.health._records import Failing, Slow
from cuminstack.health._window import Sample, Window

#: Minimum number of attempts before an endpoint counts as failing.
_MIN_SAMPLES: Final = 8
#: Minimum number of distinct failed jobs before an endpoint counts as failing.
_MIN_FAILED_JOBS: Final = 3
#: Share of failed attempts from which an endpoint counts as failing.
_FAILING_RATIO: Final = 0.5
#: Number of endpoints from which a failing job itself counts as faulty.
_FAULTY_JOB_ENDPOINTS: Final = 2
#: Maximum number of failed jobs to track.
_MAX_FAILED_JOBS: Final = 4096
#: Minimum number of answers for a meaningful median.
_MIN_ANSWERS: Final = 16
#: Minimum number of peers with a median before an endpoint counts as slow.
_MIN_PEERS: Final = 3


class OutlierDetector:
    """Compares the outcomes of all endpoints to find outliers."""

    def __init__(self) -> None:
        self._windows: dict[EndpointId, Window] = {}
        self._failed_at: OrderedDict[Hashable, set[EndpointId]] = OrderedDict()

    def record(self, endpoint: EndpointId, sample: Sample) -> None:
        """Record the end of an attempt at an endpoint."""
        self._windows.setdefault(endpoint, Window()).add(sample)
        if sample.is_failure:
            self._failed_at.setdefault(sample.job, set()).add(endpoint)
            while len(self._failed_at) > _MAX_FAILED_JOBS:
                self._failed_at.popitem(last=False)

    def forget(self, endpoint: EndpointId) -> None:
        """Remove all samples of an endpoint."""
        self._windows.pop(endpoint, None)

    def find_failing(self, endpoint: EndpointId) -> Failing | None:
        """Check whether an endpoint fails tasks that don't fail elsewhere.

        Failures that are attributed to a faulty job are ignored.

        Returns:
            The symptom, or None.
        """
        window = self._windows.get(endpoint, Window())
        relevant = [
            each for each in window.samples if not self._is_job_fault(each)
        ]
        failed = [sample for sample in relevant if sample.is_failure]
        jobs = len({sample.job for sample in failed})
        enough = len(relevant) >= _MIN_SAMPLES and jobs >= _MIN_FAILED_JOBS
        if enough and len(failed) >= _FAILING_RATIO * len(relevant):
            return Failing(len(failed), len(relevant), jobs)
        return None

    def _is_job_fault(self, sample: Sample) -> bool:
        endpoints = self._failed_at.get(sample.job, set())
        return sample.is_failure and len(endpoints) >= _FAULTY_JOB_ENDPOINTS

    def find_slow(self, service: ServiceRef) -> dict[EndpointId, Slow]:
        """Return the endpoints that are slow compared to their peers.

        The cost grows with the number of endpoints, so this must not be
        called for every task.
        """
        medians = self._medians(service)
        if len(medians) <= _MIN_PEERS:
            return {}
        compared = {
            endpoint: Slow(own, _median_of_others(medians, endpoint))
            for endpoint, own in medians.items()
        }
        return {
            endpoint: slow
            for endpoint, slow in compared.items()
            if slow.median > slow.limit
        }

    def _medians(self, service: ServiceRef) -> dict[EndpointId, float]:
        found: Mapping[EndpointId, float | None] = {
            endpoint: window.median(service, min_samples=_MIN_ANSWERS)
            for endpoint, window in self._windows.items()
        }
        return {
            endpoint: seconds
            for endpoint, seconds in found.items()
            if seconds is not None
        }


def _median_of_others(
    medians: Mapping[EndpointId, float],
    excluded: EndpointId,
) -> float:
    others = [
        seconds for endpoint, seconds in medians.items() if endpoint != excluded
    ]
    return median(others)
