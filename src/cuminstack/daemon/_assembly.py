"""Puts a node together from the settings and the state on the disk."""

import random
import time
from typing import Final

from cuminstack.admission import Admission
from cuminstack.claims import Claims, ClaimTimeouts, ClaimView, Limits
from cuminstack.core import Instance, InstanceId
from cuminstack.membership import Timing
from cuminstack.node import Node, NodeOptions, NodeParts
from cuminstack.register import (
    AcceptorState,
    OtherReplicaSet,
    Register,
    starting_state,
)
from cuminstack.settings import LimitSettings, Settings, TimeoutSettings
from cuminstack.slots import make_policy
from cuminstack.spread import Spread
from cuminstack.store import Damaged, DurableFile, Loaded

_MILLISECONDS: Final = 1000
_NANOSECONDS: Final = 1_000_000

#: The number of the view that settings without a change under way describe.
_VIEW_NUMBER: Final = 1


class WrongReplicaSet(Exception):
    """The file of a replica was written for another replica set.

    Args:
        found: The replica set in the file.
    """

    def __init__(self, found: tuple[InstanceId, ...]) -> None:
        super().__init__(found)
        self.found = found


def make_instance(settings: Settings) -> Instance:
    """Describe this instance as its peers will know it."""
    return Instance(
        instance=settings.instance.name,
        zone=settings.instance.zone,
        incarnation=time.time_ns() // _NANOSECONDS,
        peer_address=str(settings.listen.peers),
        endpoint_address=str(settings.listen.endpoints),
        replica=settings.is_replica,
    )


def make_peers(settings: Settings) -> tuple[Instance, ...]:
    """Describe the other instances that the settings list."""
    return tuple(
        Instance(
            instance=peer.name,
            zone=peer.zone,
            incarnation=0,
            peer_address=str(peer.peer_address),
            endpoint_address=str(peer.endpoint_address),
            replica=peer.replica,
        )
        for peer in settings.other_peers
    )


def make_node(
    settings: Settings,
    store: DurableFile | None,
    *,
    now: float,
) -> Node:
    """Put a node together.

    Args:
        settings: What the instance was told.
        store: Its state on the disk, if it is a replica.
        now: The present time, in seconds of the loop's clock.

    Raises:
        WrongReplicaSet: The state is that of another replica set.
    """
    own = make_instance(settings)
    peers = make_peers(settings)
    replicas = tuple(
        sorted(each.instance for each in (own, *peers) if each.replica),
    )
    parts = NodeParts(
        peers=peers,
        policy=make_policy(
            settings.dispatch.policy,
            own,
            seed=settings.dispatch.seed,
        ),
        register=_make_register(settings, own, replicas, store),
        spread=Spread(own.instance, own.zone, replicas),
        claims=_make_claims(settings, own, peers, now=now),
        admission=Admission(chance=random.Random(_own_seed(settings))),
    )
    return Node(own, parts=parts, options=_make_options(settings))


def _make_register(
    settings: Settings,
    own: Instance,
    replicas: tuple[InstanceId, ...],
    store: DurableFile | None,
) -> Register:
    return Register(
        own.instance,
        replicas,
        incarnation=own.incarnation,
        chance=random.Random(_own_seed(settings)),
        state=None if store is None else _load(store, own, replicas),
    )


def _own_seed(settings: Settings) -> str:
    """Give a seed that differs from instance to instance."""
    name = settings.instance.name
    seed = settings.dispatch.seed
    return f'{name} {seed}'


def _load(
    store: DurableFile,
    own: Instance,
    replicas: tuple[InstanceId, ...],
) -> AcceptorState:
    loaded = store.load()
    state = starting_state(
        replicas,
        incarnation=own.incarnation,
        record=loaded.record if isinstance(loaded, Loaded) else None,
        damaged=isinstance(loaded, Damaged),
    )
    if isinstance(state, OtherReplicaSet):
        raise WrongReplicaSet(state.found)
    return state


def _make_claims(
    settings: Settings,
    own: Instance,
    peers: tuple[Instance, ...],
    *,
    now: float,
) -> Claims:
    limits = settings.limits
    return Claims(
        own,
        ClaimView(_VIEW_NUMBER, (own, *peers)),
        limits=Limits(lifetime=limits.outcome_lifetime_seconds),
        timeouts=ClaimTimeouts(total=_claim_patience(limits)),
        now=now,
    )


def _make_options(settings: Settings) -> NodeOptions:
    limits = settings.limits
    timeouts = settings.timeouts
    return NodeOptions(
        endpoint_lease=timeouts.endpoint_lease_ms / _MILLISECONDS,
        outcome_lifetime=limits.outcome_lifetime_seconds,
        default_deadline=limits.default_deadline_ms / _MILLISECONDS,
        max_running_jobs=limits.max_running_jobs,
        timing=_make_timing(timeouts),
    )


def _make_timing(timeouts: TimeoutSettings) -> Timing:
    return Timing(
        interval=timeouts.heartbeat_ms / _MILLISECONDS,
        eager=timeouts.suspect_ms / _MILLISECONDS,
        patient=timeouts.gone_ms / _MILLISECONDS,
    )


def _claim_patience(limits: LimitSettings) -> float:
    return limits.claim_timeout_ms / _MILLISECONDS
