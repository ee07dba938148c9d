"""The sheet in force: submitted, agreed on, spread and applied."""

from dataclasses import dataclass
from typing import Final

from cuminstack.admission import Admission, MemberBound
from cuminstack.core import Instance, InstanceId, Needs
from cuminstack.membership import Summary as PeerState
from cuminstack.node._routing import Effects, on_effect, on_message
from cuminstack.register import (
    Accept,
    Accepted,
    Fetch,
    Fetched,
    Learned,
    Prepare,
    Promise,
    Refused,
    Register,
    StandingReply,
    StandingRequest,
)
from cuminstack.sheet import Sheet
from cuminstack.slots import MemberTerms, Policy
from cuminstack.spread import (
    Apply,
    Ask,
    Chunk,
    Freshness,
    Push,
    Spread,
    Summary,
    Update,
    Want,
    WantChunk,
)

#: Pause between two questions to the replicas after a start, in seconds.
_READ_SECONDS: Final = 0.25


@dataclass(frozen=True, slots=True)
class SheetApplied:
    """A newer sheet is in force at this instance."""

    sheet: Sheet


@dataclass(frozen=True, slots=True)
class NeverInForce:
    """A quorum, asked after the start, knows of no sheet in force ever.

    Without a sheet no job was accepted, so no claim can have been lost.
    """


class SheetDesk:
    """Puts sheets in force, and applies them.

    Args:
        register: The quorum register.
        spread: Brings the sheet in force to every instance.
        policy: The dispatch policy, told the members' terms.
        admission: Told the members' bounds and claims.
    """

    def __init__(
        self,
        register: Register,
        spread: Spread,
        policy: Policy,
        admission: Admission,
    ) -> None:
        self._admission = admission
        self._register = register
        self._spread = spread
        self._policy = policy
        self._read_at = float('inf')
        self._never_in_force = False

    @property
    def sheet(self) -> Sheet:
        """The sheet in force here."""
        return self._spread.sheet

    @property
    def register(self) -> Register:
        """The quorum register."""
        return self._register

    def is_known(self, *, now: float) -> bool:
        """Tell whether the sheet in force was found, or that there is none."""
        if self._spread.freshness(now=now) is Freshness.asking:
            return False
        return self._never_in_force or bool(self.sheet.version)

    def freshness(self, *, now: float) -> Freshness:
        """Tell how sure it is that this is the sheet in force."""
        return self._spread.freshness(now=now)

    def start(self, *, now: float) -> Effects:
        """Begin to ask for the sheet in force."""
        self._spread.start(now=now)
        self._read_at = now
        return self._register.start(now=now)

    def submit(self, sheet: Sheet, *, ticket: int, now: float) -> Effects:
        """Submit a sheet; `Done` with the ticket tells the outcome."""
        return self._register.submit(sheet, ticket=ticket, now=now)

    def observe_instances(
        self,
        alive: tuple[Instance, ...],
        *,
        now: float,
    ) -> Effects:
        """Take the instances that can be reached."""
        return self._spread.observe_instances(alive, now=now)

    def observe_peer(
        self,
        sender: InstanceId,
        summary: PeerState,
        *,
        now: float,
    ) -> Effects:
        """Take what a heartbeat said about a peer's sheet."""
        heard = Summary(summary.version, summary.digest)
        return self._spread.observe_summary(sender, heard, now=now)

    def persisted(self, sequence: int, *, saved: bool, now: float) -> Effects:
        """Take what became of a state that was to be synced."""
        if saved:
            return self._register.persisted(sequence, now=now)
        return self._register.persist_failed(sequence, now=now)

    def tick(self, *, now: float) -> Effects:
        """Do what is due."""
        return (
            *self._read(now=now),
            *self._register.tick(now=now),
            *self._spread.tick(now=now),
        )

    def _read(self, *, now: float) -> Effects:
        """Ask the replicas themselves while no peer has told of a sheet."""
        if now < self._read_at:
            return ()
        if self.sheet.version:
            self._read_at = float('inf')
            return ()
        self._read_at = now + _READ_SECONDS
        return self._register.read(now=now)

    @on_effect(Learned)
    def _learned(self, effect: Learned, *, now: float) -> Effects:
        if effect.sheet.version:
            return self._spread.publish(effect.sheet, now=now)
        self._read_at = float('inf')
        self._never_in_force = True
        return (NeverInForce(),)

    @on_effect(Apply)
    def _apply(self, effect: Apply, *, now: float) -> Effects:
        self._register.observe_in_force(effect.sheet)
        terms = {
            str(member.name): MemberTerms(member.share, member.max_slots)
            for member in effect.sheet.members
        }
        self._admission.apply_sheet(
            {
                str(member.name): MemberBound(member.max_queued)
                for member in effect.sheet.members
            },
            {
                claim.ref: Needs(
                    claim.max_processors,
                    claim.max_memory_mb,
                    claim.max_accelerators,
                )
                for claim in effect.sheet.claims
            },
        )
        applied = SheetApplied(effect.sheet)
        return (*self._policy.apply_terms(terms, now=now), applied)

    @on_message(Ask, Chunk, Push, Summary, Update, Want, WantChunk)
    def _receive_spread(
        self,
        sender: InstanceId,
        message: Push,
        *,
        now: float,
    ) -> Effects:
        return self._spread.receive(sender, message, now=now)

    @on_message(
        Accept,
        Accepted,
        Fetch,
        Fetched,
        StandingRequest,
        StandingReply,
        Prepare,
        Promise,
        Refused,
    )
    def _receive_register(
        self,
        sender: InstanceId,
        message: Prepare,
        *,
        now: float,
    ) -> Effects:
        return self._register.receive(sender, message, now=now)
