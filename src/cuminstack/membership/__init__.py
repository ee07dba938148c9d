"""Failure detection: which instances are alive, and which are routable."""

from cuminstack.membership._graph import neighbours
from cuminstack.membership._membership import Effect, Effects, Membership
from cuminstack.membership._messages import (
    Heartbeat,
    PeerSummary,
    Record,
    Records,
    Standing,
    Summary,
    Superseded,
    ViewChanged,
)
from cuminstack.membership._peer import Timing

__all__ = (
    'Effect',
    'Effects',
    'Heartbeat',
    'Membership',
    'PeerSummary',
    'Record',
    'Records',
    'Standing',
    'Summary',
    'Superseded',
    'Timing',
    'ViewChanged',
    'neighbours',
)
