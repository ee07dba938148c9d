"""Kinds of endpoints, whose speeds are the prior of a new endpoint."""

from collections import defaultdict
from typing import Final, NamedTuple

from cuminstack.pool._records import EndpointReport

#: Variance of the logarithm of the slowness of an endpoint of which nothing is
#: known, that is 40%.  Speeds of 0.6 and 1.6 are 1.2 standard deviations from
#: the mean.
UNKNOWN_VARIANCE: Final = 0.16
#: Least variance of an estimate, that is 5%: the newest sample counts for 6%,
#: so an estimate follows changes within some dozens of samples.
MIN_VARIANCE: Final = 0.0025
#: Labels of an endpoint that are considered; they are for its kind and rack.
_MAX_LABELS: Final = 4


class Population:
    """Estimates of the endpoints of a kind, as sums."""

    def __init__(self) -> None:
        #: Number of the estimates.
        self.count = 0
        #: Mean of their logarithms.
        self.mean: float = 0
        self._logs: float = 0
        self._squares: float = 0
        self._variances: float = 0

    @property
    def prior_variance(self) -> float:
        """Variance of the logarithm of another endpoint of the kind.

        The variance of the estimates themselves is subtracted.
        """
        deviations = self._squares - self.mean * self._logs
        spread = max(0, deviations - self._variances) + UNKNOWN_VARIANCE
        return max(MIN_VARIANCE, spread / (self.count + 1))

    def add(self, log: float, variance: float) -> None:
        """Add an estimate."""
        self.count += 1
        self._logs += log
        self._squares += log * log
        self._variances += variance
        self.mean = self._logs / self.count

    def remove(self, log: float, variance: float) -> None:
        """Remove an estimate that was added."""
        self.count -= 1
        self._logs -= log
        self._squares -= log * log
        self._variances -= variance
        self.mean = self._logs / self.count if self.count else 0


class Kinds(NamedTuple):
    """Populations that an endpoint belongs to.

    Args:
        service: All endpoints of its service.
        labelled: For each of its labels, those with the label and as many
            millicores.
    """

    service: Population
    labelled: tuple[Population, ...]

    @property
    def largest(self) -> Population:
        """The endpoints of its kind.

        A label may stand for a kind or for a rack.  More endpoints share the
        one of a kind.
        """
        largest = self.labelled[0]
        for population in self.labelled:
            if population.count > largest.count:
                largest = population
        return largest

    def add(self, log: float, variance: float) -> None:
        """Add the estimate of the endpoint."""
        self.service.add(log, variance)
        for population in self.labelled:
            population.add(log, variance)

    def remove(self, log: float, variance: float) -> None:
        """Remove the estimate of the endpoint."""
        self.service.remove(log, variance)
        for population in self.labelled:
            population.remove(log, variance)


class KindTable:
    """Populations by service, millicores and label."""

    def __init__(self) -> None:
        self._populations: defaultdict[tuple[str, int, str], Population] = (
            defaultdict(Population)
        )

    def kinds_of(self, report: EndpointReport) -> Kinds:
        """Return the populations that an endpoint belongs to."""
        service = report.service
        millicores = report.room.millicores
        labels = dict.fromkeys(report.labels[:_MAX_LABELS]) or ('',)
        return Kinds(
            self._populations[service, 0, ''],
            tuple(
                self._populations[service, millicores, label]
                for label in labels
            ),
        )
