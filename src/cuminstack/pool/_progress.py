"""Detection of stuck and lagging runs from the progress that they report."""

import enum
from typing import Final

from cuminstack.pool._endpoint import Endpoint, Run
from cuminstack.pool._jobs import Job

#: A run is stuck if its progress does not change for this long.  Progress is
#: reported in hundredths, with holds, about eight times a second.
_STALL_SECONDS: Final = 0.25
#: Minimum stall time as a share of the expected run time, for long tasks.
_STALL_SHARE: Final = 0.5
#: Progress below which the rate of a run cannot be estimated.
_MIN_PERCENT: Final = 5.0
#: Multiple of the run time of siblings elsewhere from which a run lags; tasks
#: of a step differ by 15%.
_LAGGING_FACTOR: Final = 2.0
#: Cost of a restart in seconds, in addition to the run itself.
_RESTART_SECONDS: Final = 0.08
_FULL_PERCENT: Final = 100.0
#: Least run time in seconds that is assumed.  A run that is claimed and ends
#: at the same clock reading has a measured time of 0, which has no ratio.
MIN_RUN_SECONDS: Final = 0.001


class Verdict(enum.Enum):
    """Assessment of the progress of a run; `leave` lets the run go on."""

    leave = 'leave'
    stuck = 'stuck'
    lagging = 'lagging'


def check_progress(
    endpoint: Endpoint,
    job: Job,
    run: Run,
    *,
    percent: float,
    now: float,
) -> Verdict:
    """Record the progress of a run and assess it.

    A run counts as lagging only in comparison with tasks of its step on other
    endpoints, as the declared run time of the whole job may be wrong.

    Args:
        endpoint: Endpoint of the run.
        job: Job of the run, which stores the ratio of its run time to the
            expected one.
        run: The run.
        percent: Its reported progress, 0 to 100.
        now: Current time in seconds.
    """
    task = run.key.task
    expected = job.expected_seconds[task.step]
    if percent > run.percent or not run.progressed_at:
        run.percent = percent
        run.progressed_at = now
    if now - run.progressed_at > max(_STALL_SECONDS, expected * _STALL_SHARE):
        return Verdict.stuck
    if percent < _MIN_PERCENT:
        return Verdict.leave
    begun = run.confirmed_at or run.sent_at
    elapsed = max(now - begun, MIN_RUN_SECONDS)
    ratio = elapsed * _FULL_PERCENT / percent / expected
    name = endpoint.report.endpoint
    job.run_time_ratios[task] = (name, ratio)
    best_sibling = job.sibling_ratio(task, name)
    if best_sibling is None or ratio < best_sibling * _LAGGING_FACTOR:
        return Verdict.leave
    remaining_seconds = (
        (_FULL_PERCENT - percent) / _FULL_PERCENT * ratio * expected
    )
    restart_seconds = best_sibling * expected + _RESTART_SECONDS
    return (
        Verdict.lagging
        if remaining_seconds > restart_seconds
        else Verdict.leave
    )
