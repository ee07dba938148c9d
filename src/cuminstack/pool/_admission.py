"""Which jobs are refused, as they can't be served in time to be of use."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.pool._effects import JobRefused, RefusalReason
from cuminstack.pool._endpoint import Endpoint
from cuminstack.pool._jobs import Job
from cuminstack.pool._queue import JobQueue
from cuminstack.pool._records import Step
from cuminstack.pool._rooms import Rooms

#: When a caller may come back if no endpoint is known; they send a
#: heartbeat each 1.5 s.
_NO_ENDPOINT_SECONDS: Final = 1.5
#: When it may come back if no endpoint is large enough; one may join.
_NO_ROOM_SECONDS: Final = 5.0
#: Share of the room that tasks of unequal size can use at once: three tasks
#: of 6.8 cores fit into 24, and two into 16.
_PACKED_SHARE: Final = 0.85
#: Share of a running task that is still to do, on average.
_LEFT_SHARE: Final = 0.5


@dataclass(frozen=True, slots=True)
class Load:
    """What a job has to wait for.

    Args:
        rooms: Knows the endpoints.
        queue: The jobs that were taken before.
    """

    rooms: Rooms
    queue: JobQueue

    def wait_of(self, job: Job, *, now: float) -> float:
        """Give the seconds until a job that arrives now gets room."""
        waiting = self.queue.work_ahead(job, now=now)
        if not waiting:
            return 0
        room = self.rooms.capacity(job.terms.service, now=now)
        running = self.queue.running_work(now=now) * _LEFT_SHARE
        return (waiting + running) / max(1, room * _PACKED_SHARE)


def refusal_of(job: Job, load: Load, *, now: float) -> JobRefused | None:
    """Give the refusal of a job that can't be served.

    Args:
        job: A job that arrives now.
        load: What it has to wait for.
        now: The present time.
    """
    alive = load.rooms.members(job.terms.service)
    if not alive:
        reason = RefusalReason.not_serving
        return _refuse(job, reason, _NO_ENDPOINT_SECONDS)
    if not all(_fits_anywhere(step, alive) for step in job.steps):
        return _refuse(job, RefusalReason.no_room, _NO_ROOM_SECONDS)
    wait = load.wait_of(job, now=now)
    if job.finish_after(now + wait) <= job.submission.deadline:
        return None
    return _refuse(job, RefusalReason.overload, wait)


def is_hopeless(job: Job, *, now: float) -> bool:
    """Tell whether a job has waited too long to be of use.

    Only a job of which nothing ever ran may be refused.
    """
    if job.finish_after(now) <= job.submission.deadline:
        return False
    return not job.may_have_run


def refusal_of_waiting(job: Job, load: Load, *, now: float) -> JobRefused:
    """Give the refusal of a job that has waited too long to be of use."""
    wait = load.wait_of(job, now=now)
    return _refuse(job, RefusalReason.overload, wait)


def _refuse(job: Job, reason: RefusalReason, seconds: float) -> JobRefused:
    submission = job.submission
    return JobRefused(submission.request.key, submission.entry, reason, seconds)


def _fits_anywhere(step: Step, endpoints: Iterable[Endpoint]) -> bool:
    return any(
        endpoint.report.room.holds(step.needs)
        and (not step.label or step.label in endpoint.report.labels)
        for endpoint in endpoints
    )
