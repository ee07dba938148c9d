"""Handles changes of the membership and what peers advertise."""

from dataclasses import dataclass
from typing import Final

from cuminstack import wire
from cuminstack.core import Instance, InstanceId
from cuminstack.endpoints import Directory
from cuminstack.membership import (
    Heartbeat,
    Membership,
    PeerSummary,
    Records,
    Summary,
    ViewChanged,
)
from cuminstack.node._endpoints import EndpointHandler
from cuminstack.node._intake import IntakeHandler
from cuminstack.node._routing import Effects, on_effect, on_message
from cuminstack.node._sheets import SheetHandler
from cuminstack.slots import Policy, SlotSummary

#: Interval between comparisons of table versions with those of peers.
_COMPARE_INTERVAL_SECONDS: Final = 0.5

#: Time in which other instances adopt the endpoints of an owner that is gone.
_ADOPTION_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class RoutableChanged:
    """The set of instances that work may be sent to has changed.

    Args:
        routable: Instances that work may be sent to, including this one.
        lost: Instances that work may no longer be sent to.
    """

    routable: tuple[Instance, ...]
    lost: tuple[InstanceId, ...]


class PeerHandler:
    """Tracks the membership, and applies changes to the other handlers.

    Args:
        own: This instance.
        membership: The failure detector.
        endpoints: Handler whose table version is advertised to peers.
        intake: Handler of jobs, some of which are forwarded to peers.
        directory: Directory of the endpoints of all instances.
        policy: The dispatch policy.
        sheets: Handler that has the sheet in force.
    """

    def __init__(
        self,
        own: Instance,
        *,
        membership: Membership,
        endpoints: EndpointHandler,
        intake: IntakeHandler,
        directory: Directory,
        policy: Policy,
        sheets: SheetHandler,
    ) -> None:
        self._own = own
        self._membership = membership
        self._endpoints = endpoints
        self._intake = intake
        self._directory = directory
        self._policy = policy
        self._sheets = sheets
        self._advertised: dict[InstanceId, Summary] = {}
        self._departed: dict[InstanceId, float] = {}
        self._alive: frozenset[tuple[InstanceId, int]] = frozenset()
        self._routable: frozenset[InstanceId] = frozenset()
        self._compared_at = float('-inf')

    def advertised_by(self, peer: InstanceId) -> Summary:
        """Return the summary of a peer's last heartbeat, or an empty one."""
        return self._advertised.get(peer, Summary())

    def tick(self, *, now: float) -> Effects:
        """Send heartbeats that are due, and pull tables that are outdated."""
        sheet = self._sheets.sheet
        summary = Summary(
            version=sheet.version,
            digest=sheet.digest,
            stamp=self._endpoints.version,
            load=wire.encode(self._policy.summary),
        )
        self._membership.advertise(summary)
        effects: Effects = self._membership.tick(now=now)
        if now - self._compared_at < _COMPARE_INTERVAL_SECONDS:
            return effects
        self._compared_at = now
        return (
            *effects,
            *self._forget_departed(now=now),
            *self._compare_tables(now=now),
        )

    @on_message(Heartbeat, Records)
    def _receive(
        self,
        sender: InstanceId,
        message: Heartbeat | Records,
        *,
        now: float,
    ) -> Effects:
        return self._membership.receive(sender, message, now=now)

    @on_effect(PeerSummary)
    def _on_peer_summary(self, effect: PeerSummary, *, now: float) -> Effects:
        self._advertised[effect.sender] = effect.summary
        self._observe_load(effect, now=now)
        return (
            *self._compare_table(effect.sender, now=now),
            *self._sheets.observe_peer(
                effect.sender,
                effect.summary,
                now=now,
            ),
        )

    @on_effect(ViewChanged)
    def _on_view_changed(self, effect: ViewChanged, *, now: float) -> Effects:
        alive = frozenset(
            (peer.instance, peer.incarnation) for peer in effect.alive
        )
        effects: list[Effects] = [
            self._handle_instance_gone(name, now=now)
            for name, _ in sorted(self._alive - alive)
        ]
        self._alive = alive
        effects.append(
            self._endpoints.observe_instances(effect.routable, now=now),
        )
        routable = frozenset(peer.instance for peer in effect.routable)
        lost = tuple(sorted(self._routable - routable))
        self._routable = routable
        return (
            *(each for group in effects for each in group),
            *self._policy.observe_instances(effect.routable, now=now),
            *self._sheets.observe_instances(effect.routable, now=now),
            RoutableChanged(effect.routable, lost),
        )

    def _observe_load(self, effect: PeerSummary, *, now: float) -> None:
        try:
            load = wire.decode(effect.summary.load)
        except wire.BadFrame:
            # The peer runs another version; its slots are requested instead.
            return
        if isinstance(load, SlotSummary):
            self._policy.observe_summary(effect.sender, load, now=now)

    def _handle_instance_gone(self, name: InstanceId, *, now: float) -> Effects:
        """End or take over what depends on an instance that is gone.

        Its endpoint table is kept until the new owners have had time to adopt
        the endpoints.
        """
        self._advertised.pop(name, None)
        self._departed[name] = now + _ADOPTION_SECONDS
        return self._intake.handle_holder_gone(name, now=now)

    def _forget_departed(self, *, now: float) -> Effects:
        alive = {name for name, _ in self._alive}
        due = [name for name, until in self._departed.items() if until <= now]
        groups: list[Effects] = []
        for name in due:
            self._departed.pop(name)
            if name not in alive:
                groups.append(self._directory.forget_owner(name))
        return tuple(each for group in groups for each in group)

    def _compare_tables(self, *, now: float) -> Effects:
        groups = [
            self._compare_table(name, now=now) for name in self._advertised
        ]
        return tuple(each for group in groups for each in group)

    def _compare_table(self, name: InstanceId, *, now: float) -> Effects:
        record = self._membership.record_of(name)
        if record is None or name not in self._routable:
            return ()
        return self._directory.observe_version(
            name,
            record.incarnation,
            self._advertised[name].stamp,
            now=now,
        )
