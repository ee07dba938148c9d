"""A seeded random number generator, for reproducible policy choices."""

from typing import Final

_MASK: Final = 0xFFFFFFFFFFFFFFFF
_STEP: Final = 0x9E3779B97F4A7C15
_FIRST_FACTOR: Final = 0xBF58476D1CE4E5B9
_SECOND_FACTOR: Final = 0x94D049BB133111EB
_FIRST_SHIFT: Final = 30
_SECOND_SHIFT: Final = 27
_LAST_SHIFT: Final = 31


class SplitMix64:
    """The SplitMix64 pseudorandom number generator."""

    def __init__(self, seed: int) -> None:
        self._state = seed & _MASK

    def below(self, bound: int) -> int:
        """Return an integer from 0 up to but excluding `bound`."""
        return self._next() % bound

    def _next(self) -> int:
        self._state = (self._state + _STEP) & _MASK
        mixed = self._state
        mixed = ((mixed ^ (mixed >> _FIRST_SHIFT)) * _FIRST_FACTOR) & _MASK
        mixed = ((mixed ^ (mixed >> _SECOND_SHIFT)) * _SECOND_FACTOR) & _MASK
        return mixed ^ (mixed >> _LAST_SHIFT)
