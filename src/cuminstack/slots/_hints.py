"""Estimates of the free and busy slots of other instances."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId
from cuminstack.slots._messages import Hint

#: Age at which an observation is replaced by the defaults, in seconds.
_STALE_SECONDS: Final = 1
#: Free and busy slots assumed for an instance without a recent observation.
_DEFAULT_FREE: Final = 2
_DEFAULT_BUSY: Final = 8
#: Maximum number of hints in one message.
_MAX_HINTS: Final = 16


@dataclass(frozen=True, slots=True)
class _Observation:
    """Slot counts of an instance, and when they were observed."""

    at: float
    free: int
    busy: int


class Hints:
    """The latest observation of the slots of each instance."""

    def __init__(self) -> None:
        self._observations: dict[InstanceId, _Observation] = {}

    def observe(
        self,
        instance: InstanceId,
        free: int,
        busy: int | None = None,
        *,
        at: float,
    ) -> None:
        """Record slot counts, unless newer ones are known."""
        observation = self._observations.get(instance)
        if busy is None:
            busy = observation.busy if observation else _DEFAULT_BUSY
        if observation is None or observation.at <= at:
            self._observations[instance] = _Observation(at, free, busy)

    def merge(
        self,
        hints: Iterable[Hint],
        own: InstanceId,
        *,
        now: float,
    ) -> None:
        """Record the hints that another instance has sent."""
        for hint in hints:
            if hint.instance != own:
                at = now - hint.age
                self.observe(hint.instance, hint.free, hint.busy, at=at)

    def retain(self, alive: Iterable[InstanceId]) -> None:
        """Drop the instances that have left the membership view."""
        living = set(alive)
        self._observations = {
            peer: observation
            for peer, observation in self._observations.items()
            if peer in living
        }

    def freshest(self, *, now: float) -> tuple[Hint, ...]:
        """Return the most recent hints, newest first."""
        newest = sorted(
            self._observations.items(),
            key=lambda pair: (-pair[1].at, pair[0]),
        )
        return tuple(
            Hint(peer, observation.free, observation.busy, now - observation.at)
            for peer, observation in newest[:_MAX_HINTS]
            if now - observation.at < _STALE_SECONDS
        )

    def estimate_free(self, peer: InstanceId, *, now: float) -> float:
        """Estimate the free slots of an instance.

        The weight of an observation decreases linearly with its age, in favor
        of the default.
        """
        observation = self._observation_of(peer, now)
        confidence = _confidence(observation, now)
        return confidence * observation.free + (1 - confidence) * _DEFAULT_FREE

    def estimate_busy(self, peer: InstanceId, *, now: float) -> float:
        """Estimate the busy slots of an instance, as `estimate_free` does."""
        observation = self._observation_of(peer, now)
        confidence = _confidence(observation, now)
        return confidence * observation.busy + (1 - confidence) * _DEFAULT_BUSY

    def _observation_of(self, peer: InstanceId, now: float) -> _Observation:
        unknown = _Observation(now - _STALE_SECONDS, 0, 0)
        return self._observations.get(peer, unknown)


def _confidence(observation: _Observation, now: float) -> float:
    return max(0, 1 - (now - observation.at) / _STALE_SECONDS)
