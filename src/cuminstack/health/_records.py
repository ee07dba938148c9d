"""Outcomes, symptoms and quarantines of endpoints."""

import enum
from dataclasses import dataclass
from typing import Final

from cuminstack.core import EndpointId

#: Ratio of an endpoint's median run time to its peers' that counts as slow.
SLOW_RATIO: Final = 3


class Outcome(enum.Enum):
    """How an attempt to run a task ended."""

    answered = 'answered'
    failed = 'failed'
    unknown = 'unknown'
    not_started = 'not_started'


@dataclass(frozen=True, slots=True)
class Failing:
    """The endpoint fails tasks that don't fail at other endpoints.

    Args:
        failures: Number of failed attempts in the window.
        samples: Number of attempts in the window.
        jobs: Number of distinct jobs with failed attempts.
    """

    failures: int
    samples: int
    jobs: int


@dataclass(frozen=True, slots=True)
class Slow:
    """The endpoint runs tasks much more slowly than its peers.

    Args:
        median: Median run time of the endpoint, in seconds.
        peers: Median of its peers' medians, in seconds.
    """

    median: float
    peers: float

    @property
    def limit(self) -> float:
        """Median run time above which an endpoint is slow, in seconds."""
        return SLOW_RATIO * self.peers


Symptom = Failing | Slow


@dataclass(frozen=True, slots=True)
class Quarantine:
    """The quarantine of an endpoint, which gets only single tasks as probes.

    Args:
        endpoint: The endpoint.
        symptom: Reason for the quarantine.
        since: Time at which the quarantine began, in seconds.
        probe_at: Time from which the next probe is allowed, in seconds.
        probes_passed: Number of consecutive successful probes.
    """

    endpoint: EndpointId
    symptom: Symptom
    since: float
    probe_at: float
    probes_passed: int


@dataclass(frozen=True, slots=True)
class LimitEndpoint:
    """Limit the concurrent tasks of an endpoint; None removes the limit."""

    endpoint: EndpointId
    limit: int | None
