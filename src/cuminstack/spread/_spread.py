"""Bringing the sheet in force to every instance."""

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
    ASK_SECONDS,
    Freshness,
    Heard,
    PeerSheets,
)
from cuminstack.spread._tree import children, heads


class Spread:
    """The sheet in force at one instance, and how it gets there.

    A new sheet is pushed: to one instance in each zone, and from there
    through a tree.  Whoever it doesn't reach sees from the heartbeats that a
    peer has a newer one, and asks that peer.  Only newer sheets are applied.
    """

    def __init__(
        self,
        own: InstanceId,
        zone: ZoneName,
        replicas: Iterable[InstanceId],
    ) -> None:
        """Take this instance, its zone and the replica set."""
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
        """The sheet in force here."""
        return self._sheet

    def summary(self) -> Summary:
        """Give what heartbeats say about the sheet here."""
        return Summary(self._sheet.version, self._sheet.digest)

    def freshness(self, *, now: float) -> Freshness:
        """Tell how sure it is that this is the sheet in force."""
        found = self._peers.freshness(self._sheet.version, now=now)
        if self._asking_until is None:
            return Freshness.asking
        is_asking = now < self._asking_until
        if is_asking and found is not Freshness.confirmed:
            return Freshness.asking
        return found

    def start(self, *, now: float) -> None:
        """Begin to ask; until that has ended, don't serve."""
        self._asking_until = now + ASK_SECONDS

    def observe_instances(
        self,
        alive: Sequence[Instance],
        *,
        now: float,
    ) -> Effects:
        """Take the instances thought alive; new ones are asked."""
        self._alive = tuple(sorted(alive, key=_instance_id))
        self._zone_peers = tuple(
            instance.instance
            for instance in self._alive
            if instance.zone == self._zone
        )
        return self._ask()

    def publish(self, sheet: Sheet, *, now: float) -> Effects:
        """Take a sheet that came into force, and push it."""
        if sheet.version <= self._sheet.version:
            return ()
        delta = diff(self._sheet, sheet)
        effects = self._apply(sheet, delta)
        if delta.size > CHUNK_BYTES:
            # The heartbeats bring it, to each by what it lacks.
            return effects
        beyond = (
            Send(head, Push(head, delta))
            for head in heads(self._alive, self._zone, delta.version)
        )
        return (*effects, *beyond, *self._pass_on(self._own, delta))

    def observe_summary(
        self,
        sender: InstanceId,
        summary: Summary,
        *,
        now: float,
    ) -> Effects:
        """Take what a heartbeat said about a peer's sheet."""
        heard = Heard(summary.version, summary.digest, now)
        self._peers.observe(sender, heard)
        own = self.summary()
        if summary.version == own.version and summary.digest != own.digest:
            return (Diverged(sender, own.version),)
        return self._seek(now)

    def receive(
        self,
        sender: InstanceId,
        message: SpreadMessage,
        *,
        now: float,
    ) -> Effects:
        """Take a message of a peer."""
        match message:
            case Push():
                return self._pushed(sender, message, now)
            case Ask():
                return (Send(sender, self.summary()),)
            case Summary():
                return self.observe_summary(sender, message, now=now)
            case Want():
                return self._give(sender, message)
            case Update():
                return self._updated(sender, message.delta, now)
            case WantChunk():
                return self._give_chunk(sender, message)
            case Chunk():
                return self._take_chunk(sender, message, now)

    def tick(self, *, now: float) -> Effects:
        """Do what is due; call several times a second."""
        return self._seek(now)

    def _ask(self) -> Effects:
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
        self._catch_up.end()
        return (Apply(sheet),)

    def _pushed(self, sender: InstanceId, push: Push, now: float) -> Effects:
        delta = push.delta
        self._peers.observe(sender, Heard(delta.version, delta.digest, now))
        if delta.version <= self._sheet.version:
            return ()
        passed_on = self._pass_on(push.root, delta)
        return (*passed_on, *self._updated(sender, delta, now))

    def _updated(
        self,
        sender: InstanceId,
        delta: SheetDelta,
        now: float,
    ) -> Effects:
        if delta.version <= self._sheet.version:
            return ()
        sheet = apply_delta(self._sheet, delta)
        if isinstance(sheet, DeltaMismatch):
            return self._catch_up.want(sender, self.summary(), now=now)
        return self._apply(sheet, delta)

    def _pass_on(self, root: InstanceId, delta: SheetDelta) -> Effects:
        below = children(self._own, root, self._zone_peers)
        return tuple(Send(child, Push(root, delta)) for child in below)

    def _give(self, sender: InstanceId, want: Want) -> Effects:
        answer = self._archive.answer(self._sheet, want)
        return () if answer is None else (Send(sender, answer),)

    def _give_chunk(self, sender: InstanceId, wanted: WantChunk) -> Effects:
        chunk = self._archive.give(wanted)
        return () if chunk is None else (Send(sender, chunk),)

    def _take_chunk(
        self,
        sender: InstanceId,
        chunk: Chunk,
        now: float,
    ) -> Effects:
        found = self._catch_up.take(sender, chunk, now=now)
        if isinstance(found, Send):
            return (found,)
        if found is None or found.version <= self._sheet.version:
            return ()
        return self._apply(found, diff(self._sheet, found))

    def _seek(self, now: float) -> Effects:
        is_asking = self.freshness(now=now) is Freshness.asking
        return self._catch_up.seek(
            self.summary(),
            now=now,
            patient=not is_asking,
        )


def _instance_id(instance: Instance) -> InstanceId:
    return instance.instance
