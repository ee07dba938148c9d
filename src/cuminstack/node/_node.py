"""Everything that one instance decides, without input or output.

The node takes events and the present time, and returns effects that the
layer around it performs: messages to peers, starts at endpoints, outcomes.
"""

from collections.abc import Sequence
from typing import Any, Final

from cuminstack.core import (
    EndpointRecord,
    Instance,
    InstanceId,
    JobId,
    Send,
    TaskId,
)
from cuminstack.endpoints import Directory
from cuminstack.jobs import (
    Job,
    JobBook,
    JobEnded,
    JobRequest,
    KeptOutcome,
    Outcome,
    OutcomeStore,
    SendStart,
    StartEnd,
    StopStarted,
)
from cuminstack.membership import Membership, Superseded
from cuminstack.node._dispatch import DispatchDesk
from cuminstack.node._endpoints import AnnounceReply, EndpointDesk
from cuminstack.node._gate import LoadGate, NodeOptions
from cuminstack.node._intake import IntakeDesk
from cuminstack.node._peers import PeerDesk, RoutableChanged
from cuminstack.node._routing import Effects, Router
from cuminstack.slots import Policy

#: Memory for the answers of ended jobs, in bytes.
_OUTCOME_BYTES: Final = 33_554_432

_OUTWARD: Final = (
    Send,
    SendStart,
    StopStarted,
    JobEnded,
    RoutableChanged,
    Superseded,
)


class Node:
    """The deciding parts of one instance, put together.

    Args:
        own: This instance.
        peers: The instances that the settings list.
        policy: Its dispatch policy.
        options: Times that it keeps to.
    """

    def __init__(
        self,
        own: Instance,
        *,
        peers: Sequence[Instance],
        policy: Policy,
        options: NodeOptions,
    ) -> None:
        outcomes = OutcomeStore(
            lifetime=options.outcome_lifetime,
            max_bytes=_OUTCOME_BYTES,
        )
        self._own = own
        self._book = JobBook(outcomes)
        self._directory = Directory()
        self._policy = policy
        self._router = Router(_OUTWARD)
        self._dispatch = DispatchDesk(self._book, policy)
        self._intake = IntakeDesk(
            own, self._book, LoadGate(self._book, options)
        )
        self._endpoints = EndpointDesk(
            own,
            lease=options.endpoint_lease,
            directory=self._directory,
        )
        self._peers = PeerDesk(
            own,
            membership=Membership(own, peers, timing=options.timing),
            endpoints=self._endpoints,
            intake=self._intake,
            directory=self._directory,
            policy=policy,
        )
        desks = (self._dispatch, self._intake, self._endpoints, self._peers)
        for desk in desks:
            self._router.add(desk)

    @property
    def own(self) -> Instance:
        """This instance."""
        return self._own

    @property
    def directory(self) -> Directory:
        """Every endpoint of the deployment."""
        return self._directory

    @property
    def membership(self) -> Membership:
        """Which instances are alive."""
        return self._peers.membership

    @property
    def busy(self) -> int:
        """Jobs that callers still wait for."""
        return self._intake.busy

    def running(self, job: JobId) -> Job | None:
        """Give a job in progress here."""
        return self._book.find(job)

    def ended(self, job: JobId) -> KeptOutcome | None:
        """Give the outcome of a job that ended here."""
        return self._book.ended(job)

    def knows(self, job: JobId) -> bool:
        """Tell whether a job is in progress here, or was forwarded."""
        return self._intake.knows(job)

    def submit(
        self,
        request: JobRequest,
        *,
        now: float,
    ) -> tuple[Outcome | None, Effects]:
        """Take a submission; no outcome means that `JobEnded` follows."""
        outcome, effects = self._intake.submit(request, now=now)
        return outcome, self._settle(effects, now=now)

    def cancel(self, job: JobId, *, now: float) -> Effects:
        """Cancel a job."""
        return self._settle(self._intake.cancel(job, now=now), now=now)

    def abandon(self, job: JobId, *, now: float) -> Effects:
        """End a job whose callers here have all hung up for good."""
        return self._settle(self._intake.abandon(job, now=now), now=now)

    def finish(
        self,
        task: TaskId,
        end: StartEnd,
        *,
        sent: SendStart,
        answer: bytes = b'',
        now: float,
    ) -> Effects:
        """Take the end of an attempt that was sent."""
        effects = self._dispatch.finish(
            task,
            sent.endpoint,
            end,
            answer=answer,
            now=now,
        )
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

    def link_lost(self, peer: InstanceId, *, now: float) -> Effects:
        """Take the hint that a peer can't be reached."""
        return self._settle(self._peers.link_lost(peer, now=now), now=now)

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
        return self._with_peers(
            self._router.receive(sender, message, now=now),
            now=now,
        )

    def tick(self, *, now: float) -> Effects:
        """Do what is due."""
        effects = (
            *self._dispatch.tick(now=now),
            *self._intake.tick(now=now),
            *self._endpoints.tick(now=now),
            *self._peers.tick(now=now),
        )
        return self._settle(effects, now=now)

    def drain(self, *, now: float) -> Effects:
        """Refuse new jobs from now on, and hand over what is owned."""
        self._intake.stop_accepting()
        return self._settle(self._peers.leave(now=now), now=now)

    def _settle(self, effects: Effects, *, now: float) -> Effects:
        outward = self._router.settle(effects, now=now)
        return self._with_peers(outward, now=now)

    def _with_peers(self, outward: Effects, *, now: float) -> Effects:
        """Add the messages to peers that wait for a job that ended."""
        told: list[Any] = []
        for effect in outward:
            if isinstance(effect, JobEnded):
                told.extend(self._intake.tell_peers(effect))
        return (*outward, *told) if told else outward
