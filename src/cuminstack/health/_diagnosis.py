"""Telling bad endpoints from bad jobs."""

from collections import OrderedDict
from collections.abc import Hashable, Mapping
from statistics import median
from typing import Final

from cuminstack.core import EndpointId, ServiceRef
from cuminstack.health._records import Failing, Slow
from cuminstack.health._window import Sample, Window

#: Attempts, and different failed jobs, below which nothing is concluded.
_MIN_SAMPLES: Final = 8
_MIN_JOBS: Final = 3
#: Part of failures from which an endpoint counts as failing.
_FAILING_RATIO: Final = 0.5
#: Endpoints at which a job fails before the job is to blame.
_BAD_JOB_ENDPOINTS: Final = 2
#: Jobs whose failures are remembered.
_KEPT_JOBS: Final = 4096
#: Answers below which a median means nothing.
_MIN_ANSWERS: Final = 16
#: Peers with a median, below which slowness means nothing.
_MIN_PEERS: Final = 3


class Diagnosis:
    """Looks at the outcomes of all endpoints together."""

    def __init__(self) -> None:
        self._windows: dict[EndpointId, Window] = {}
        self._failed_at: OrderedDict[Hashable, set[EndpointId]] = OrderedDict()

    def record(self, endpoint: EndpointId, sample: Sample) -> None:
        """Take an outcome."""
        self._windows.setdefault(endpoint, Window()).add(sample)
        if sample.bad:
            self._failed_at.setdefault(sample.job, set()).add(endpoint)
            while len(self._failed_at) > _KEPT_JOBS:
                self._failed_at.popitem(last=False)

    def forget(self, endpoint: EndpointId) -> None:
        """Drop what was seen of an endpoint."""
        self._windows.pop(endpoint, None)

    def failing(self, endpoint: EndpointId) -> Failing | None:
        """Tell whether an endpoint fails tasks that others don't."""
        window = self._windows.get(endpoint, Window())
        fair = [each for each in window.samples if not self._blames_job(each)]
        failed = [sample for sample in fair if sample.bad]
        jobs = len({sample.job for sample in failed})
        enough = len(fair) >= _MIN_SAMPLES and jobs >= _MIN_JOBS
        if enough and len(failed) >= _FAILING_RATIO * len(fair):
            return Failing(len(failed), len(fair), jobs)
        return None

    def _blames_job(self, sample: Sample) -> bool:
        places = self._failed_at.get(sample.job, set())
        return sample.bad and len(places) >= _BAD_JOB_ENDPOINTS

    def slow(self, service: ServiceRef) -> dict[EndpointId, Slow]:
        """Give the endpoints that are slow against the others of a service.

        It looks at every endpoint, so it isn't for each task.
        """
        medians = self._medians(service)
        if len(medians) <= _MIN_PEERS:
            return {}
        compared = {
            endpoint: Slow(own, _median_but(medians, endpoint))
            for endpoint, own in medians.items()
        }
        return {
            endpoint: slow
            for endpoint, slow in compared.items()
            if slow.median > slow.limit
        }

    def _medians(self, service: ServiceRef) -> dict[EndpointId, float]:
        found: Mapping[EndpointId, float | None] = {
            endpoint: window.median(service, at_least=_MIN_ANSWERS)
            for endpoint, window in self._windows.items()
        }
        return {
            endpoint: seconds
            for endpoint, seconds in found.items()
            if seconds is not None
        }


def _median_but(
    medians: Mapping[EndpointId, float],
    left_out: EndpointId,
) -> float:
    others = [
        seconds for endpoint, seconds in medians.items() if endpoint != left_out
    ]
    return median(others)
