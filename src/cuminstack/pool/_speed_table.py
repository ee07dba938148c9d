"""Speeds of endpoints as one dispatcher hands them to the next."""

import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final

from cuminstack.core import EndpointId

#: Bound of the logarithm of a slowness; 20 is beyond any known fault.
_MAX_LOG: Final = 3.0
#: Upper bounds of the ranges in which endpoints are counted.  Those that do not
#: differ count as 1.0 exactly.
_RANGES: Final = (0.5, 0.7, 0.9, 1.0, 1.2, 1.5, 2.0, 4.0, math.inf)


@dataclass(frozen=True, slots=True)
class SpeedFigure:
    """What is known of the speed of an endpoint.

    Args:
        endpoint: The endpoint.
        lifetime: Number of its lifetime.
        log: Logarithm of its slowness, which the uncertainty may exceed.
        variance: Variance of `log`.
        slowness: Slowness that counts: 1.0 if it does not differ.
        age: Seconds since its newest sample.
    """

    endpoint: EndpointId
    lifetime: int
    log: float
    variance: float
    slowness: float
    age: float

    @property
    def is_plausible(self) -> bool:
        """Whether its values are in range; they come from another instance."""
        spans = (self.variance, self.age)
        is_valid = all(0 <= span < math.inf for span in spans)
        return is_valid and abs(self.log) <= _MAX_LOG


@dataclass(frozen=True, slots=True)
class SpeedTable:
    """Speeds of endpoints.

    Args:
        figures: A figure for each endpoint that is known.
    """

    figures: tuple[SpeedFigure, ...] = ()

    @property
    def is_even(self) -> bool:
        """Whether all endpoints count as alike."""
        return all(figure.slowness == 1 for figure in self.figures)

    @property
    def max_age(self) -> float:
        """Age of the oldest figure in seconds; 0 if there is none."""
        return max((figure.age for figure in self.figures), default=0)

    @property
    def distribution(self) -> Mapping[str, int]:
        """Number of endpoints by the upper bound of their slowness."""
        counts = Counter(
            _RANGES[bisect_left(_RANGES, figure.slowness)]
            for figure in self.figures
        )
        return {str(bound): counts[bound] for bound in _RANGES}
