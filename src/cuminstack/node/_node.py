"""Everything that one instance decides, without input or output.

The node takes events and the present time, and returns effects that the
layer around it performs: messages to peers, starts at endpoints, outcomes.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Final

from cuminstack.admission import Admission
from cuminstack.claims import Claims
from cuminstack.core import (
    EndpointRecord,
    Instance,
    InstanceId,
    JobId,
    Send,
)
from cuminstack.endpoints import Directory
from cuminstack.jobs import (
    AttemptOutcome,
    CancelJob,
    JobEnded,
    JobRequest,
    JobTracker,
    Outcome,
    OutcomeStore,
    SendStart,
    StopStarted,
)
from cuminstack.membership import Membership, Superseded
from cuminstack.node._claims import ClaimDesk
from cuminstack.node._dispatch import DispatchDesk
from cuminstack.node._endpoints import AnnounceReply, EndpointDesk
from cuminstack.node._gate import NodeOptions, SheetGate
from cuminstack.node._health import HealthDesk
from cuminstack.node._intake import IntakeDesk
from cuminstack.node._lookups import JobFound, LookupDesk
from cuminstack.node._peers import PeerDesk, RoutableChanged
from cuminstack.node._routing import Effects, Router
from cuminstack.node._sheets import SheetApplied, SheetDesk
from cuminstack.register import Done, Persist, Register
from cuminstack.sheet import Sheet
from cuminstack.slots import Policy
from cuminstack.spread import Diverged, Spread

#: Memory for the answers of ended jobs, in bytes.
_OUTCOME_BYTES: Final = 33_554_432

_OUTWARD: Final = (
    Diverged,
    Done,
    JobEnded,
    JobFound,
    Persist,
    RoutableChanged,
    Send,
    SendStart,
    SheetApplied,
    StopStarted,
    Superseded,
)


@dataclass(frozen=True, slots=True)
class NodeParts:
    """What a node is put together from.

    Args:
        peers: The other instances that the settings list.
        policy: The dispatch policy.
        register: The quorum register.
        spread: Brings the sheet in force to every instance.
        claims: The claimant and the claim replica.
        admission: Decides what is let in.
    """

    peers: Sequence[Instance]
    policy: Policy
    register: Register
    spread: Spread
    claims: Claims
    admission: Admission


class Node:
    """The deciding parts of one instance, put together.

    Args:
        own: This instance.
        parts: What it is put together from.
        options: Times and limits that it keeps to.
    """

    def __init__(
        self,
        own: Instance,
        *,
        parts: NodeParts,
        options: NodeOptions,
    ) -> None:
        outcomes = OutcomeStore(
            lifetime=options.outcome_lifetime,
            max_bytes=_OUTCOME_BYTES,
        )
        self._own = own
        self._options = options
        self._policy = parts.policy
        self._book = JobTracker(own, outcomes)
        self._directory = Directory()
        self._membership = Membership(own, parts.peers, timing=options.timing)
        self._admission = parts.admission
        self._health = HealthDesk(
            parts.policy,
            self._admission,
            instances=len(parts.peers) + 1,
        )
        self._sheets = SheetDesk(
            parts.register,
            parts.spread,
            parts.policy,
            parts.admission,
        )
        self._intake = self._make_intake()
        self._endpoints = EndpointDesk(
            own,
            lease=options.endpoint_lease,
            directory=self._directory,
        )
        self._claims = ClaimDesk(
            own,
            claims=parts.claims,
            book=self._book,
            membership=self._membership,
        )
        self._dispatch = DispatchDesk(
            self._book,
            parts.policy,
            health=self._health,
            claims=self._claims,
        )
        self._peers = self._make_peers(parts.policy)
        self._lookups = LookupDesk(self._book, self._intake.knows)
        self._router = Router(_OUTWARD)
        self._router.add_all(
            self._claims,
            self._dispatch,
            self._endpoints,
            self._health,
            self._intake,
            self._lookups,
            self._peers,
            self._sheets,
        )

    @property
    def own(self) -> Instance:
        """This instance."""
        return self._own

    @property
    def directory(self) -> Directory:
        """Every endpoint of the deployment."""
        return self._directory

    @property
    def endpoints(self) -> EndpointDesk:
        """The endpoints that announce themselves here."""
        return self._endpoints

    @property
    def membership(self) -> Membership:
        """Which instances are alive."""
        return self._membership

    @property
    def sheets(self) -> SheetDesk:
        """The sheet in force."""
        return self._sheets

    @property
    def claims(self) -> ClaimDesk:
        """The claims on jobs."""
        return self._claims

    @property
    def health(self) -> HealthDesk:
        """How endpoints do."""
        return self._health

    @property
    def peers(self) -> PeerDesk:
        """What the other instances advertise."""
        return self._peers

    @property
    def policy(self) -> Policy:
        """The dispatch policy; for queries only."""
        return self._policy

    @property
    def book(self) -> JobTracker:
        """The jobs that were accepted here; for queries only."""
        return self._book

    @property
    def handled_messages(self) -> frozenset[type[Any]]:
        """Types of the messages that peers may send."""
        return self._router.handled_messages

    @property
    def busy(self) -> int:
        """Jobs that callers still wait for."""
        return self._intake.busy

    def knows(self, job: JobId) -> bool:
        """Tell whether a job is in progress here, or was forwarded."""
        return self._intake.knows(job)

    def start(self, *, now: float) -> Effects:
        """Begin; call once before anything else."""
        return self._settle(self._sheets.start(now=now), now=now)

    def drain(self, *, now: float) -> Effects:
        """Refuse new jobs from now on, and hand over what is owned."""
        self._intake.stop_accepting()
        self._claims.leave()
        effects = (
            *self._membership.leave(now=now),
            *self._policy.leaving(now=now),
        )
        return self._settle(effects, now=now)

    def shut_down(self, *, now: float) -> Effects:
        """End the jobs that a drain has not seen end."""
        return self._settle(self._intake.shut_down(now=now), now=now)

    def submit(
        self,
        request: JobRequest,
        *,
        now: float,
    ) -> tuple[Outcome | None, Effects]:
        """Take a submission; no outcome means that `JobEnded` follows."""
        outcome, effects = self._intake.submit(request, now=now)
        return outcome, self._settle(effects, now=now)

    def look_up(self, job: JobId, *, now: float) -> Effects:
        """Ask the other instances for a job; `JobFound` follows."""
        effects = self._lookups.look_up(job, self._others(), now=now)
        return self._settle(effects, now=now)

    def cancel(self, job: JobId, *, now: float) -> Effects:
        """Cancel a job, at whichever instance it is in progress."""
        if not self._intake.knows(job):
            others = sorted(self._others())
            return tuple(Send(peer, CancelJob(job)) for peer in others)
        return self._settle(self._intake.cancel(job, now=now), now=now)

    def abandon(self, job: JobId, *, now: float) -> Effects:
        """End a job whose callers here have all hung up for good."""
        return self._settle(self._intake.abandon(job, now=now), now=now)

    def finish(
        self,
        sent: SendStart,
        end: AttemptOutcome,
        *,
        answer: bytes = b'',
        now: float,
    ) -> Effects:
        """Take the end of an attempt that was sent."""
        effects = self._dispatch.finish(sent, end, answer=answer, now=now)
        return self._settle(effects, now=now)

    def announce(
        self,
        record: EndpointRecord,
        *,
        now: float,
    ) -> tuple[AnnounceReply, Effects]:
        """Take the announcement of an endpoint."""
        reply, effects = self._endpoints.announce(record, now=now)
        return reply, self._settle(effects, now=now)

    def put_sheet(self, sheet: Sheet, *, ticket: int, now: float) -> Effects:
        """Submit a sheet; `Done` with the ticket tells the outcome."""
        effects = self._sheets.submit(sheet, ticket=ticket, now=now)
        return self._settle(effects, now=now)

    def persisted(self, sequence: int, *, saved: bool, now: float) -> Effects:
        """Take what became of a state that was to be synced."""
        effects = self._sheets.persisted(sequence, saved=saved, now=now)
        return self._settle(effects, now=now)

    def observe_lag(self, seconds: float) -> None:
        """Take how late the last tick was; load is shed by it."""
        self._admission.observe_lag(seconds)

    def link_lost(self, peer: InstanceId, *, now: float) -> Effects:
        """Take the hint that a peer can't be reached."""
        effects = self._membership.link_lost(peer, now=now)
        return self._settle(effects, now=now)

    def receive(
        self,
        sender: InstanceId,
        message: Any,
        *,
        now: float,
    ) -> Effects:
        """Take a message of a peer.

        Raises:
            UnroutedMessage: No part handles messages of this type.
        """
        outward = self._router.receive(sender, message, now=now)
        return self._with_peers(outward, now=now)

    def tick(self, *, now: float) -> Effects:
        """Do what is due."""
        effects = (
            *self._peers.tick(now=now),
            *self._sheets.tick(now=now),
            *self._claims.tick(now=now),
            *self._endpoints.tick(now=now),
            *self._intake.tick(now=now),
            *self._lookups.tick(now=now),
            *self._health.tick(now=now),
            *self._dispatch.tick(now=now),
        )
        return self._settle(effects, now=now)

    def _make_intake(self) -> IntakeDesk:
        gate = SheetGate(
            self._sheets,
            self._book,
            self._admission,
            self._options,
        )
        return IntakeDesk(self._own, self._book, gate)

    def _make_peers(self, policy: Policy) -> PeerDesk:
        return PeerDesk(
            self._own,
            membership=self._membership,
            endpoints=self._endpoints,
            intake=self._intake,
            directory=self._directory,
            policy=policy,
            sheets=self._sheets,
        )

    def _others(self) -> frozenset[InstanceId]:
        """Give the other instances that messages may be sent to."""
        routable = frozenset(
            peer.instance for peer in self._membership.routable
        )
        return routable - {self._own.instance}

    def _settle(self, effects: Effects, *, now: float) -> Effects:
        outward = self._router.settle(effects, now=now)
        return self._with_peers(outward, now=now)

    def _with_peers(self, outward: Effects, *, now: float) -> Effects:
        """Add the messages to peers that wait for a job that ended."""
        told: list[Any] = []
        for effect in outward:
            if isinstance(effect, JobEnded):
                told.extend(self._intake.settle(effect, now=now))
                self._claims.settle(effect)
        return (*outward, *told) if told else outward
