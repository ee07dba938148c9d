"""Complete nodes on an in-memory network, with fake endpoints."""

import heapq
import random
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from types import MappingProxyType
from typing import Any

from cuminstack import wire
from cuminstack.admission import Admission
from cuminstack.claims import Claims, ClaimView, Limits
from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    Instance,
    InstanceId,
    JobId,
    JobKey,
    MemberName,
    Send,
    ServiceName,
    ServiceRef,
    ZoneName,
)
from cuminstack.jobs import (
    AttemptOutcome,
    JobEnded,
    JobRequest,
    Outcome,
    SendStart,
    TaskSpec,
)
from cuminstack.membership import Timing
from cuminstack.node import Node, NodeOptions, NodeParts
from cuminstack.register import (
    AcceptorState,
    Persist,
    Register,
    encode_state,
    starting_state,
)
from cuminstack.sheet import Sheet, SheetFaults
from cuminstack.sheet import parse as parse_sheet
from cuminstack.slots import make_policy
from cuminstack.spread import Spread

SERVICE = ServiceRef(MemberName('tkemali'), ServiceName('order-desk'))
SHEET = b"""\
sheet,1,0
member,tkemali,1,0,10000
service,tkemali,order-desk,30000,250,response
"""
TICK = 0.05

#: Share of the tasks that fail.
FAILURE_RATE = 0.02
_EVENTS = MappingProxyType({SendStart: 'start', Persist: 'persisted'})
TIMING = Timing(interval=0.2, suspect_timeout=0.6, gone_timeout=2)


def read_sheet(raw: bytes = SHEET) -> Sheet:
    sheet = parse_sheet(raw)
    assert not isinstance(sheet, SheetFaults)
    return sheet


@dataclass
class FakeEndpoint:
    """An endpoint: its running tasks, and every attempt it has received."""

    record: EndpointRecord
    alive: bool = True
    running: set[str] = field(default_factory=set)
    seen: set[str] = field(default_factory=set)


@dataclass
class InstanceProcess:
    """Process of one instance: its node, and whether it is up or paused."""

    own: Instance
    node: Node
    up: bool = True
    paused: bool = False


class Deployment:
    """Simulates a deployment on an unreliable network, from a seed.

    Messages are delayed, reordered, duplicated and lost.

    Args:
        seed: Seed of all random choices.
        zones: Number of availability zones, with one instance each.
        policy: Name of the slot policy.
        endpoints: Number of endpoints, spread over the zones.
        failure_rate: Share of the tasks that fail.
    """

    def __init__(
        self,
        seed: int,
        *,
        zones: int = 3,
        policy: str = 'leases',
        endpoints: int = 3,
        failure_rate: float = FAILURE_RATE,
    ) -> None:
        self.failure_rate = failure_rate
        self.random = random.Random(seed)
        self.now = 1000.0
        self.policy = policy
        self.cuts: set[frozenset[str]] = set()
        self.loss: float = 0
        self.starts: Counter[tuple[JobId, int]] = Counter()
        self.ended: list[tuple[JobId, Outcome]] = []
        self.submissions: Counter[JobId] = Counter()
        self.starts_over_capacity = 0
        self._queue: list[tuple[float, int, Any]] = []
        self._sequence = count()
        self._incarnations = count(1)
        self._disks: dict[InstanceId, bytes] = {}
        self.instances = [
            self._make_instance(number) for number in range(zones)
        ]
        self.processes = {
            own.instance: self._boot(own) for own in self.instances
        }
        self.endpoints = [
            FakeEndpoint(self._make_endpoint_record(number, zones))
            for number in range(endpoints)
        ]
        for own in self.instances:
            self._schedule(self.random.random() * TICK, ('tick', own.instance))
        for endpoint in self.endpoints:
            self._schedule(0, ('announce', endpoint))

    def put_sheet(self) -> None:
        """Put the default sheet in force, after the nodes have connected."""
        self.run(4)
        self.change_sheet(read_sheet())

    def change_sheet(self, sheet: Sheet) -> None:
        """Put a sheet in force at all instances."""
        node = next(iter(self.processes.values())).node
        effects = node.put_sheet(sheet, ticket=sheet.version, now=self.now)
        self._perform(node.own, effects)
        self.run(3)
        versions = {
            process.node.sheets.sheet.version
            for process in self.processes.values()
        }
        assert versions == {sheet.version}

    def submit(
        self,
        key: str,
        instance: InstanceId,
        *,
        idempotent: bool,
        tasks: int = 3,
    ) -> None:
        """Submit a job at an instance, if it is up."""
        process = self.processes[instance]
        if not process.up or process.paused:
            return
        request = JobRequest(
            job=JobId(SERVICE.member, JobKey(key)),
            service=SERVICE,
            tasks=(TaskSpec(b'1'),) * tasks,
            idempotent=idempotent,
            within=20,
            digest=key.encode(),
        )
        self.submissions[request.job] += 1
        outcome, effects = process.node.submit(request, now=self.now)
        if outcome is not None:
            self.ended.append((request.job, outcome))
        self._perform(process.own, effects)

    def cancel(self, key: str, instance: InstanceId) -> None:
        """Ask an instance to cancel a job, if it is up."""
        process = self.processes[instance]
        if process.up and not process.paused:
            job = JobId(SERVICE.member, JobKey(key))
            effects = process.node.cancel(job, now=self.now)
            self._perform(process.own, effects)

    def kill(self, instance: InstanceId) -> None:
        """End the process of an instance."""
        self.processes[instance].up = False

    def restart(self, instance: InstanceId) -> None:
        own = self.processes[instance].own
        self.processes[instance] = self._boot(own)

    def pause(self, instance: InstanceId) -> None:
        self.processes[instance].paused = True

    def resume(self, instance: InstanceId) -> None:
        self.processes[instance].paused = False

    def wake(self, instance: InstanceId) -> None:
        """Resume an instance, which ticks before it reads waiting messages."""
        self.resume(instance)
        process = self.processes[instance]
        self._perform(process.own, process.node.tick(now=self.now))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            due, _, event = heapq.heappop(self._queue)
            self.now = due
            getattr(self, f'_on_{event[0]}')(*event[1:])
        self.now = until

    def _schedule(self, delay: float, event: Any) -> None:
        due = self.now + delay
        heapq.heappush(self._queue, (due, next(self._sequence), event))

    def _defer_if_paused(self, instance: InstanceId, event: Any) -> bool:
        """Postpone an event if its instance is paused.

        Returns:
            Whether the instance can't handle the event now.
        """
        process = self.processes[instance]
        if process.paused:
            self._schedule(TICK, event)
        return process.paused or not process.up

    def _on_tick(self, instance: InstanceId) -> None:
        process = self.processes[instance]
        if process.up and not process.paused:
            self._perform(process.own, process.node.tick(now=self.now))
        self._schedule(TICK, ('tick', instance))

    def _on_message(
        self,
        own: Instance,
        sender: InstanceId,
        frame: bytes,
    ) -> None:
        if self._defer_if_paused(own.instance, ('message', own, sender, frame)):
            return
        process = self.processes[own.instance]
        if process.own != own:
            return  # It was sent to an earlier process of the instance.
        message = wire.decode(frame)
        effects = process.node.receive(sender, message, now=self.now)
        self._perform(own, effects)

    def _on_persisted(self, own: Instance, effect: Persist) -> None:
        if self._defer_if_paused(own.instance, ('persisted', own, effect)):
            return
        process = self.processes[own.instance]
        if process.own != own:
            return
        self._disks[own.instance] = encode_state(effect.state)
        effects = process.node.persisted(
            effect.sequence,
            saved=True,
            now=self.now,
        )
        self._perform(own, effects)

    def _on_announce(self, endpoint: FakeEndpoint) -> None:
        self._schedule(0.3, ('announce', endpoint))
        if not endpoint.alive:
            return
        for process in self.processes.values():
            is_local = process.own.zone == endpoint.record.zone
            if is_local and process.up and not process.paused:
                _, effects = process.node.announce(
                    endpoint.record,
                    now=self.now,
                )
                self._perform(process.own, effects)

    def _on_start(self, own: Instance, sent: SendStart) -> None:
        endpoint = next(
            each
            for each in self.endpoints
            if each.record.endpoint == sent.endpoint
        )
        task = str(sent.task)
        if not endpoint.alive:
            self._schedule_end(own, sent, AttemptOutcome.unknown)
            return
        assert task not in endpoint.seen, 'an attempt was sent twice'
        endpoint.seen.add(task)
        if len(endpoint.running) >= endpoint.record.slots:
            self.starts_over_capacity += 1
            self._schedule_end(own, sent, AttemptOutcome.not_started)
            return
        endpoint.running.add(task)
        self.starts[sent.task.job, sent.task.index] += 1
        run = self.random.uniform(0.05, 1)
        self._schedule(run, ('done', own, sent, endpoint))

    def _on_done(
        self,
        own: Instance,
        sent: SendStart,
        endpoint: FakeEndpoint,
    ) -> None:
        endpoint.running.discard(str(sent.task))
        failed = self.random.random() < self.failure_rate
        end = AttemptOutcome.failed if failed else AttemptOutcome.answered
        self._schedule_end(
            own, sent, end if endpoint.alive else AttemptOutcome.unknown
        )

    def _schedule_end(
        self, own: Instance, sent: SendStart, end: AttemptOutcome
    ) -> None:
        self._schedule(self._delay(), ('end', own, sent, end))

    def _on_end(
        self, own: Instance, sent: SendStart, end: AttemptOutcome
    ) -> None:
        if self._defer_if_paused(own.instance, ('end', own, sent, end)):
            return
        process = self.processes[own.instance]
        if process.own != own:
            return
        answer = b'"%d"' % sent.task.index
        effects = process.node.finish(sent, end, answer=answer, now=self.now)
        self._perform(own, effects)

    def _perform(self, own: Instance, effects: Any) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(own, effect)
            elif isinstance(effect, JobEnded):
                self.ended.append((effect.job, effect.outcome))
            elif isinstance(effect, (SendStart, Persist)):
                event = _EVENTS[type(effect)]
                self._schedule(self._delay(), (event, own, effect))

    def _send(self, own: Instance, effect: Send) -> None:
        if frozenset((own.instance, effect.to)) in self.cuts:
            return
        frame = wire.encode(effect.message)
        target = self.processes[effect.to].own
        # Loss also causes duplicates, as after a lost acknowledgement.
        for _ in range(1 + (self.random.random() < self.loss)):
            if self.random.random() >= self.loss:
                event = ('message', target, own.instance, frame)
                self._schedule(self._delay(), event)

    def _delay(self) -> float:
        return self.random.expovariate(1 / 0.002)

    def _boot(self, own: Instance) -> InstanceProcess:
        own = Instance(
            instance=own.instance,
            zone=own.zone,
            incarnation=next(self._incarnations),
            peer_address=own.peer_address,
            endpoint_address=own.endpoint_address,
            replica=True,
        )
        replicas = tuple(each.instance for each in self.instances)
        state = starting_state(
            replicas,
            incarnation=own.incarnation,
            record=self._disks.get(own.instance),
        )
        assert isinstance(state, AcceptorState)
        others = tuple(
            each for each in self.instances if each.instance != own.instance
        )
        parts = NodeParts(
            peers=others,
            policy=make_policy(self.policy, own, seed=1),
            register=Register(
                own.instance,
                replicas,
                incarnation=own.incarnation,
                chance=self.random,
                state=state,
            ),
            spread=Spread(own.instance, own.zone, replicas),
            claims=Claims(
                own,
                ClaimView(1, (own, *others)),
                limits=Limits(lifetime=60),
                now=self.now,
            ),
            admission=Admission(chance=self.random),
        )
        options = NodeOptions(
            endpoint_lease=1,
            outcome_lifetime=60,
            default_deadline=20,
            max_running_jobs=1000,
            timing=TIMING,
        )
        node = Node(own, parts=parts, options=options)
        process = InstanceProcess(own, node)
        self._schedule(0, ('boot', own))
        return process

    def _on_boot(self, own: Instance) -> None:
        process = self.processes[own.instance]
        if process.own == own:
            self._perform(own, process.node.start(now=self.now))

    def _make_instance(self, number: int) -> Instance:
        return Instance(
            instance=InstanceId(f'i{number}'),
            zone=ZoneName(f'z{number}'),
            incarnation=0,
            peer_address='127.0.0.1:1',
            endpoint_address='127.0.0.1:2',
            replica=True,
        )

    def _make_endpoint_record(self, number: int, zones: int) -> EndpointRecord:
        return EndpointRecord(
            endpoint=EndpointId(f'e{number}'),
            incarnation=1,
            zone=self.instances[number % zones].zone,
            url='http://127.0.0.1:9',
            serves=(SERVICE,),
            slots=4,
            connections=64,
        )
