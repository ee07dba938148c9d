"""Tasks that wait here, and what other instances want of this one."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import Final

from cuminstack.core import InstanceId, JobId, MemberName, TaskId
from cuminstack.fairness import Demand, FairQueue, Share, Turn
from cuminstack.slots._messages import Ask, Use, Wanted
from cuminstack.slots._policy import MemberTerms, QueuedTask
from cuminstack.slots._queue import TaskClass, TaskQueue, class_of
from cuminstack.slots._usage import Usage

#: How long a want of another instance stands, in seconds.
WANT_SECONDS: Final = 0.25
#: Jobs of one member in one message.
_MAX_WANTED: Final = 16
#: Head start of own tasks over those elsewhere, in seconds: what a message
#: must gain.
_OWN_HEAD_START: Final = 0.1
#: Head start of a task whose first attempt was refused, in seconds.
_RETRY_HEAD_START: Final = 1


@dataclass(frozen=True, slots=True)
class _Lane:
    """A class of tasks, here or elsewhere."""

    tasks: TaskClass
    own: bool


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """Like tasks of one job that wait at one instance."""

    instance: InstanceId
    job: JobId
    lane: TaskClass


@dataclass(frozen=True, slots=True)
class _Wanting:
    """An instance that wants slots for a member."""

    sender: InstanceId
    member: str


@dataclass(frozen=True, slots=True)
class _Want:
    """What it wants, and until when."""

    jobs: tuple[WaitingJob, ...]
    end: float


_Turn = Turn[WaitingJob]


class DemandBook:
    """Own tasks and others' wants in one fair queue.

    Args:
        own: The instance.
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._fair: FairQueue[WaitingJob] = FairQueue()
        self._tasks = TaskQueue(partial(_job_at, own))
        self._lanes: Counter[TaskClass] = Counter()
        self._wants: dict[_Wanting, _Want] = {}
        self._turns: dict[TaskId, tuple[_Turn, float]] = {}
        self.usage = Usage()

    @property
    def lanes(self) -> tuple[tuple[TaskClass, int], ...]:
        """Own tasks that wait, by class."""
        return tuple(self._lanes.items())

    @property
    def empty(self) -> bool:
        """Whether nobody waits."""
        return not len(self._fair)

    def apply_terms(self, terms: dict[str, MemberTerms]) -> None:
        """Take the shares of all members."""
        self._fair.apply_shares(
            {
                member: Share(granted.share, granted.max_slots)
                for member, granted in terms.items()
            },
        )

    def submit(self, tasks: Sequence[QueuedTask], *, now: float) -> None:
        """Queue own tasks."""
        retried = any(task.task.attempt > 1 for task in tasks)
        since = now - _RETRY_HEAD_START if retried else now
        for job in self._tasks.push(tasks):
            self._refile(job, since)

    def withdraw(self, tasks: Sequence[TaskId]) -> None:
        """Take own tasks back."""
        for job, count in Counter(self._tasks.withdraw(tasks)).items():
            self._fair.drop(job, count)
            self._count(job.lane, -count)

    def want(self, sender: InstanceId, ask: Ask, *, now: float) -> None:
        """Put the wants of an instance in place of its last ones."""
        self.forget(sender, ask.member)
        self.learn(sender, ask.uses, now=now)
        jobs = [self._file_want(sender, want, now) for want in ask.wanted]
        wanting = _Wanting(sender, ask.member)
        self._wants[wanting] = _Want(tuple(jobs), now + WANT_SECONDS)

    def learn(
        self,
        sender: InstanceId,
        uses: Iterable[Use],
        *,
        now: float,
    ) -> None:
        """Take the use that an instance tells."""
        for use in uses:
            fresh = self.usage.learn(sender, use, now=now)
            self._fair.charge(use.member, fresh)
            self._observe_elsewhere(use.member)

    def forget(self, sender: InstanceId, member: str) -> None:
        """Drop the wants of an instance for a member."""
        want = self._wants.pop(_Wanting(sender, member), None)
        for job in want.jobs if want else ():
            self._fair.drop(job)

    def expire(self, alive: Iterable[InstanceId], *, now: float) -> None:
        """Drop old wants, and those of instances that have gone."""
        living = set(alive)
        for member in self.usage.expire(now=now):
            self._observe_elsewhere(member)
        for wanting, want in tuple(self._wants.items()):
            if want.end <= now or wanting.sender not in living:
                self.forget(wanting.sender, wanting.member)

    def take(
        self,
        fits: Callable[[TaskClass], bool],
        *,
        only_own: bool = False,
    ) -> _Turn | None:
        """Give a free slot to whoever is next."""
        return self._fair.take(
            fits=lambda lane: lane.own >= only_own and fits(lane.tasks),
        )

    def begin(self, turn: _Turn, *, now: float) -> TaskId:
        """Start an own task in a turn."""
        task = self._tasks.pop(turn.key).task
        self._count(turn.key.lane, -1)
        self._turns[task] = (turn, now)
        self.usage.begin(turn.member, turn.charge)
        return task

    def lend(self, turn: _Turn) -> None:
        """Let another instance have a turn; it will tell the true use."""
        self._fair.release(turn, turn.charge)
        self.usage.lend(turn.key.instance, turn.member, turn.charge)

    def end(self, task: TaskId, *, started: bool, now: float) -> None:
        """End the turn of an own task."""
        turn, since = self._turns.pop(task)
        seconds = now - since if started else 0
        if started:
            self._fair.settle(turn, seconds)
        else:
            self._fair.release(turn)
        self.usage.end(turn.member, seconds - turn.charge)

    def ask(
        self,
        member: MemberName,
        count: int,
        *,
        stands: bool,
        now: float,
    ) -> Ask:
        """Ask for so many slots, and tell what members have used."""
        wanted: list[Wanted] = []
        leaders = self._fair.first_demands(
            member,
            _MAX_WANTED,
            only=partial(_waits_at, self._own),
        )
        for demand in leaders:
            if count > 0:
                wanted.append(self._wanted(demand, count, now))
            count -= demand.waiting
        uses = self.usage.uses(member)
        return Ask(member, tuple(wanted), self.usage.running, uses, stands)

    def _wanted(
        self,
        demand: Demand[WaitingJob],
        most: int,
        now: float,
    ) -> Wanted:
        """Ask for part of a job, with what the rest needs as if it were had.

        So the receiver orders jobs by their whole size.
        """
        lane = demand.key.lane
        count = min(most, demand.waiting)
        rest = (demand.waiting - count) * self._fair.mean_run_seconds(
            demand.member
        )
        return Wanted(
            demand.key.job,
            lane.service,
            lane.needs,
            count,
            now - demand.since,
            demand.attained + rest,
        )

    def _observe_elsewhere(self, member: str) -> None:
        elsewhere = self.usage.elsewhere(member)
        self._fair.set_running_elsewhere(member, elsewhere)

    def _refile(self, job: WaitingJob, since: float) -> None:
        lane = _Lane(job.lane, own=True)
        waiting = self._tasks.count(job)
        known = self._fair.demand(job)
        if known is None:
            known = Demand(job, job.job.member, lane, 0, since)
        self._count(job.lane, waiting - known.waiting)
        since = min(since, known.since)
        self._fair.put(replace(known, waiting=waiting, since=since))

    def _count(self, lane: TaskClass, change: int) -> None:
        self._lanes[lane] += change
        if not self._lanes[lane]:
            self._lanes.pop(lane)

    def _file_want(
        self,
        sender: InstanceId,
        want: Wanted,
        now: float,
    ) -> WaitingJob:
        job = WaitingJob(sender, want.job, TaskClass(want.service, want.needs))
        since = now - want.age + _OWN_HEAD_START
        self._fair.put(
            Demand(
                job,
                want.job.member,
                _Lane(job.lane, own=False),
                want.count,
                since,
                want.attained,
            ),
        )
        return job


def _job_at(instance: InstanceId, task: QueuedTask) -> WaitingJob:
    return WaitingJob(instance, task.task.job, class_of(task))


def _waits_at(instance: InstanceId, job: WaitingJob) -> bool:
    return job.instance == instance
