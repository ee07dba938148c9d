"""Runs that stand still or lag, found by how far they say they are."""

import enum
from typing import Final

from cuminstack.pool._endpoint import Endpoint, Run
from cuminstack.pool._jobs import Job

#: A run whose progress does not change for this long stands still: progress
#: comes in hundredths, and holds bring it about eight times a second.
_STILL_SECONDS: Final = 0.25
#: The same as a share of the expected run time, for long tasks.
_STILL_SHARE: Final = 0.5
#: Progress below this says little about the rate.
_LEAST_PERCENT: Final = 5.0
#: Times as long as tasks alike elsewhere from which a run lags; tasks of a
#: step differ by 15%.
_LAG: Final = 2.0
#: Seconds that beginning anew costs, beside the run itself.
_MOVE_SECONDS: Final = 0.08
_WHOLE: Final = 100.0


class Verdict(enum.Enum):
    """What to do with a run."""

    leave = 'leave'
    stuck = 'stuck'
    lagging = 'lagging'


def judge_run(
    endpoint: Endpoint,
    job: Job,
    run: Run,
    *,
    percent: float,
    now: float,
) -> Verdict:
    """Take the progress of a run and judge it.

    A run lags only against tasks of its step on other endpoints, as the
    declared run time of the whole job may be wrong.

    Args:
        endpoint: Where it runs.
        job: Its job; the rate of the run is noted there.
        run: The run.
        percent: How far it says it is, 0 to 100.
        now: The present time.
    """
    task = run.key.task
    expected = job.seconds[task.step]
    if percent > run.percent or not run.moved_at:
        run.percent = percent
        run.moved_at = now
    if now - run.moved_at > max(_STILL_SECONDS, expected * _STILL_SHARE):
        return Verdict.stuck
    if percent < _LEAST_PERCENT:
        return Verdict.leave
    begun = run.confirmed_at or run.sent_at
    ratio = (now - begun) * _WHOLE / percent / expected
    place = endpoint.report.endpoint
    job.ratios[task] = (place, ratio)
    elsewhere = job.sibling_ratio(task, place)
    if elsewhere is None or ratio < elsewhere * _LAG:
        return Verdict.leave
    left = (_WHOLE - percent) / _WHOLE * ratio * expected
    anew = elsewhere * expected + _MOVE_SECONDS
    return Verdict.lagging if left > anew else Verdict.leave
