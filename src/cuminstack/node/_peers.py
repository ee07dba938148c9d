"""What changes when instances come, go or fall silent."""

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
from cuminstack.node._endpoints import EndpointDesk
from cuminstack.node._intake import IntakeDesk
from cuminstack.node._routing import Effects, on_effect, on_message
from cuminstack.node._sheets import SheetDesk
from cuminstack.slots import Policy, SlotSummary

#: Pause between two comparisons with what peers advertised, in seconds.
_COMPARE_SECONDS: Final = 0.5


#: Time that the next owners of endpoints have to list them, in seconds.
_ADOPTION_SECONDS: Final = 2.0


@dataclass(frozen=True, slots=True)
class RoutableChanged:
    """The instances that work may be sent to are others than before.

    Args:
        routable: Those that it may be sent to, this one included.
        lost: Those that it may no longer be sent to.
    """

    routable: tuple[Instance, ...]
    lost: tuple[InstanceId, ...]


class PeerDesk:
    """Follows the membership, and tells the other desks.

    Args:
        own: This instance.
        membership: The failure detector.
        endpoints: The desk whose table is advertised.
        intake: The desk whose jobs may wait for a peer.
        directory: Where the endpoints of peers are listed.
        policy: The dispatch policy.
        sheets: The desk that follows the sheet in force.
    """

    def __init__(
        self,
        own: Instance,
        *,
        membership: Membership,
        endpoints: EndpointDesk,
        intake: IntakeDesk,
        directory: Directory,
        policy: Policy,
        sheets: SheetDesk,
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
        """Give what a peer's last heartbeat advertised."""
        return self._advertised.get(peer, Summary())

    def tick(self, *, now: float) -> Effects:
        """Send what is due, and pull tables that are behind."""
        sheet = self._sheets.sheet
        summary = Summary(
            version=sheet.version,
            digest=sheet.digest,
            stamp=self._endpoints.version,
            load=wire.encode(self._policy.summary),
        )
        self._membership.advertise(summary)
        effects: Effects = self._membership.tick(now=now)
        if now - self._compared_at < _COMPARE_SECONDS:
            return effects
        self._compared_at = now
        return (
            *effects,
            *self._forget_departed(now=now),
            *self._compare_all(now=now),
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
    def _peer_summary(self, effect: PeerSummary, *, now: float) -> Effects:
        self._advertised[effect.sender] = effect.summary
        self._observe_load(effect, now=now)
        return (
            *self._compare(effect.sender, now=now),
            *self._sheets.observe_peer(
                effect.sender,
                effect.summary,
                now=now,
            ),
        )

    @on_effect(ViewChanged)
    def _view_changed(self, effect: ViewChanged, *, now: float) -> Effects:
        alive = frozenset(
            (peer.instance, peer.incarnation) for peer in effect.alive
        )
        effects: list[Effects] = [
            self._lose(name, now=now) for name, _ in sorted(self._alive - alive)
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
            # A peer of another version; its slots are found by asking.
            return
        if isinstance(load, SlotSummary):
            self._policy.observe_summary(effect.sender, load, now=now)

    def _lose(self, name: InstanceId, *, now: float) -> Effects:
        """End what depends on a process that is gone.

        Its table is kept until the next owners have had time to list the
        endpoints as theirs.
        """
        self._advertised.pop(name, None)
        self._departed[name] = now + _ADOPTION_SECONDS
        return self._intake.holder_gone(name, now=now)

    def _forget_departed(self, *, now: float) -> Effects:
        alive = {name for name, _ in self._alive}
        due = [name for name, until in self._departed.items() if until <= now]
        groups: list[Effects] = []
        for name in due:
            self._departed.pop(name)
            if name not in alive:
                groups.append(self._directory.forget_owner(name))
        return tuple(each for group in groups for each in group)

    def _compare_all(self, *, now: float) -> Effects:
        groups = [self._compare(name, now=now) for name in self._advertised]
        return tuple(each for group in groups for each in group)

    def _compare(self, name: InstanceId, *, now: float) -> Effects:
        record = self._membership.record_of(name)
        if record is None or name not in self._routable:
            return ()
        return self._directory.observe_version(
            name,
            record.incarnation,
            self._advertised[name].stamp,
            now=now,
        )
