"""What is seen of endpoints, and what follows from it."""

import enum
from dataclasses import dataclass
from typing import Final

from cuminstack.core import EndpointId

#: Median run time over the peers' from which an endpoint is slow.
SLOW_RATIO: Final = 3


class Outcome(enum.Enum):
    """How an attempt at a task ended."""

    answered = 'answered'
    failed = 'failed'
    unknown = 'unknown'
    not_started = 'not_started'


@dataclass(frozen=True, slots=True)
class Failing:
    """The endpoint fails tasks that others don't.

    Args:
        failures: Failures in the window.
        samples: Attempts in the window.
        jobs: Different jobs that failed.
    """

    failures: int
    samples: int
    jobs: int


@dataclass(frozen=True, slots=True)
class Slow:
    """The endpoint takes longer than its peers.

    Args:
        median: Its median run time, in seconds.
        peers: The median of its peers' medians, in seconds.
    """

    median: float
    peers: float

    @property
    def limit(self) -> float:
        """Median from which an endpoint counts as slow, in seconds."""
        return SLOW_RATIO * self.peers


Symptom = Failing | Slow


@dataclass(frozen=True, slots=True)
class Quarantine:
    """An endpoint that gets no tasks but single probes.

    Args:
        endpoint: The endpoint.
        symptom: Why.
        since: Its begin, in seconds.
        probe_at: When the next probe is allowed, in seconds.
        probes_passed: Probes that were answered in a row.
    """

    endpoint: EndpointId
    symptom: Symptom
    since: float
    probe_at: float
    probes_passed: int


@dataclass(frozen=True, slots=True)
class LimitEndpoint:
    """Bound the tasks that run at an endpoint; none lifts the bound."""

    endpoint: EndpointId
    limit: int | None
