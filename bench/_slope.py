"""Slopes: how a cost grows with a count, from a few points measured."""

import gc
import time
import tracemalloc
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

_MICROSECONDS: Final = 1_000_000
_REPEATS: Final = 3

_Built = TypeVar('_Built')


@dataclass(frozen=True, slots=True)
class Slope:
    """A line through points.

    Args:
        name: What was measured.
        per: What `x` counts.
        unit: The unit of `y`.
        points: Pairs of `x` and `y`, at least three.
    """

    name: str
    per: str
    unit: str
    points: tuple[tuple[float, float], ...]

    @property
    def slope(self) -> float:
        """Give the growth of `y` for one more, by least squares."""
        mean_x, mean_y = self._means()
        spread = sum((at - mean_x) ** 2 for at, _ in self.points)
        joint = sum((at - mean_x) * (got - mean_y) for at, got in self.points)
        return joint / spread

    @property
    def base(self) -> float:
        """Give `y` at none, on the line."""
        mean_x, mean_y = self._means()
        return mean_y - self.slope * mean_x

    @property
    def misfit(self) -> float:
        """Give the largest distance of a point from the line.

        It is a share of the largest `y`.
        """
        largest = max(abs(got) for _, got in self.points)
        if not largest:
            return 0
        return max(abs(got - self._at(at)) / largest for at, got in self.points)

    def _at(self, count: float) -> float:
        return self.base + self.slope * count

    def _means(self) -> tuple[float, float]:
        size = len(self.points)
        return (
            sum(at for at, _ in self.points) / size,
            sum(got for _, got in self.points) / size,
        )


def line(
    name: str,
    per: str,
    unit: str,
    counts: Iterable[int],
    cost: Callable[[int], float],
) -> Slope:
    """Measure a cost at some counts; see `Slope`."""
    points = tuple((count, cost(count)) for count in counts)
    return Slope(name, per, unit, points)


Measure = Callable[[], tuple[Slope, ...]]
_Decorated = TypeVar('_Decorated', bound=Callable[..., Any])
measures: Final[dict[str, Measure]] = {}


def measure(name: str) -> Callable[[_Decorated], _Decorated]:
    """Register a function that gives slopes, under a name."""

    def decorator(function: _Decorated) -> _Decorated:
        measures[name] = function
        return function

    return decorator


def microseconds(call: Callable[[], object], *, rounds: int) -> float:
    """Give the processor time of one call, the least of several runs."""
    times = []
    for _ in range(_REPEATS):
        began = time.process_time()
        for _ in range(rounds):
            call()
        times.append(time.process_time() - began)
    return min(times) / rounds * _MICROSECONDS


def retained_bytes(build: Callable[[], _Built]) -> tuple[float, _Built]:
    """Give the memory that stays in use for what a call builds."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used, built
