"""Where a task goes: the endpoint that suits it best."""

from collections.abc import Iterator
from typing import Final

from cuminstack.pool._endpoint import Endpoint
from cuminstack.pool._health import SLOW_LAG
from cuminstack.pool._jobs import Job, Task
from cuminstack.pool._records import Step
from cuminstack.pool._rooms import Starters

#: How much longer a task takes away from its data, if nothing is known.
_COLD_SECONDS: Final = 0.1

#: What speaks against an endpoint, the worst first.
_Flaws = tuple[bool, bool, bool, bool]
_FLAWLESS: Final[_Flaws] = (False, False, False, False)


def find_endpoint(
    starters: Starters,
    job: Job,
    task: Task,
) -> Endpoint | None:
    """Give the endpoint for a task, or None if none has room.

    Healthy endpoints come first, then those with the data, then the one
    that is left with the least room.

    Args:
        starters: Those of the service that may get starts.
        job: The job.
        task: Its task.
    """
    step = job.steps[task.key.step]
    found: tuple[_Flaws, Endpoint] | None = None
    for endpoint in _fitting(starters, task, step):
        flaws = _flaws_of(endpoint, step)
        if flaws == _FLAWLESS:
            return endpoint
        if found is None or flaws < found[0]:
            found = (flaws, endpoint)
    return None if found is None else found[1]


def _fitting(
    starters: Starters,
    task: Task,
    step: Step,
) -> Iterator[Endpoint]:
    # It waits for an endpoint that hasn't failed it, if there is any.
    failed = task.failed_on
    avoided = failed if failed and starters.has_others(failed) else ()
    for endpoint in starters.holding(step.needs.millicores):
        is_avoided = endpoint.report.endpoint in avoided
        if not is_avoided and _fits(endpoint, task, step):
            yield endpoint


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


def _flaws_of(endpoint: Endpoint, step: Step) -> _Flaws:
    health = endpoint.health
    return (
        health.lag > SLOW_LAG,
        endpoint.report.cold_seconds > _COLD_SECONDS,
        bool(step.rack) and step.rack not in endpoint.report.labels,
        health.is_blamed,
    )
