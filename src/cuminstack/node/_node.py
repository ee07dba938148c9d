"""The decision logic of one instance, without input or output.

The node processes events, given the present time in seconds, and returns
effects that the surrounding layer performs: messages to peers, starts at
endpoints and outcomes of jobs.
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
from cuminstack.node._admission import NodeOptions, SheetAdmissionController
from cuminstack.node._claims import ClaimHandler
from cuminstack.node._dispatch import DispatchHandler
from cuminstack.node._endpoints import AnnounceReply, EndpointHandler
from cuminstack.node._health import HealthMonitor
from cuminstack.node._intake import IntakeHandler
from cuminstack.node._lookups import JobFound, LookupHandler
from cuminstack.node._peers import PeerHandler, RoutableChanged
from cuminstack.node._routing import Effects, Router
from cuminstack.node._sheets import SheetApplied, SheetHandler
from cuminstack.register import Done, Persist, Register
from cuminstack.sheet import Sheet
from cuminstack.slots import Policy
from cuminstack.spread import Diverged, Spread

#: Memory limit for the stored answers of ended jobs: 32 MiB.
_MAX_OUTCOME_BYTES: Final = 33_554_432

_EXTERNAL_EFFECTS: Final = (
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
    """Components that a node is built from.

    Args:
        peers: The other instances that the settings list.
        policy: The dispatch policy.
        register: The quorum register that stores the sheet.
        spread: Distributes the sheet in force to all instances.
        claims: The claim client and the claim replica.
        admission: Admission control of jobs.
    """

    peers: Sequence[Instance]
    policy: Policy
    register: Register
    spread: Spread
    claims: Claims
    admission: Admission


class Node:
    """Decision logic of one instance.

    Args:
        own: This instance.
        parts: Components that the node is built from.
        options: Time-outs and limits.
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
            max_bytes=_MAX_OUTCOME_BYTES,
        )
        self._own = own
        self._options = options
        self._policy = parts.policy
        self._tracker = JobTracker(own, outcomes)
        self._directory = Directory()
        self._membership = Membership(own, parts.peers, timing=options.timing)
        self._admission = parts.admission
        self._health = HealthMonitor(
            parts.policy,
            self._admission,
            instances=len(parts.peers) + 1,
        )
        self._sheets = SheetHandler(
            parts.register,
            parts.spread,
            parts.policy,
            parts.admission,
        )
        self._intake = self._make_intake()
        self._endpoints = EndpointHandler(
            own,
            lease=options.endpoint_lease,
            directory=self._directory,
        )
        self._claims = ClaimHandler(
            own,
            claims=parts.claims,
            tracker=self._tracker,
            membership=self._membership,
        )
        self._dispatch = DispatchHandler(
            self._tracker,
            parts.policy,
            health=self._health,
            claims=self._claims,
        )
        self._peers = self._make_peers(parts.policy)
        self._lookups = LookupHandler(self._tracker, self._intake.knows)
        self._router = Router(_EXTERNAL_EFFECTS)
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
        """Directory of all endpoints of the deployment."""
        return self._directory

    @property
    def endpoints(self) -> EndpointHandler:
        """Handler of the endpoints that announce to this instance."""
        return self._endpoints

    @property
    def membership(self) -> Membership:
        """The failure detector, which has the instances that are alive."""
        return self._membership

    @property
    def sheets(self) -> SheetHandler:
        """Handler that has the sheet in force."""
        return self._sheets

    @property
    def claims(self) -> ClaimHandler:
        """Handler of the claims on jobs."""
        return self._claims

    @property
    def health(self) -> HealthMonitor:
        """Health monitor of the endpoints."""
        return self._health

    @property
    def peers(self) -> PeerHandler:
        """Handler of the other instances and what they advertise."""
        return self._peers

    @property
    def policy(self) -> Policy:
        """The dispatch policy; for queries only."""
        return self._policy

    @property
    def jobs(self) -> JobTracker:
        """The jobs that were accepted by this instance; for queries only."""
        return self._tracker

    @property
    def handled_messages(self) -> frozenset[type[Any]]:
        """Types of the peer messages that the node handles."""
        return self._router.handled_messages

    @property
    def busy(self) -> int:
        """Number of unfinished jobs that were accepted or forwarded here."""
        return self._intake.busy

    def knows(self, job: JobId) -> bool:
        """Return whether a job is in progress here, or was forwarded."""
        return self._intake.knows(job)

    def start(self, *, now: float) -> Effects:
        """Start the node; must be called once, before any other event."""
        return self._process(self._sheets.start(now=now), now=now)

    def drain(self, *, now: float) -> Effects:
        """Refuse new jobs from now on, and hand over leased slots.

        Peers are informed that this instance is leaving.
        """
        self._intake.stop_accepting()
        self._claims.stop_batching_outcomes()
        effects = (
            *self._membership.leave(now=now),
            *self._policy.leaving(now=now),
        )
        return self._process(effects, now=now)

    def shut_down(self, *, now: float) -> Effects:
        """End the jobs that have not ended during the drain."""
        return self._process(self._intake.shut_down(now=now), now=now)

    def submit(
        self,
        request: JobRequest,
        *,
        now: float,
    ) -> tuple[Outcome | None, Effects]:
        """Process a submission.

        Returns:
            The outcome, and effects.  An outcome of None means that a
            `JobEnded` of the job follows.
        """
        outcome, effects = self._intake.submit(request, now=now)
        return outcome, self._process(effects, now=now)

    def look_up(self, job: JobId, *, now: float) -> Effects:
        """Query the other instances about a job; a `JobFound` follows."""
        effects = self._lookups.look_up(job, self._routable_peers(), now=now)
        return self._process(effects, now=now)

    def cancel(self, job: JobId, *, now: float) -> Effects:
        """Cancel a job, at whichever instance has it in progress."""
        if not self._intake.knows(job):
            others = sorted(self._routable_peers())
            return tuple(Send(peer, CancelJob(job)) for peer in others)
        return self._process(self._intake.cancel(job, now=now), now=now)

    def abandon(self, job: JobId, *, now: float) -> Effects:
        """End a job whose callers at this instance have all disconnected."""
        return self._process(self._intake.abandon(job, now=now), now=now)

    def finish(
        self,
        sent: SendStart,
        end: AttemptOutcome,
        *,
        answer: bytes = b'',
        now: float,
    ) -> Effects:
        """Process the end of an attempt.

        Args:
            sent: The start that was sent to the endpoint.
            end: How the attempt ended.
            answer: Answer of the task; empty unless it was answered.
            now: Present time, in seconds.
        """
        effects = self._dispatch.finish(sent, end, answer=answer, now=now)
        return self._process(effects, now=now)

    def announce(
        self,
        record: EndpointRecord,
        *,
        now: float,
    ) -> tuple[AnnounceReply, Effects]:
        """Process the announcement of an endpoint.

        Returns:
            The reply to the endpoint, and effects.
        """
        reply, effects = self._endpoints.announce(record, now=now)
        return reply, self._process(effects, now=now)

    def put_sheet(self, sheet: Sheet, *, ticket: int, now: float) -> Effects:
        """Submit a sheet; a `Done` with the ticket and the outcome follows."""
        effects = self._sheets.submit(sheet, ticket=ticket, now=now)
        return self._process(effects, now=now)

    def persisted(self, sequence: int, *, saved: bool, now: float) -> Effects:
        """Record whether the state of a `Persist` effect was saved."""
        effects = self._sheets.persisted(sequence, saved=saved, now=now)
        return self._process(effects, now=now)

    def observe_lag(self, seconds: float) -> None:
        """Record how late the last tick was, in seconds, for load shedding."""
        self._admission.observe_lag(seconds)

    def link_lost(self, peer: InstanceId, *, now: float) -> Effects:
        """Record that the link to a peer was lost, as a hint of its failure."""
        effects = self._membership.link_lost(peer, now=now)
        return self._process(effects, now=now)

    def receive(
        self,
        sender: InstanceId,
        message: Any,
        *,
        now: float,
    ) -> Effects:
        """Process a message of a peer.

        Raises:
            UnroutedMessage: No handler is registered for messages of this
                type.
        """
        external = self._router.receive(sender, message, now=now)
        return self._add_outcome_messages(external, now=now)

    def tick(self, *, now: float) -> Effects:
        """Perform all periodic work that is due."""
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
        return self._process(effects, now=now)

    def _make_intake(self) -> IntakeHandler:
        controller = SheetAdmissionController(
            self._sheets,
            self._tracker,
            self._admission,
            self._options,
        )
        return IntakeHandler(self._own, self._tracker, controller)

    def _make_peers(self, policy: Policy) -> PeerHandler:
        return PeerHandler(
            self._own,
            membership=self._membership,
            endpoints=self._endpoints,
            intake=self._intake,
            directory=self._directory,
            policy=policy,
            sheets=self._sheets,
        )

    def _routable_peers(self) -> frozenset[InstanceId]:
        """Return the other instances that messages may be sent to."""
        routable = frozenset(
            peer.instance for peer in self._membership.routable
        )
        return routable - {self._own.instance}

    def _process(self, effects: Effects, *, now: float) -> Effects:
        external = self._router.process(effects, now=now)
        return self._add_outcome_messages(external, now=now)

    def _add_outcome_messages(
        self,
        external: Effects,
        *,
        now: float,
    ) -> Effects:
        """Process jobs that ended, and add their outcome messages to peers."""
        messages: list[Any] = []
        for effect in external:
            if isinstance(effect, JobEnded):
                messages.extend(self._intake.job_ended(effect, now=now))
                self._claims.job_ended(effect)
        return (*external, *messages) if messages else external
