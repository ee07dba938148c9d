"""Runs the node: feeds it events, performs its effects, keeps its time."""

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

_Waiters = list['asyncio.Future[Outcome]']
_Lookups = list['asyncio.Future[JobFound]']
_Performer = Callable[[Any], None]


class Driver:
    """The only place where the node meets the clock and the network.

    Args:
        node: The deciding parts.
        observer: Records what is done.
        tick_seconds: Pause between two looks at what is due.
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
        self._waiting: defaultdict[JobId, _Waiters] = defaultdict(list)
        self._looking: defaultdict[JobId, _Lookups] = defaultdict(list)
        self._idle = asyncio.Event()
        self._lag = float(0)
        self._performers: dict[type[Any], _Performer] = {
            JobEnded: self._job_ended,
            JobFound: self._job_found,
            RoutableChanged: self._routable_changed,
            Send: self._send,
            SendStart: self._send_start,
            StopStarted: self._stop_started,
            Superseded: _end_process,
        }

    @property
    def node(self) -> Node:
        """The deciding parts."""
        return self._node

    @property
    def now(self) -> float:
        """Present time: seconds of the loop's monotonic clock."""
        return self._loop.time()

    @property
    def lag(self) -> float:
        """How late the last tick was, in seconds."""
        return self._lag

    def snapshot(self) -> MetricsSnapshot:
        """Give everything that was measured and counted so far."""
        self._observer.counted(
            unused_leases=self._node.policy.unused_leases,
            strays=self._node.jobs.unmatched_results.counts.total(),
        )
        return self._observer.snapshot()

    def on_effect(self, effect: type[Any], performer: _Performer) -> None:
        """Have an effect of the node performed by another object."""
        self._performers[effect] = performer

    def connect(
        self,
        sender: TaskSender,
        links: dict[InstanceId, PeerLink],
    ) -> None:
        """Take what effects are performed with."""
        self._sender = sender
        self._links = links

    def start(self) -> None:
        """Begin; call once everything that performs effects is there."""
        self.perform(self._node.start(now=self.now))

    def drain(self) -> None:
        """Take no new work."""
        self.perform(self._node.drain(now=self.now))

    def shut_down(self) -> None:
        """Answer all callers that still wait."""
        self.perform(self._node.shut_down(now=self.now))

    def submit(self, request: JobRequest) -> asyncio.Future[Outcome]:
        """Submit a job; the future gives its outcome."""
        waiter: asyncio.Future[Outcome] = self._loop.create_future()
        self._waiting[request.job].append(waiter)
        self._observer.submitted(request, now=self.now)
        outcome, effects = self._node.submit(request, now=self.now)
        if outcome is not None:
            self._waiting[request.job].remove(waiter)
            waiter.set_result(outcome)
        self.perform(effects)
        return waiter

    def attach(self, job: JobId) -> asyncio.Future[Outcome]:
        """Wait for a job that the node knows."""
        waiter: asyncio.Future[Outcome] = self._loop.create_future()
        self._waiting[job].append(waiter)
        return waiter

    def look_up(self, job: JobId) -> asyncio.Future[JobFound]:
        """Ask the other instances for a job."""
        waiter: asyncio.Future[JobFound] = self._loop.create_future()
        self._looking[job].append(waiter)
        self.perform(self._node.look_up(job, now=self.now))
        return waiter

    def cancel(self, job: JobId) -> None:
        """Cancel a job."""
        self.perform(self._node.cancel(job, now=self.now))

    def abandon(self, job: JobId) -> None:
        """Give up a job whose callers have all hung up for good."""
        self.perform(self._node.abandon(job, now=self.now))

    def announce(self, record: EndpointRecord) -> AnnounceReply:
        """Take an announcement."""
        self._observer.announced()
        reply, effects = self._node.announce(record, now=self.now)
        self.perform(effects)
        return reply

    def receive(self, sender: InstanceId, message: Any) -> None:
        """Take a message of a peer.

        Raises:
            wire.UnknownKind: The node has no use for it.
        """
        self._observer.received_frame(message)
        try:
            effects = self._node.receive(sender, message, now=self.now)
        except UnroutedMessage as error:
            raise wire.UnknownKind(str(error)) from error
        self.perform(effects)

    def link_lost(self, peer: InstanceId) -> None:
        """Take the hint that a peer refuses connections."""
        self.perform(self._node.link_lost(peer, now=self.now))

    def finished(self, sent: SendStart, ended: AttemptEnd) -> None:
        """Take the end of an attempt."""
        self._observer.finished(sent, ended, now=self.now)
        effects = self._node.finish(
            sent,
            ended.end,
            answer=ended.answer,
            now=self.now,
        )
        self.perform(effects)

    def perform(self, effects: Effects) -> None:
        """Perform the node's outward effects, in their order."""
        for effect in effects:
            self._performers[type(effect)](effect)

    async def idle(self) -> None:
        """Wait until no caller waits for a job."""
        self._idle.clear()
        await self._idle.wait()

    async def run(self) -> None:
        """Tick until cancelled."""
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
            self._observer.sent_frame(effect.message, len(frame))
            link.send(frame)

    def _send_start(self, effect: SendStart) -> None:
        record = self._node.directory.get(effect.endpoint)
        self._observer.sent(effect, now=self.now)
        if record is None or self._sender is None:
            # Nothing was sent, so the attempt has not started.
            ended = AttemptEnd(AttemptOutcome.not_started)
            self._loop.call_soon(self.finished, effect, ended)
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
                # It may be the link that went silent, not the instance.
                link.reset()

    def _job_found(self, effect: JobFound) -> None:
        for waiter in self._looking.pop(effect.job, ()):
            if not waiter.done():
                waiter.set_result(effect)

    def _job_ended(self, effect: JobEnded) -> None:
        self._observer.ended(effect, now=self.now)
        for waiter in self._waiting.pop(effect.job, ()):
            if not waiter.done():
                waiter.set_result(effect.outcome)


def log_rejected(sender: InstanceId | None, error: Exception) -> None:
    """Take note of a link that was closed because of a bad frame."""
    log_event(
        'link.rejected',
        LogLevel.warning,
        peer=sender or 'unknown',
        error=error,
    )


def _end_process(effect: Superseded) -> None:
    """Shut down, as a later process has this instance's name."""
    log_event(
        'membership.superseded',
        LogLevel.error,
        incarnation=effect.incarnation,
    )
    os.kill(os.getpid(), signal.SIGTERM)
