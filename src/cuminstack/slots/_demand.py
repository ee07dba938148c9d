"""Waiting tasks of this instance and requests of other instances."""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, replace
from functools import partial
from typing import Final

from cuminstack.core import InstanceId, JobId, MemberName, TaskId
from cuminstack.fairness import Demand, FairQueue, Share, Turn
from cuminstack.slots._messages import JobDemand, MemberUsage, SlotRequest
from cuminstack.slots._policy import MemberTerms, QueuedTask
from cuminstack.slots._queue import TaskClass, TaskQueue, class_of
from cuminstack.slots._usage import Usage

#: Lifetime of a standing request of another instance, in seconds.
REQUEST_LIFETIME_SECONDS: Final = 0.25
#: Maximum number of jobs of a member in one request.
_MAX_JOBS_PER_REQUEST: Final = 16
#: Head start of local tasks over those of other instances, in seconds.  It is
#: the gain in waiting time that justifies a message.
_LOCAL_HEAD_START_SECONDS: Final = 0.1
#: Head start of a job that has a retried task, in seconds.
_RETRY_HEAD_START_SECONDS: Final = 1


@dataclass(frozen=True, slots=True)
class _DemandGroup:
    """A task class, with separate groups for local and remote tasks."""

    task_class: TaskClass
    own: bool


@dataclass(frozen=True, slots=True)
class WaitingJob:
    """Tasks of one job and one class that wait at one instance."""

    instance: InstanceId
    job: JobId
    task_class: TaskClass


@dataclass(frozen=True, slots=True)
class _RemoteRequestKey:
    """Identifies the request of an instance for a member."""

    sender: InstanceId
    member: str


@dataclass(frozen=True, slots=True)
class _RemoteRequest:
    """The jobs of a request, and its expiry time in seconds."""

    jobs: tuple[WaitingJob, ...]
    end: float


_Turn = Turn[WaitingJob]


class DemandQueue:
    """A fair queue of local tasks and of requests of other instances.

    Args:
        own: The local instance.
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._fair_queue: FairQueue[WaitingJob] = FairQueue()
        self._tasks = TaskQueue(partial(_job_at, own))
        self._waiting_by_class: Counter[TaskClass] = Counter()
        self._remote_requests: dict[_RemoteRequestKey, _RemoteRequest] = {}
        self._turns: dict[TaskId, tuple[_Turn, float]] = {}
        self.usage = Usage()

    @property
    def waiting_by_class(self) -> tuple[tuple[TaskClass, int], ...]:
        """Number of local waiting tasks, by class."""
        return tuple(self._waiting_by_class.items())

    @property
    def empty(self) -> bool:
        """Whether no task is waiting, local or remote."""
        return not len(self._fair_queue)

    def apply_terms(self, terms: dict[str, MemberTerms]) -> None:
        """Replace the shares and slot limits of all members."""
        self._fair_queue.apply_shares(
            {
                member: Share(granted.share, granted.max_slots)
                for member, granted in terms.items()
            },
        )

    def submit(self, tasks: Sequence[QueuedTask], *, now: float) -> None:
        """Queue local tasks."""
        retried = any(task.task.attempt > 1 for task in tasks)
        since = now - _RETRY_HEAD_START_SECONDS if retried else now
        for job in self._tasks.push(tasks):
            self._update_local(job, since)

    def withdraw(self, tasks: Sequence[TaskId]) -> None:
        """Remove local tasks from the queue."""
        for job, count in Counter(self._tasks.withdraw(tasks)).items():
            self._fair_queue.drop(job, count)
            self._adjust_waiting(job.task_class, -count)

    def replace_remote(
        self, sender: InstanceId, ask: SlotRequest, *, now: float
    ) -> None:
        """Replace the request of an instance for a member."""
        self.drop_remote(sender, ask.member)
        self.observe_uses(sender, ask.uses, now=now)
        jobs = [self._add_remote(sender, demand, now) for demand in ask.wanted]
        key = _RemoteRequestKey(sender, ask.member)
        self._remote_requests[key] = _RemoteRequest(
            tuple(jobs), now + REQUEST_LIFETIME_SECONDS
        )

    def observe_uses(
        self,
        sender: InstanceId,
        uses: Iterable[MemberUsage],
        *,
        now: float,
    ) -> None:
        """Update the usage of members that an instance has reported."""
        for use in uses:
            added = self.usage.observe(sender, use, now=now)
            self._fair_queue.charge(use.member, added)
            self._observe_elsewhere(use.member)

    def drop_remote(self, sender: InstanceId, member: str) -> None:
        """Drop the request of an instance for a member."""
        request = self._remote_requests.pop(
            _RemoteRequestKey(sender, member), None
        )
        for job in request.jobs if request else ():
            self._fair_queue.drop(job)

    def expire(self, alive: Iterable[InstanceId], *, now: float) -> None:
        """Drop expired requests and those of instances that are not alive."""
        living = set(alive)
        for member in self.usage.expire(now=now):
            self._observe_elsewhere(member)
        for key, request in tuple(self._remote_requests.items()):
            if request.end <= now or key.sender not in living:
                self.drop_remote(key.sender, key.member)

    def take(
        self,
        fits: Callable[[TaskClass], bool],
        *,
        only_own: bool = False,
    ) -> _Turn | None:
        """Assign a free slot to the next job, local or remote."""
        return self._fair_queue.take(
            fits=lambda group: group.own >= only_own and fits(group.task_class),
        )

    def begin(self, turn: _Turn, *, now: float) -> TaskId:
        """Start a local task in a turn."""
        task = self._tasks.pop(turn.key).task
        self._adjust_waiting(turn.key.task_class, -1)
        self._turns[task] = (turn, now)
        self.usage.begin(turn.member, turn.charge)
        return task

    def grant(self, turn: _Turn) -> None:
        """Assign a turn to another instance, which will report the usage."""
        self._fair_queue.release(turn, turn.charge)
        self.usage.charge_ahead(turn.key.instance, turn.member, turn.charge)

    def end(self, task: TaskId, *, started: bool, now: float) -> None:
        """End the turn of a local task, and settle its charge."""
        turn, since = self._turns.pop(task)
        seconds = now - since if started else 0
        if started:
            self._fair_queue.settle(turn, seconds)
        else:
            self._fair_queue.release(turn)
        self.usage.end(turn.member, seconds - turn.charge)

    def build_request(
        self,
        member: MemberName,
        count: int,
        *,
        stands: bool,
        now: float,
    ) -> SlotRequest:
        """Build a request for slots that also reports the usage of members."""
        wanted: list[JobDemand] = []
        leaders = self._fair_queue.first_demands(
            member,
            _MAX_JOBS_PER_REQUEST,
            only=partial(_waits_at, self._own),
        )
        for demand in leaders:
            if count > 0:
                wanted.append(self._describe_demand(demand, count, now))
            count -= demand.waiting
        uses = self.usage.uses(member)
        return SlotRequest(
            member, tuple(wanted), self.usage.running, uses, stands
        )

    def _describe_demand(
        self,
        demand: Demand[WaitingJob],
        limit: int,
        now: float,
    ) -> JobDemand:
        """Describe up to `limit` waiting tasks of a job.

        The expected slot-seconds of the remaining tasks are added to the
        attained ones, so that the receiver orders jobs by their total size.
        """
        task_class = demand.key.task_class
        count = min(limit, demand.waiting)
        unrequested = (
            demand.waiting - count
        ) * self._fair_queue.mean_run_seconds(demand.member)
        return JobDemand(
            demand.key.job,
            task_class.service,
            task_class.needs,
            count,
            now - demand.since,
            demand.attained + unrequested,
        )

    def _observe_elsewhere(self, member: str) -> None:
        elsewhere = self.usage.elsewhere(member)
        self._fair_queue.set_running_elsewhere(member, elsewhere)

    def _update_local(self, job: WaitingJob, since: float) -> None:
        group = _DemandGroup(job.task_class, own=True)
        waiting = self._tasks.count(job)
        known = self._fair_queue.demand(job)
        if known is None:
            known = Demand(job, job.job.member, group, 0, since)
        self._adjust_waiting(job.task_class, waiting - known.waiting)
        since = min(since, known.since)
        self._fair_queue.put(replace(known, waiting=waiting, since=since))

    def _adjust_waiting(self, task_class: TaskClass, change: int) -> None:
        self._waiting_by_class[task_class] += change
        if not self._waiting_by_class[task_class]:
            self._waiting_by_class.pop(task_class)

    def _add_remote(
        self,
        sender: InstanceId,
        demand: JobDemand,
        now: float,
    ) -> WaitingJob:
        job = WaitingJob(
            sender, demand.job, TaskClass(demand.service, demand.needs)
        )
        since = now - demand.age + _LOCAL_HEAD_START_SECONDS
        self._fair_queue.put(
            Demand(
                job,
                demand.job.member,
                _DemandGroup(job.task_class, own=False),
                demand.count,
                since,
                demand.attained,
            ),
        )
        return job


def _job_at(instance: InstanceId, task: QueuedTask) -> WaitingJob:
    return WaitingJob(instance, task.task.job, class_of(task))


def _waits_at(instance: InstanceId, job: WaitingJob) -> bool:
    return job.instance == instance
