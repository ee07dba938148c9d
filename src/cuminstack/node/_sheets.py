"""Submits, agrees on, distributes and applies the sheet in force."""

from dataclasses import dataclass
from typing import Final

from cuminstack.admission import Admission, MemberBound
from cuminstack.core import Instance, InstanceId, Needs
from cuminstack.membership import Summary as MembershipSummary
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

#: Interval between reads of the register while no sheet is known after a start.
_READ_INTERVAL_SECONDS: Final = 0.25


@dataclass(frozen=True, slots=True)
class SheetApplied:
    """A newer sheet is in force at this instance."""

    sheet: Sheet


@dataclass(frozen=True, slots=True)
class NeverInForce:
    """A quorum read after the start found that no sheet was ever in force.

    Without a sheet no job was accepted, so no claim can have been lost.
    """


class SheetHandler:
    """Puts sheets in force and applies them to this instance.

    Args:
        register: The quorum register that stores the sheet.
        spread: Distributes the sheet in force to all instances.
        policy: The dispatch policy, which applies the members' terms.
        admission: Admission control, which applies the members' queue bounds
            and resource claims.
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
        self._next_read_at = float('inf')
        self._never_in_force = False

    @property
    def sheet(self) -> Sheet:
        """The sheet in force at this instance."""
        return self._spread.sheet

    @property
    def register(self) -> Register:
        """The quorum register that stores the sheet."""
        return self._register

    def is_known(self, *, now: float) -> bool:
        """Return whether it is known which sheet is in force, if any."""
        if self._spread.freshness(now=now) is Freshness.asking:
            return False
        return self._never_in_force or bool(self.sheet.version)

    def freshness(self, *, now: float) -> Freshness:
        """Return how certain it is that `sheet` is the one in force."""
        return self._spread.freshness(now=now)

    def start(self, *, now: float) -> Effects:
        """Start to look for the sheet in force."""
        self._spread.start(now=now)
        self._next_read_at = now
        return self._register.start(now=now)

    def submit(self, sheet: Sheet, *, ticket: int, now: float) -> Effects:
        """Submit a sheet; a `Done` with the ticket and the outcome follows."""
        return self._register.submit(sheet, ticket=ticket, now=now)

    def observe_instances(
        self,
        alive: tuple[Instance, ...],
        *,
        now: float,
    ) -> Effects:
        """Set the instances that can be reached."""
        return self._spread.observe_instances(alive, now=now)

    def observe_peer(
        self,
        sender: InstanceId,
        summary: MembershipSummary,
        *,
        now: float,
    ) -> Effects:
        """Record the version of a peer's sheet from its heartbeat."""
        sheet_summary = Summary(summary.version, summary.digest)
        return self._spread.observe_summary(sender, sheet_summary, now=now)

    def persisted(self, sequence: int, *, saved: bool, now: float) -> Effects:
        """Record whether the state of a `Persist` effect was saved."""
        if saved:
            return self._register.persisted(sequence, now=now)
        return self._register.persist_failed(sequence, now=now)

    def tick(self, *, now: float) -> Effects:
        """Perform all periodic work that is due."""
        return (
            *self._read_register(now=now),
            *self._register.tick(now=now),
            *self._spread.tick(now=now),
        )

    def _read_register(self, *, now: float) -> Effects:
        """Read the register periodically while no peer has sent a sheet."""
        if now < self._next_read_at:
            return ()
        if self.sheet.version:
            self._next_read_at = float('inf')
            return ()
        self._next_read_at = now + _READ_INTERVAL_SECONDS
        return self._register.read(now=now)

    @on_effect(Learned)
    def _on_learned(self, effect: Learned, *, now: float) -> Effects:
        if effect.sheet.version:
            return self._spread.publish(effect.sheet, now=now)
        self._next_read_at = float('inf')
        self._never_in_force = True
        return (NeverInForce(),)

    @on_effect(Apply)
    def _on_apply(self, effect: Apply, *, now: float) -> Effects:
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
