"""Runs that stand still or lag, found by how far they say they are."""

import enum
from typing import Final

from cuminstack.pool._endpoint import Endpoint, Run
from cuminstack.pool._health import SLOW_LAG

#: A run whose progress does not change for this long stands still: progress
#: comes in hundredths, and holds bring it about eight times a second.
_STILL_SECONDS: Final = 0.25
#: The same as a share of the expected run time, for long tasks.
_STILL_SHARE: Final = 0.5
#: Progress below this says little about the rate.
_LEAST_PERCENT: Final = 5.0
#: Lag of a run from which it is worth beginning anew elsewhere.
_MOVE_LAG: Final = 2.5
_WHOLE: Final = 100.0


class Verdict(enum.Enum):
    """What to do with a run."""

    leave = 'leave'
    stuck = 'stuck'
    lagging = 'lagging'


def judge_run(
    endpoint: Endpoint,
    run: Run,
    *,
    percent: float,
    expected: float,
    now: float,
) -> Verdict:
    """Take the progress of a run and judge it.

    Args:
        endpoint: Where it runs; its lag is learned.
        run: The run.
        percent: How far it says it is, 0 to 100.
        expected: Its expected run time in seconds.
        now: The present time.
    """
    begun = run.confirmed_at or run.sent_at
    if percent > run.percent or not run.moved_at:
        run.percent = percent
        run.moved_at = now
    still = now - run.moved_at
    if still > max(_STILL_SECONDS, expected * _STILL_SHARE):
        return Verdict.stuck
    if percent < _LEAST_PERCENT:
        return Verdict.leave
    ratio = (now - begun) * _WHOLE / percent / expected
    if ratio > SLOW_LAG:
        endpoint.health.observe_lag(ratio)
    left = (_WHOLE - percent) / _WHOLE * ratio
    is_slow = endpoint.health.lag > SLOW_LAG and ratio > _MOVE_LAG
    return Verdict.lagging if is_slow and left > 1 else Verdict.leave
