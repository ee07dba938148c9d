"""The entry: it holds callers' jobs and hands them to the dispatcher."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any, Final

from cuminstack.core import InstanceId, JobKey, Send
from cuminstack.document import Chosen, Value
from cuminstack.fleet import (
    Answer,
    Answered,
    Ended,
    EntryDesk,
    LeaderBeat,
    Refused,
    Taken,
    Unknown,
)
from cuminstack.links import Mesh
from cuminstack.logs import log_event
from cuminstack.pool import JobRequest, QueueTerms
from cuminstack.roles._clock import TICK_SECONDS, TURNS_OF_BEAT, steady_now
from cuminstack.roles._deputy import Deputy
from cuminstack.roles._ports import EndpointClient, RoleSettings
from cuminstack.roles._rejected import log_rejected
from cuminstack.settings import LogLevel

#: Turns between heartbeats that also go to the other control instances.
_TURNS_TO_OTHERS: Final = 25

NewValue = Callable[[Value], None]


class EntryRole:
    """The parts of an entry, and their life cycle.

    Args:
        settings: What the process is told.
        client: Carries orders to endpoints, if this entry has to dispatch.
        new_value: Called with each newer desired state.
    """

    def __init__(
        self,
        settings: RoleSettings,
        *,
        client: EndpointClient,
        new_value: NewValue,
    ) -> None:
        self._settings = settings
        self._new_value = new_value
        self._desk = EntryDesk(now=steady_now())
        self._answers: dict[JobKey, asyncio.Future[Answer]] = {}
        self._callers: Counter[JobKey] = Counter()
        self._waiting: dict[str, int] = {}
        self._version = 0
        self._turns = 0
        self._ticker: asyncio.Task[None] | None = None
        self._mesh = Mesh(
            settings.own,
            incarnation=time.time_ns(),
            receive=self._receive,
            reject=log_rejected,
        )
        self._deputy = Deputy(settings, client=client, mesh=self._mesh)

    @property
    def version(self) -> int:
        """Version of the desired state here; 0 if there is none."""
        return self._version

    @property
    def dispatcher(self) -> InstanceId | None:
        """The dispatcher that this entry has or had last, if any."""
        return self._desk.leader

    @property
    def is_ready(self) -> bool:
        """Whether jobs can be taken now."""
        return bool(self._version) and self._desk.has_leader(now=steady_now())

    @property
    def waiting(self) -> dict[str, int]:
        """Jobs of which nothing was started, by queue."""
        return self._waiting

    @property
    def work(self) -> Mapping[str, float]:
        """How much of each kind of work was done."""
        return self._deputy.work

    async def start(self) -> None:
        """Link up with the control instances."""
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
        """Take that this entry is to end.

        It stands in for control instances no more.

        Args:
            seconds: Time within which every job has its answer.
        """
        self._deputy.resign()
        self._desk.leave(answers_until=steady_now() + seconds)

    async def run_job(
        self,
        request: JobRequest,
        terms: QueueTerms,
        *,
        seconds: float,
    ) -> Answer:
        """Have a job run, and give its answer.

        If the caller of this is cancelled, the job is stopped unless
        another caller waits for it.

        Args:
            request: The job.
            terms: What the desired state says of its queue.
            seconds: How long its caller waits.
        """
        now = steady_now()
        key = request.key
        answer = self._answers.get(key)
        if answer is None:
            answer = asyncio.get_running_loop().create_future()
            self._answers[key] = answer
        self._callers[key] += 1
        deadline = now + seconds
        effects = self._desk.submit(request, terms, deadline=deadline, now=now)
        self._perform(effects)
        try:
            return await asyncio.shield(answer)
        finally:
            self._leave(key)

    def _leave(self, key: JobKey) -> None:
        """Take that a caller has its answer, or has left."""
        self._callers[key] -= 1
        if self._callers[key] > 0:
            return
        self._callers.pop(key)
        unanswered = self._answers.pop(key, None)
        if unanswered is not None:
            unanswered.cancel()
            log_event('job.caller_left', LogLevel.info, key=key)
            self._perform(self._desk.drop(key))

    async def _tick_forever(self) -> None:
        turns = 1
        while True:
            now = steady_now()
            self._deputy.tick(now=now, pause=turns * TICK_SECONDS)
            self._turns += turns
            if self._turns % TURNS_OF_BEAT == 0:
                self._beat()
                self._perform(self._desk.tick(now=now))
            # Only an entry that may have to dispatch needs each turn.
            is_busy = self._deputy.is_needed(now=now)
            turns = 1 if is_busy else self._turns_to_beat()
            await asyncio.sleep(turns * TICK_SECONDS)

    def _turns_to_beat(self) -> int:
        return TURNS_OF_BEAT - self._turns % TURNS_OF_BEAT

    def _beat(self) -> None:
        to_all = self._turns % _TURNS_TO_OTHERS == 0
        for control in self._mesh.peers:
            # A control instance that was restarted has to be told of us, and
            # all have to know when there is no dispatcher.
            if to_all or not self._desk.has_leader(now=steady_now()):
                self._beat_to(control)
        if self._deputy.leads:
            self._beat_to(self._settings.own)

    def _beat_to(self, control: InstanceId) -> None:
        beat = self._desk.beat_for(
            control,
            version=self._version,
            now=steady_now(),
        )
        self._mesh.send(control, beat)

    def _receive(self, sender: InstanceId, message: Any) -> None:
        now = steady_now()
        match message:
            case LeaderBeat():
                self._hear_leader(sender, message, now)
            case Taken() | Unknown() | Ended() | Refused():
                self._perform(self._desk.receive(sender, message, now=now))
            case Chosen():
                self._apply(message.value)
            case _:
                self._deputy.receive(sender, message, now=now)

    def _hear_leader(
        self,
        sender: InstanceId,
        beat: LeaderBeat,
        now: float,
    ) -> None:
        before = self._desk.leader
        self._mesh.add_peers((sender, *beat.controls))
        self._deputy.hear_leader(beat, now=now)
        self._perform(self._desk.hear_leader(sender, beat, now=now))
        if beat.term:
            # At once, so that the dispatcher knows how fresh it is.
            self._beat_to(sender)
        if sender == self._desk.leader:
            self._waiting = beat.waiting
        if before != self._desk.leader:
            log_event(
                'dispatcher.changed',
                LogLevel.info,
                dispatcher=self._desk.leader,
                before=before,
                term=beat.term,
                jobs=self._desk.waiting,
            )

    def _apply(self, value: Value) -> None:
        if value.version > self._version:
            self._version = value.version
            log_event(
                'desired_state.applied',
                LogLevel.info,
                version=value.version,
            )
            self._new_value(value)

    def _perform(self, effects: tuple[Send | Answered, ...]) -> None:
        for effect in effects:
            match effect:
                case Send():
                    self._mesh.send(effect.to, effect.message)
                case Answered():
                    self._answer(effect)

    def _answer(self, answered: Answered) -> None:
        waiter = self._answers.pop(answered.job, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(answered.answer)
