"""Dissemination of the sheet in force to every instance."""

from collections.abc import Iterable, Sequence

from cuminstack.core import Instance, InstanceId, Send, ZoneName
from cuminstack.sheet import (
    EMPTY_SHEET,
    DeltaMismatch,
    Sheet,
    SheetDelta,
    apply_delta,
    diff,
)
from cuminstack.spread._archive import Archive
from cuminstack.spread._catch_up import CatchUp
from cuminstack.spread._chunks import CHUNK_BYTES
from cuminstack.spread._effects import Apply, Diverged, Effects
from cuminstack.spread._messages import (
    Ask,
    Chunk,
    Push,
    SpreadMessage,
    Summary,
    Update,
    Want,
    WantChunk,
)
from cuminstack.spread._peers import (
    MAX_ASKING_SECONDS,
    Freshness,
    PeerReport,
    PeerSheets,
)
from cuminstack.spread._tree import children, choose_zone_roots


class Spread:
    """The sheet in force at one instance, kept up to date with its peers.

    A new sheet is pushed to one instance in each zone, which distributes it
    through a tree.  An instance that misses the push learns from heartbeats
    that a peer has a newer sheet, and requests it from that peer.  Only newer
    sheets are applied.
    """

    def __init__(
        self,
        own: InstanceId,
        zone: ZoneName,
        replicas: Iterable[InstanceId],
    ) -> None:
        """Start with the empty sheet.

        Args:
            own: This instance.
            zone: Availability zone of this instance.
            replicas: Replica set of the register.
        """
        self._own = own
        self._zone = zone
        self._sheet = EMPTY_SHEET
        self._alive: tuple[Instance, ...] = ()
        self._zone_peers: tuple[InstanceId, ...] = ()
        self._peers = PeerSheets(own, replicas)
        self._archive = Archive()
        self._catch_up = CatchUp(self._peers)
        self._asked: set[InstanceId] = set()
        self._asking_until: float | None = None

    @property
    def sheet(self) -> Sheet:
        """The sheet in force at this instance."""
        return self._sheet

    def summary(self) -> Summary:
        """Return the summary of the sheet, which heartbeats carry."""
        return Summary(self._sheet.version, self._sheet.digest)

    def freshness(self, *, now: float) -> Freshness:
        """Return whether the sheet is known to be the one in force."""
        found = self._peers.freshness(self._sheet.version, now=now)
        if self._asking_until is None:
            return Freshness.asking
        is_asking = now < self._asking_until
        if is_asking and found is not Freshness.confirmed:
            return Freshness.asking
        return found

    def start(self, *, now: float) -> None:
        """Start asking peers; the instance must not serve until that ends."""
        self._asking_until = now + MAX_ASKING_SECONDS

    def observe_instances(
        self,
        alive: Sequence[Instance],
        *,
        now: float,
    ) -> Effects:
        """Update the instances considered alive, and ask the new ones."""
        self._alive = tuple(sorted(alive, key=_instance_id))
        self._zone_peers = tuple(
            instance.instance
            for instance in self._alive
            if instance.zone == self._zone
        )
        return self._ask_new_instances()

    def publish(self, sheet: Sheet, *, now: float) -> Effects:
        """Apply a sheet that came into force, and push it."""
        if sheet.version <= self._sheet.version:
            return ()
        delta = diff(self._sheet, sheet)
        effects = self._apply(sheet, delta)
        if delta.size > CHUNK_BYTES:
            # Too large to push: instances request what they lack when they
            # see the new version in heartbeats.
            return effects
        to_zones = (
            Send(root, Push(root, delta))
            for root in choose_zone_roots(
                self._alive, self._zone, delta.version
            )
        )
        return (*effects, *to_zones, *self._forward(self._own, delta))

    def observe_summary(
        self,
        sender: InstanceId,
        summary: Summary,
        *,
        now: float,
    ) -> Effects:
        """Handle the summary of a peer's sheet in a heartbeat."""
        report = PeerReport(summary.version, summary.digest, now)
        self._peers.observe(sender, report)
        own = self.summary()
        if summary.version == own.version and summary.digest != own.digest:
            return (Diverged(sender, own.version),)
        return self._request_newer(now)

    def receive(
        self,
        sender: InstanceId,
        message: SpreadMessage,
        *,
        now: float,
    ) -> Effects:
        """Handle a message of a peer."""
        match message:
            case Push():
                return self._receive_push(sender, message, now)
            case Ask():
                return (Send(sender, self.summary()),)
            case Summary():
                return self.observe_summary(sender, message, now=now)
            case Want():
                return self._send_update(sender, message)
            case Update():
                return self._receive_delta(sender, message.delta, now)
            case WantChunk():
                return self._send_chunk(sender, message)
            case Chunk():
                return self._receive_chunk(sender, message, now)

    def tick(self, *, now: float) -> Effects:
        """Handle timeouts and requests; call several times a second."""
        return self._request_newer(now)

    def _ask_new_instances(self) -> Effects:
        """Ask instances that were not asked before for their summary."""
        new = [
            instance.instance
            for instance in self._alive
            if instance.instance not in self._asked
        ]
        self._asked.update(new)
        return tuple(Send(name, Ask()) for name in new if name != self._own)

    def _apply(self, sheet: Sheet, delta: SheetDelta) -> Effects:
        self._sheet = sheet
        self._archive.add(delta)
        self._catch_up.reset()
        return (Apply(sheet),)

    def _receive_push(
        self, sender: InstanceId, push: Push, now: float
    ) -> Effects:
        """Forward and apply a pushed sheet, if it is newer."""
        delta = push.delta
        self._peers.observe(
            sender, PeerReport(delta.version, delta.digest, now)
        )
        if delta.version <= self._sheet.version:
            return ()
        forwarded = self._forward(push.root, delta)
        return (*forwarded, *self._receive_delta(sender, delta, now))

    def _receive_delta(
        self,
        sender: InstanceId,
        delta: SheetDelta,
        now: float,
    ) -> Effects:
        """Apply a difference, or request the sheet if its base differs."""
        if delta.version <= self._sheet.version:
            return ()
        sheet = apply_delta(self._sheet, delta)
        if isinstance(sheet, DeltaMismatch):
            return self._catch_up.request(sender, self.summary(), now=now)
        return self._apply(sheet, delta)

    def _forward(self, root: InstanceId, delta: SheetDelta) -> Effects:
        """Push a sheet to the children of this instance in the tree."""
        receivers = children(self._own, root, self._zone_peers)
        return tuple(Send(child, Push(root, delta)) for child in receivers)

    def _send_update(self, sender: InstanceId, want: Want) -> Effects:
        answer = self._archive.answer(self._sheet, want)
        return () if answer is None else (Send(sender, answer),)

    def _send_chunk(self, sender: InstanceId, request: WantChunk) -> Effects:
        chunk = self._archive.get_chunk(request)
        return () if chunk is None else (Send(sender, chunk),)

    def _receive_chunk(
        self,
        sender: InstanceId,
        chunk: Chunk,
        now: float,
    ) -> Effects:
        found = self._catch_up.receive_chunk(sender, chunk, now=now)
        if isinstance(found, Send):
            return (found,)
        if found is None or found.version <= self._sheet.version:
            return ()
        return self._apply(found, diff(self._sheet, found))

    def _request_newer(self, now: float) -> Effects:
        """Request a newer sheet that a peer reported, if that is due."""
        is_asking = self.freshness(now=now) is Freshness.asking
        return self._catch_up.request_newer(
            self.summary(),
            now=now,
            wait_for_push=not is_asking,
        )


def _instance_id(instance: Instance) -> InstanceId:
    return instance.instance
