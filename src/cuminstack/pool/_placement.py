"""Where a task goes: the endpoint that suits it best."""

from collections.abc import Sequence
from typing import Final

from cuminstack.pool._endpoint import Endpoint
from cuminstack.pool._health import SLOW_LAG
from cuminstack.pool._jobs import Job, Task
from cuminstack.pool._records import Step

#: How much longer a task takes away from its data, if nothing is known.
_COLD_SECONDS: Final = 0.1


def find_endpoint(
    endpoints: Sequence[Endpoint],
    job: Job,
    task: Task,
    *,
    now: float,
) -> Endpoint | None:
    """Give the endpoint for a task, or None if none has room.

    Healthy endpoints come first, then those with the data, then the one
    that is left with the least room.

    Args:
        endpoints: Those of the service that take starts.
        job: The job.
        task: Its task.
        now: The present time.
    """
    step = job.steps[task.key.step]
    # It waits for an endpoint that hasn't failed it, if there is any.
    wanted = _untried(endpoints, task) or endpoints
    fitting = [each for each in wanted if _fits(each, task, step)]
    if not fitting:
        return None
    return min(fitting, key=lambda each: _rank(each, step, now))


def _untried(endpoints: Sequence[Endpoint], task: Task) -> Sequence[Endpoint]:
    if not task.failed_on:
        return endpoints
    return [
        each for each in endpoints if each.report.endpoint not in task.failed_on
    ]


def _fits(endpoint: Endpoint, task: Task, step: Step) -> bool:
    if not endpoint.free.holds(step.needs):
        return False
    if endpoint.health.is_on_trial and endpoint.runs:
        return False
    if step.label and step.label not in endpoint.report.labels:
        return False
    return not step.spread or _copies(endpoint, task) < step.spread


def _copies(endpoint: Endpoint, task: Task) -> int:
    key = task.key
    return sum(
        run.task.job == key.job and run.task.step == key.step
        for run in endpoint.runs
    )


def _rank(
    endpoint: Endpoint,
    step: Step,
    now: float,
) -> list[float]:
    health = endpoint.health
    return [
        health.is_aside(now=now),
        health.lag > SLOW_LAG,
        endpoint.report.cold_seconds > _COLD_SECONDS,
        bool(step.rack) and step.rack not in endpoint.report.labels,
        health.is_blamed,
        endpoint.free.millicores,
    ]
