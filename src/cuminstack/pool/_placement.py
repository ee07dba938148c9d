"""Placement: selects the endpoint for a task."""

from collections.abc import Iterator
from typing import Final

from cuminstack.pool._endpoint import Endpoint
from cuminstack.pool._health import MAX_SLOWDOWN
from cuminstack.pool._jobs import Job, Task
from cuminstack.pool._records import Step
from cuminstack.pool._rooms import StartCandidates

#: Remaining warm-up time in seconds above which an endpoint counts as cold: as
#: long as a task is assumed to take longer away from its data.
_MAX_WARM_UP_SECONDS: Final = 0.1

#: Reasons against an endpoint, the most severe first.
_Penalties = tuple[bool, bool, bool, bool]
_NO_PENALTIES: Final[_Penalties] = (False, False, False, False)


def find_endpoint(
    candidates: StartCandidates,
    job: Job,
    task: Task,
) -> Endpoint | None:
    """Return the best endpoint for a task, or None if it fits nowhere.

    Endpoints that run at normal speed come first, then those that are warmed
    up, then those in the rack with the data, then those without recent
    failures, then the fastest ones, then the one with the fewest free
    millicores.  Speeds are compared by class, see `CapacityIndex`; where all
    are in one class, only the free millicores count.

    Args:
        candidates: Endpoints of the service that may get starts.
        job: The job.
        task: Task of the job.
    """
    step = job.steps[task.key.step]
    best: tuple[_Penalties, Endpoint] | None = None
    for endpoint in _eligible(candidates, task, step):
        penalties = _penalties_of(endpoint, step)
        if penalties == _NO_PENALTIES:
            return endpoint
        if best is None or penalties < best[0]:
            best = (penalties, endpoint)
    return None if best is None else best[1]


def _eligible(
    candidates: StartCandidates,
    task: Task,
    step: Step,
) -> Iterator[Endpoint]:
    # If there are endpoints on which the task has not failed, it waits for
    # one of them.
    failed = task.failed_on
    avoided = failed if failed and candidates.has_any_except(failed) else ()
    for endpoint in candidates.with_free(step.needs.millicores):
        is_avoided = endpoint.report.endpoint in avoided
        if not is_avoided and _fits(endpoint, task, step):
            yield endpoint


def _fits(endpoint: Endpoint, task: Task, step: Step) -> bool:
    return endpoint.free.can_fit(step.needs) and may_host(endpoint, task, step)


def may_host(endpoint: Endpoint, task: Task, step: Step) -> bool:
    """Return whether labels and spread admit a task, whatever is free."""
    if step.label and step.label not in endpoint.report.labels:
        return False
    return not step.spread or _count_step_runs(endpoint, task) < step.spread


def _count_step_runs(endpoint: Endpoint, task: Task) -> int:
    key = task.key
    return sum(
        run.task.job == key.job and run.task.step == key.step
        for run in endpoint.runs
    )


def _penalties_of(endpoint: Endpoint, step: Step) -> _Penalties:
    health = endpoint.health
    return (
        health.slowdown > MAX_SLOWDOWN,
        endpoint.report.cold_seconds > _MAX_WARM_UP_SECONDS,
        bool(step.rack) and step.rack not in endpoint.report.labels,
        health.has_failures,
    )
