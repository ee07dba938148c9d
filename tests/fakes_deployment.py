"""Whole nodes over a small in-memory network, with fake endpoints."""

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

#: Part of the tasks that fail.
FAILING = 0.02
_EVENTS = MappingProxyType({SendStart: 'start', Persist: 'persisted'})
TIMING = Timing(interval=0.2, eager=0.6, patient=2)


def read_sheet(raw: bytes = SHEET) -> Sheet:
    sheet = parse_sheet(raw)
    assert not isinstance(sheet, SheetFaults)
    return sheet


@dataclass
class FakeEndpoint:
    """Runs tasks for a time, and remembers every start."""

    record: EndpointRecord
    alive: bool = True
    running: set[str] = field(default_factory=set)
    seen: set[str] = field(default_factory=set)


@dataclass
class Member:
    """One instance: its node, and whether it is up or paused."""

    own: Instance
    node: Node
    up: bool = True
    paused: bool = False


class Deployment:
    """Delivers messages late, out of order, twice or never, from a seed."""

    def __init__(
        self,
        seed: int,
        *,
        zones: int = 3,
        policy: str = 'leases',
        endpoints: int = 3,
        failing: float = FAILING,
    ) -> None:
        self.failing = failing
        self.random = random.Random(seed)
        self.now = 1000.0
        self.policy = policy
        self.cuts: set[frozenset[str]] = set()
        self.loss: float = 0
        self.starts: Counter[tuple[JobId, int]] = Counter()
        self.ended: list[tuple[JobId, Outcome]] = []
        self.submissions: Counter[JobId] = Counter()
        self.over_full = 0
        self._queue: list[tuple[float, int, Any]] = []
        self._serial = count()
        self._incarnation = count(1)
        self._disks: dict[InstanceId, bytes] = {}
        self.instances = [self._instance(number) for number in range(zones)]
        self.members = {own.instance: self._boot(own) for own in self.instances}
        self.endpoints = [
            FakeEndpoint(self._record(number, zones))
            for number in range(endpoints)
        ]
        for own in self.instances:
            self._later(self.random.random() * TICK, ('tick', own.instance))
        for endpoint in self.endpoints:
            self._later(0, ('announce', endpoint))

    def put_sheet(self) -> None:
        """Put the sheet in force, once the nodes have found each other."""
        self.run(4)
        self.change_sheet(read_sheet())

    def change_sheet(self, sheet: Sheet) -> None:
        """Put a sheet in force everywhere."""
        node = next(iter(self.members.values())).node
        effects = node.put_sheet(sheet, ticket=sheet.version, now=self.now)
        self._perform(node.own, effects)
        self.run(3)
        versions = {
            member.node.sheets.sheet.version for member in self.members.values()
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
        member = self.members[instance]
        if not member.up or member.paused:
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
        outcome, effects = member.node.submit(request, now=self.now)
        if outcome is not None:
            self.ended.append((request.job, outcome))
        self._perform(member.own, effects)

    def cancel(self, key: str, instance: InstanceId) -> None:
        """Ask an instance to cancel a job, if it is up."""
        member = self.members[instance]
        if member.up and not member.paused:
            job = JobId(SERVICE.member, JobKey(key))
            effects = member.node.cancel(job, now=self.now)
            self._perform(member.own, effects)

    def kill(self, instance: InstanceId) -> None:
        """End the process of an instance."""
        self.members[instance].up = False

    def restart(self, instance: InstanceId) -> None:
        own = self.members[instance].own
        self.members[instance] = self._boot(own)

    def pause(self, instance: InstanceId) -> None:
        self.members[instance].paused = True

    def resume(self, instance: InstanceId) -> None:
        self.members[instance].paused = False

    def wake(self, instance: InstanceId) -> None:
        """Resume an instance that ticks before it reads what came."""
        self.resume(instance)
        member = self.members[instance]
        self._perform(member.own, member.node.tick(now=self.now))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            due, _, event = heapq.heappop(self._queue)
            self.now = due
            getattr(self, f'_on_{event[0]}')(*event[1:])
        self.now = until

    def _later(self, delay: float, event: Any) -> None:
        due = self.now + delay
        heapq.heappush(self._queue, (due, next(self._serial), event))

    def _hold(self, instance: InstanceId, event: Any) -> bool:
        """Keep an event for an instance that is paused."""
        member = self.members[instance]
        if member.paused:
            self._later(TICK, event)
        return member.paused or not member.up

    def _on_tick(self, instance: InstanceId) -> None:
        member = self.members[instance]
        if member.up and not member.paused:
            self._perform(member.own, member.node.tick(now=self.now))
        self._later(TICK, ('tick', instance))

    def _on_message(
        self,
        own: Instance,
        sender: InstanceId,
        frame: bytes,
    ) -> None:
        if self._hold(own.instance, ('message', own, sender, frame)):
            return
        member = self.members[own.instance]
        if member.own != own:
            return  # It was sent to an earlier process.
        message = wire.decode(frame)
        effects = member.node.receive(sender, message, now=self.now)
        self._perform(own, effects)

    def _on_persisted(self, own: Instance, effect: Persist) -> None:
        if self._hold(own.instance, ('persisted', own, effect)):
            return
        member = self.members[own.instance]
        if member.own != own:
            return
        self._disks[own.instance] = encode_state(effect.state)
        effects = member.node.persisted(
            effect.sequence,
            saved=True,
            now=self.now,
        )
        self._perform(own, effects)

    def _on_announce(self, endpoint: FakeEndpoint) -> None:
        self._later(0.3, ('announce', endpoint))
        if not endpoint.alive:
            return
        for member in self.members.values():
            is_local = member.own.zone == endpoint.record.zone
            if is_local and member.up and not member.paused:
                _, effects = member.node.announce(
                    endpoint.record,
                    now=self.now,
                )
                self._perform(member.own, effects)

    def _on_start(self, own: Instance, sent: SendStart) -> None:
        endpoint = next(
            each
            for each in self.endpoints
            if each.record.endpoint == sent.endpoint
        )
        task = str(sent.task)
        if not endpoint.alive:
            self._answer(own, sent, AttemptOutcome.unknown)
            return
        assert task not in endpoint.seen, 'an attempt was sent twice'
        endpoint.seen.add(task)
        if len(endpoint.running) >= endpoint.record.slots:
            self.over_full += 1
            self._answer(own, sent, AttemptOutcome.not_started)
            return
        endpoint.running.add(task)
        self.starts[sent.task.job, sent.task.index] += 1
        run = self.random.uniform(0.05, 1)
        self._later(run, ('done', own, sent, endpoint))

    def _on_done(
        self,
        own: Instance,
        sent: SendStart,
        endpoint: FakeEndpoint,
    ) -> None:
        endpoint.running.discard(str(sent.task))
        failed = self.random.random() < self.failing
        end = AttemptOutcome.failed if failed else AttemptOutcome.answered
        self._answer(
            own, sent, end if endpoint.alive else AttemptOutcome.unknown
        )

    def _answer(
        self, own: Instance, sent: SendStart, end: AttemptOutcome
    ) -> None:
        self._later(self._delay(), ('end', own, sent, end))

    def _on_end(
        self, own: Instance, sent: SendStart, end: AttemptOutcome
    ) -> None:
        if self._hold(own.instance, ('end', own, sent, end)):
            return
        member = self.members[own.instance]
        if member.own != own:
            return
        answer = b'"%d"' % sent.task.index
        effects = member.node.finish(sent, end, answer=answer, now=self.now)
        self._perform(own, effects)

    def _perform(self, own: Instance, effects: Any) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self._send(own, effect)
            elif isinstance(effect, JobEnded):
                self.ended.append((effect.job, effect.outcome))
            elif isinstance(effect, (SendStart, Persist)):
                event = _EVENTS[type(effect)]
                self._later(self._delay(), (event, own, effect))

    def _send(self, own: Instance, effect: Send) -> None:
        if frozenset((own.instance, effect.to)) in self.cuts:
            return
        frame = wire.encode(effect.message)
        target = self.members[effect.to].own
        # With losses come copies, as after a lost confirmation.
        for _ in range(1 + (self.random.random() < self.loss)):
            if self.random.random() >= self.loss:
                parcel = ('message', target, own.instance, frame)
                self._later(self._delay(), parcel)

    def _delay(self) -> float:
        return self.random.expovariate(1 / 0.002)

    def _boot(self, own: Instance) -> Member:
        own = Instance(
            instance=own.instance,
            zone=own.zone,
            incarnation=next(self._incarnation),
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
            default_within=20,
            max_running_jobs=1000,
            timing=TIMING,
        )
        node = Node(own, parts=parts, options=options)
        member = Member(own, node)
        self._later(0, ('boot', own))
        return member

    def _on_boot(self, own: Instance) -> None:
        member = self.members[own.instance]
        if member.own == own:
            self._perform(own, member.node.start(now=self.now))

    def _instance(self, number: int) -> Instance:
        return Instance(
            instance=InstanceId(f'i{number}'),
            zone=ZoneName(f'z{number}'),
            incarnation=0,
            peer_address='127.0.0.1:1',
            endpoint_address='127.0.0.1:2',
            replica=True,
        )

    def _record(self, number: int, zones: int) -> EndpointRecord:
        return EndpointRecord(
            endpoint=EndpointId(f'e{number}'),
            incarnation=1,
            zone=self.instances[number % zones].zone,
            url='http://127.0.0.1:9',
            serves=(SERVICE,),
            slots=4,
            connections=64,
        )
