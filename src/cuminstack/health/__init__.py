"""Endpoint health: outlier detection and quarantine."""

from cuminstack.health._health import EndpointHealth
from cuminstack.health._records import (
    Failing,
    LimitEndpoint,
    Outcome,
    Quarantine,
    Slow,
    Symptom,
)

__all__ = (
    'EndpointHealth',
    'Failing',
    'LimitEndpoint',
    'Outcome',
    'Quarantine',
    'Slow',
    'Symptom',
)
