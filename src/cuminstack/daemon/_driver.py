"""Drives the node: passes it events and the time, and runs its effects."""

import asyncio
import os
import signal
from collections import defaultdict
from collections.abc import Callable
from typing import Any

from cuminstack import wire
from cuminstack.core import EndpointRecord, InstanceId, JobId, Send
from cuminstack.daemon._endpoint_replies import AttemptEnd
from cuminstack.daemon._observer import Observer
from cuminstack.daemon._sender import TaskSender
from cuminstack.jobs import (
    AttemptOutcome,
    JobEnded,
    JobRequest,
    Outcome,
    SendStart,
    StopStarted,
)
from cuminstack.links import PeerLink
from cuminstack.logs import log_event
from cuminstack.membership import Superseded
from cuminstack.metrics import MetricsSnapshot
from cuminstack.node import (
    AnnounceReply,
    Effects,
    JobFound,
    Node,
    RoutableChanged,
    UnroutedMessage,
)
from cuminstack.settings import LogLevel

_OutcomeWaiters = list['asyncio.Future[Outcome]']
_LookupWaiters = list['asyncio.Future[JobFound]']
_EffectHandler = Callable[[Any], None]


class Driver:
    """Connects the node to the clock and the network.

    The node itself does no I/O and reads no clock: every call passes it the
    time, and returns effects that the driver performs.

    Args:
        node: State and decisions of this instance.
        observer: Records metrics and log lines.
        tick_seconds: Interval between two ticks of the node.
    """

    def __init__(
        self,
        node: Node,
        observer: Observer,
        *,
        tick_seconds: float,
    ) -> None:
        self._node = node
        self._observer = observer
        self._tick_seconds = tick_seconds
        self._loop = asyncio.get_running_loop()
        self._links: dict[InstanceId, PeerLink] = {}
        self._sender: TaskSender | None = None
        self._outcome_waiters: defaultdict[JobId, _OutcomeWaiters] = (
            defaultdict(list)
        )
        self._lookup_waiters: defaultdict[JobId, _LookupWaiters] = defaultdict(
            list
        )
        self._idle = asyncio.Event()
        self._lag = float(0)
        self._effect_handlers: dict[type[Any], _EffectHandler] = {
            JobEnded: self._job_ended,
            JobFound: self._job_found,
            RoutableChanged: self._routable_changed,
            Send: self._send,
            SendStart: self._send_start,
            StopStarted: self._stop_started,
            Superseded: _shut_down_superseded,
        }

    @property
    def node(self) -> Node:
        """Node that this driver runs."""
        return self._node

    @property
    def now(self) -> float:
        """Current time, in seconds of the event loop's monotonic clock."""
        return self._loop.time()

    @property
    def lag(self) -> float:
        """Delay of the last tick behind its schedule, in seconds."""
        return self._lag

    def snapshot(self) -> MetricsSnapshot:
        """Return all metrics recorded so far."""
        self._observer.record_node_totals(
            unused_leases=self._node.policy.unused_leases,
            unmatched_results=self._node.jobs.unmatched_results.counts.total(),
        )
        return self._observer.snapshot()

    def on_effect(self, effect: type[Any], handler: _EffectHandler) -> None:
        """Register the handler of one type of effect."""
        self._effect_handlers[effect] = handler

    def connect(
        self,
        sender: TaskSender,
        links: dict[InstanceId, PeerLink],
    ) -> None:
        """Set the task sender and the peer links that effects use."""
        self._sender = sender
        self._links = links

    def start(self) -> None:
        """Start the node, once all effect handlers are registered."""
        self.perform(self._node.start(now=self.now))

    def drain(self) -> None:
        """Stop accepting new jobs."""
        self.perform(self._node.drain(now=self.now))

    def shut_down(self) -> None:
        """End all remaining jobs, which answers their waiting callers."""
        self.perform(self._node.shut_down(now=self.now))

    def submit(self, request: JobRequest) -> asyncio.Future[Outcome]:
        """Submit a job and return a future of its outcome."""
        waiter: asyncio.Future[Outcome] = self._loop.create_future()
        self._outcome_waiters[request.job].append(waiter)
        self._observer.job_submitted(request, now=self.now)
        outcome, effects = self._node.submit(request, now=self.now)
        if outcome is not None:
            self._outcome_waiters[request.job].remove(waiter)
            waiter.set_result(outcome)
        self.perform(effects)
        return waiter

    def attach(self, job: JobId) -> asyncio.Future[Outcome]:
        """Return a future of the outcome of a job that the node knows."""
        waiter: asyncio.Future[Outcome] = self._loop.create_future()
        self._outcome_waiters[job].append(waiter)
        return waiter

    def look_up(self, job: JobId) -> asyncio.Future[JobFound]:
        """Query the other instances for a job."""
        waiter: asyncio.Future[JobFound] = self._loop.create_future()
        self._lookup_waiters[job].append(waiter)
        self.perform(self._node.look_up(job, now=self.now))
        return waiter

    def cancel(self, job: JobId) -> None:
        """Cancel a job."""
        self.perform(self._node.cancel(job, now=self.now))

    def abandon(self, job: JobId) -> None:
        """Abandon a job whose callers disconnected and did not resend."""
        self.perform(self._node.abandon(job, now=self.now))

    def announce(self, record: EndpointRecord) -> AnnounceReply:
        """Process an announcement of an endpoint."""
        self._observer.endpoint_announced()
        reply, effects = self._node.announce(record, now=self.now)
        self.perform(effects)
        return reply

    def receive(self, sender: InstanceId, message: Any) -> None:
        """Process a message of a peer.

        Raises:
            wire.UnknownKind: The node has no handler for the message.
        """
        self._observer.frame_received(message)
        try:
            effects = self._node.receive(sender, message, now=self.now)
        except UnroutedMessage as error:
            raise wire.UnknownKind(str(error)) from error
        self.perform(effects)

    def link_lost(self, peer: InstanceId) -> None:
        """Report to the node that a peer refuses connections."""
        self.perform(self._node.link_lost(peer, now=self.now))

    def attempt_finished(self, sent: SendStart, ended: AttemptEnd) -> None:
        """Process the end of an attempt to run a task."""
        self._observer.attempt_finished(sent, ended, now=self.now)
        effects = self._node.finish(
            sent,
            ended.end,
            answer=ended.answer,
            now=self.now,
        )
        self.perform(effects)

    def perform(self, effects: Effects) -> None:
        """Perform effects of the node in order."""
        for effect in effects:
            self._effect_handlers[type(effect)](effect)

    async def wait_idle(self) -> None:
        """Wait until a tick finds no jobs in progress."""
        self._idle.clear()
        await self._idle.wait()

    async def run(self) -> None:
        """Run the periodic tick until cancelled."""
        due = self.now
        while True:
            due = max(due + self._tick_seconds, self.now)
            await asyncio.sleep(due - self.now)
            self._lag = max(self.now - due, 0)
            self._node.observe_lag(self._lag)
            self.perform(self._node.tick(now=self.now))
            if not self._node.busy:
                self._idle.set()

    def _send(self, effect: Send) -> None:
        link = self._links.get(effect.to)
        if link is not None and link.is_open:
            frame = wire.encode(effect.message)
            self._observer.frame_sent(effect.message, len(frame))
            link.send(frame)

    def _send_start(self, effect: SendStart) -> None:
        record = self._node.directory.get(effect.endpoint)
        self._observer.attempt_started(effect, now=self.now)
        if record is None or self._sender is None:
            # Nothing was sent, so the attempt has not started.
            ended = AttemptEnd(AttemptOutcome.not_started)
            self._loop.call_soon(self.attempt_finished, effect, ended)
            return
        self._sender.start(effect, record)

    def _stop_started(self, effect: StopStarted) -> None:
        record = self._node.directory.get(effect.endpoint)
        if record is not None and self._sender is not None:
            self._sender.stop(record, effect.tasks)

    def _routable_changed(self, effect: RoutableChanged) -> None:
        log_event(
            'membership.routable',
            routable=','.join(peer.instance for peer in effect.routable),
            lost=','.join(effect.lost),
        )
        for lost in effect.lost:
            link = self._links.get(lost)
            if link is not None:
                # The connection may be broken while the peer is alive.
                link.reset()

    def _job_found(self, effect: JobFound) -> None:
        for waiter in self._lookup_waiters.pop(effect.job, ()):
            if not waiter.done():
                waiter.set_result(effect)

    def _job_ended(self, effect: JobEnded) -> None:
        self._observer.job_ended(effect, now=self.now)
        for waiter in self._outcome_waiters.pop(effect.job, ()):
            if not waiter.done():
                waiter.set_result(effect.outcome)


def log_rejected(sender: InstanceId | None, error: Exception) -> None:
    """Log that a peer link was closed because of an invalid frame."""
    log_event(
        'link.rejected',
        LogLevel.warning,
        peer=sender or 'unknown',
        error=error,
    )


def _shut_down_superseded(effect: Superseded) -> None:
    """Shut down: a later process runs under this instance's name."""
    log_event(
        'membership.superseded',
        LogLevel.error,
        incarnation=effect.incarnation,
    )
    os.kill(os.getpid(), signal.SIGTERM)
