"""The entry: accepts callers' jobs and submits them to the dispatcher."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any, Final

from cuminstack.core import InstanceId, JobKey, Send, ZoneName
from cuminstack.document import NO_EVACUATIONS, Chosen, Evacuations, Value
from cuminstack.fleet import (
    Answer,
    Answered,
    DispatcherClient,
    Ended,
    LeaderBeat,
    Refused,
    Taken,
    UnknownJobs,
    endpoint_capacity,
)
from cuminstack.links import Mesh
from cuminstack.listeners import Listeners
from cuminstack.logs import log_event
from cuminstack.pool import JobRequest, QueueTerms
from cuminstack.roles._clock import (
    TICK_SECONDS,
    TICKS_PER_HEARTBEAT,
    steady_now,
)
from cuminstack.roles._deputy import Deputy
from cuminstack.roles._guard import contain_errors
from cuminstack.roles._ports import EndpointClient, RoleSettings
from cuminstack.roles._rejected import log_rejected
from cuminstack.settings import LogLevel

#: Ticks between heartbeats to all control instances, including those that
#: don't dispatch.
_ALL_CONTROLS_BEAT_TICKS: Final = 25

ValueCallback = Callable[[Value], None]


class EntryRole:
    """Runs the components of an entry.

    Args:
        settings: Configuration of the process.
        client: Client that sends orders to endpoints, used while this entry
            dispatches.
        on_new_value: Called with each newer desired state.
        listeners: Listeners of the process, which bound what clients use; by
            default with the default limits.
    """

    def __init__(
        self,
        settings: RoleSettings,
        *,
        client: EndpointClient,
        on_new_value: ValueCallback,
        listeners: Listeners | None = None,
    ) -> None:
        self._settings = settings
        self._on_new_value = on_new_value
        self._dispatcher_client = DispatcherClient(
            now=steady_now(),
            zone=ZoneName(settings.zone),
            capacity=endpoint_capacity(settings.cores),
        )
        self._answers: dict[JobKey, asyncio.Future[Answer]] = {}
        self._caller_counts: Counter[JobKey] = Counter()
        self._waiting: dict[str, int] = {}
        self._version = 0
        self._evacuations = NO_EVACUATIONS
        self._ticks = 0
        self._ticker: asyncio.Task[None] | None = None
        self._mesh = Mesh(
            settings.own,
            incarnation=time.time_ns(),
            receive=contain_errors(self._receive),
            reject=log_rejected,
            listeners=listeners,
        )
        self._deputy = Deputy(settings, client=client, mesh=self._mesh)

    @property
    def version(self) -> int:
        """Version of the desired state in use; 0 if there is none."""
        return self._version

    @property
    def dispatcher(self) -> InstanceId | None:
        """The current or last known dispatcher, if any."""
        return self._dispatcher_client.leader

    @property
    def is_ready(self) -> bool:
        """Whether jobs can be accepted now."""
        return bool(self._version) and self._dispatcher_client.has_leader(
            now=steady_now()
        )

    @property
    def waiting(self) -> dict[str, int]:
        """Number of jobs without a started task, by queue."""
        return self._waiting

    @property
    def work(self) -> Mapping[str, float]:
        """Amount of each kind of work since the start."""
        return self._deputy.work

    async def start(self) -> None:
        """Open links to the control instances, and start to tick."""
        await self._mesh.start()
        self._mesh.add_peers(self._settings.controls)
        self._ticker = asyncio.create_task(self._tick_forever())

    async def stop(self) -> None:
        """Close all links; jobs in progress are dropped."""
        if self._ticker is not None:
            self._ticker.cancel()
        self._deputy.stop()
        await self._mesh.stop()

    def leave(self, *, seconds: float) -> None:
        """Prepare for the end of this entry.

        It no longer stands for election as a dispatcher.

        Args:
            seconds: Time within which every job gets its answer.
        """
        self._deputy.resign()
        self._dispatcher_client.leave(answers_until=steady_now() + seconds)

    async def run_job(
        self,
        request: JobRequest,
        terms: QueueTerms,
        *,
        seconds: float,
    ) -> Answer:
        """Run a job and return its answer.

        If this call is cancelled, the job is stopped, unless another caller
        waits for it.

        Args:
            request: The job.
            terms: Parameters of its queue from the desired state.
            seconds: How long its caller waits.

        Returns:
            The final answer.
        """
        now = steady_now()
        key = request.key
        answer = self._answers.get(key)
        if answer is None:
            answer = asyncio.get_running_loop().create_future()
            self._answers[key] = answer
        self._caller_counts[key] += 1
        deadline = now + seconds
        effects = self._dispatcher_client.submit(
            request, terms, deadline=deadline, now=now
        )
        self._perform(effects)
        try:
            return await asyncio.shield(answer)
        finally:
            self._release_caller(key)

    def _release_caller(self, key: JobKey) -> None:
        """Release a caller; stop the job if the last one has left."""
        self._caller_counts[key] -= 1
        if self._caller_counts[key] > 0:
            return
        self._caller_counts.pop(key)
        unanswered = self._answers.pop(key, None)
        if unanswered is not None:
            unanswered.cancel()
            log_event('job.caller_left', LogLevel.info, key=key)
            self._perform(self._dispatcher_client.drop(key))

    async def _tick_forever(self) -> None:
        ticks = 1
        tick = contain_errors(self._tick)
        while True:
            now = steady_now()
            self._ticks += ticks
            tick(now, ticks * TICK_SECONDS)
            # Only an entry that may have to dispatch needs every tick.
            is_busy = self._deputy.is_active(now=now)
            ticks = 1 if is_busy else self._ticks_to_heartbeat()
            await asyncio.sleep(ticks * TICK_SECONDS)

    def _tick(self, now: float, interval: float) -> None:
        self._deputy.tick(now=now, interval=interval)
        if self._ticks % TICKS_PER_HEARTBEAT == 0:
            self._send_beats()
            self._perform(self._dispatcher_client.tick(now=now))

    def _ticks_to_heartbeat(self) -> int:
        return TICKS_PER_HEARTBEAT - self._ticks % TICKS_PER_HEARTBEAT

    def _send_beats(self) -> None:
        for receiver in self._beat_receivers():
            self._send_beat(receiver)
        if self._deputy.leads:
            self._send_beat(self._settings.own)

    def _beat_receivers(self) -> tuple[InstanceId, ...]:
        """Return the instances that are due a heartbeat.

        The dispatcher gets replies to its own heartbeats instead.  A restarted
        control instance has to learn of this entry, and deputies, too, have to
        know when there is no dispatcher.
        """
        peers = self._mesh.peers
        if not self._dispatcher_client.has_leader(now=steady_now()):
            return peers
        if self._ticks % _ALL_CONTROLS_BEAT_TICKS:
            return ()
        deputies = self._deputy.other_deputies
        return tuple(name for name in peers if name not in deputies)

    def _send_beat(self, control: InstanceId) -> None:
        beat = self._dispatcher_client.make_beat(
            control,
            version=self._version,
            now=steady_now(),
        )
        self._mesh.send(
            control,
            replace(
                beat,
                revision=self._evacuations.revision,
                evacuations=self._evacuations.zones,
            ),
        )

    def _receive(self, sender: InstanceId, message: Any) -> None:
        now = steady_now()
        match message:
            case LeaderBeat():
                self._receive_leader_beat(sender, message, now)
            case Taken() | UnknownJobs() | Ended() | Refused():
                self._perform(
                    self._dispatcher_client.receive(sender, message, now=now)
                )
            case Chosen():
                self._apply_value(message, now)
            case _:
                self._deputy.receive(sender, message, now=now)

    def _receive_leader_beat(
        self,
        sender: InstanceId,
        beat: LeaderBeat,
        now: float,
    ) -> None:
        before = self._dispatcher_client.leader
        self._mesh.add_peers((sender, *beat.controls))
        self._deputy.receive_leader_beat(beat, now=now)
        self._perform(
            self._dispatcher_client.receive_leader_beat(sender, beat, now=now)
        )
        if beat.term:
            # Reply at once, so that the dispatcher gets its stamp back fresh.
            self._send_beat(sender)
        if sender == self._dispatcher_client.leader:
            self._waiting = beat.waiting
        if before != self._dispatcher_client.leader:
            log_event(
                'dispatcher.changed',
                LogLevel.info,
                dispatcher=self._dispatcher_client.leader,
                before=before,
                term=beat.term,
                jobs=self._dispatcher_client.waiting,
            )

    def _apply_value(self, chosen: Chosen, now: float) -> None:
        value = chosen.value
        revision = chosen.ballot.number
        if revision > self._evacuations.revision:
            self._evacuations = Evacuations(revision, value.evacuations)
            self._deputy.learn_evacuations(self._evacuations, now=now)
        if value.version > self._version:
            self._version = value.version
            log_event(
                'desired_state.applied',
                LogLevel.info,
                version=value.version,
            )
            self._on_new_value(value)

    def _perform(self, effects: tuple[Send | Answered, ...]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._mesh.send(effect.to, effect.message)
                case Answered():
                    self._resolve_answer(effect)

    def _resolve_answer(self, answered: Answered) -> None:
        waiter = self._answers.pop(answered.job, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(answered.answer)
