"""Builds a node from the settings and the state on disk."""

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

_MS_PER_SECOND: Final = 1000
_NS_PER_MS: Final = 1_000_000

#: Number of the claim view while no membership change is in progress.
_INITIAL_VIEW_NUMBER: Final = 1


class WrongReplicaSet(Exception):
    """The stored state of a replica belongs to another replica set.

    Args:
        found: The replica set in the stored state.
    """

    def __init__(self, found: tuple[InstanceId, ...]) -> None:
        super().__init__(found)
        self.found = found


def make_instance(settings: Settings) -> Instance:
    """Return the description of this instance for its peers."""
    return Instance(
        instance=settings.instance.name,
        zone=settings.instance.zone,
        incarnation=time.time_ns() // _NS_PER_MS,
        peer_address=str(settings.listen.peers),
        endpoint_address=str(settings.listen.endpoints),
        replica=settings.is_replica,
    )


def make_peers(settings: Settings) -> tuple[Instance, ...]:
    """Return descriptions of the other instances in the settings."""
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
    """Build a node.

    Args:
        settings: Settings of the instance.
        store: Durable state of a replica, None without a data folder.
        now: Current time, in seconds of the event loop's clock.

    Returns:
        The node, which has not been started.

    Raises:
        WrongReplicaSet: The stored state is that of another replica set.
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
        admission=Admission(chance=random.Random(_instance_seed(settings))),
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
        chance=random.Random(_instance_seed(settings)),
        state=None if store is None else _load_state(store, own, replicas),
    )


def _instance_seed(settings: Settings) -> str:
    """Return a random seed that is distinct for each instance."""
    name = settings.instance.name
    seed = settings.dispatch.seed
    return f'{name} {seed}'


def _load_state(
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
        ClaimView(_INITIAL_VIEW_NUMBER, (own, *peers)),
        limits=Limits(lifetime=limits.outcome_lifetime_seconds),
        timeouts=ClaimTimeouts(total=_claim_timeout_seconds(limits)),
        now=now,
    )


def _make_options(settings: Settings) -> NodeOptions:
    limits = settings.limits
    timeouts = settings.timeouts
    return NodeOptions(
        endpoint_lease=timeouts.endpoint_lease_ms / _MS_PER_SECOND,
        outcome_lifetime=limits.outcome_lifetime_seconds,
        default_deadline=limits.default_deadline_ms / _MS_PER_SECOND,
        max_running_jobs=limits.max_running_jobs,
        timing=_make_timing(timeouts),
    )


def _make_timing(timeouts: TimeoutSettings) -> Timing:
    return Timing(
        interval=timeouts.heartbeat_ms / _MS_PER_SECOND,
        suspect_timeout=timeouts.suspect_ms / _MS_PER_SECOND,
        gone_timeout=timeouts.gone_ms / _MS_PER_SECOND,
    )


def _claim_timeout_seconds(limits: LimitSettings) -> float:
    return limits.claim_timeout_ms / _MS_PER_SECOND
