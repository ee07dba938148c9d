"""Assessment of runs by their progress and their run times."""

import enum
import math
from bisect import bisect_left
from itertools import chain, islice
from typing import Final, NamedTuple

from cuminstack.core import EndpointId
from cuminstack.pool._endpoint import Endpoint, Run
from cuminstack.pool._job_table import JobTable
from cuminstack.pool._jobs import Job, Task
from cuminstack.pool._records import Step, TaskKey
from cuminstack.pool._rooms import CapacityIndex
from cuminstack.pool._speeds import EndpointSpeeds

#: A run is stuck if its progress does not change for this long.  Progress is
#: reported in hundredths, with holds, about eight times a second.
_STALL_SECONDS: Final = 0.25
#: Minimum stall time as a share of the expected run time, for long tasks.
_STALL_SHARE: Final = 0.5
#: Progress below which the rate of a run cannot be estimated.
_MIN_PERCENT: Final = 5.0
#: Multiple of the run time of siblings elsewhere from which a run lags, given
#: the speeds of their endpoints; tasks of a step differ by 15%.
_LAGGING_FACTOR: Final = 2.0
#: The same multiple, before it is raised for uncertain speeds.  Speeds that are
#: uncertain by up to 8% each leave `_LAGGING_FACTOR`.
_CERTAIN_FACTOR: Final = 1.6
#: Standard deviations of the speeds by which the multiple is raised.
_UNCERTAIN_DEVIATIONS: Final = 2.0
#: Cost of a restart in seconds, in addition to the run itself.
_RESTART_SECONDS: Final = 0.08
#: Further seconds that it takes if no endpoint has free capacity.
_QUEUE_SECONDS: Final = 0.1
#: Endpoints that are examined for free capacity, at most.
_MAX_EXAMINED: Final = 8
#: Multiple of the expected run time from which a whole job counts as long, if
#: its tasks agree.  3% of jobs take seven times as long; endpoints whose speed
#: is not known yet and declared run times account for twice.
_LONG_JOB_FACTOR: Final = 2.5
_FULL_PERCENT: Final = 100.0
#: Least run time in seconds that is assumed.  A run that ends at the clock
#: reading at which it was confirmed has a measured time of 0, which has no
#: ratio.
_MIN_RUN_SECONDS: Final = 0.001


class Verdict(enum.Enum):
    """Assessment of the progress of a run; `leave` lets the run go on."""

    leave = 'leave'
    stuck = 'stuck'
    lagging = 'lagging'


class _Comparison(NamedTuple):
    """A run time, compared with what is expected and with siblings elsewhere.

    Args:
        seconds: The run time, known or estimated.
        slowness: Slowness of its endpoint.
        ratio: Ratio to the expected run time, at slowness 1.0.
        sibling: Lowest such ratio of its siblings on other endpoints, and the
            endpoint; None if none has been measured.
    """

    seconds: float
    slowness: float
    ratio: float
    sibling: tuple[float, EndpointId] | None

    @property
    def slowdown(self) -> float:
        """Ratio to the best sibling, at slowness 1.0; 1.0 if there is none."""
        return 1.0 if self.sibling is None else self.ratio / self.sibling[0]


class RunAssessor:
    """Compares runs with what is expected at the speed of their endpoints.

    Args:
        jobs: All known jobs.
        speeds: Speeds of the endpoints, which learn from run times.
        capacity_index: Index of the endpoints that accept starts.
    """

    def __init__(
        self,
        jobs: JobTable,
        speeds: EndpointSpeeds,
        capacity_index: CapacityIndex,
    ) -> None:
        self._jobs = jobs
        self._speeds = speeds
        self._capacity_index = capacity_index

    @property
    def speeds(self) -> EndpointSpeeds:
        """Speeds of the endpoints."""
        return self._speeds

    def check_progress(
        self,
        endpoint: Endpoint,
        job: Job,
        run: Run,
        *,
        percent: float,
        now: float,
    ) -> Verdict:
        """Record the progress of a run and assess it.

        A run counts as lagging only in comparison with tasks of its step on
        other endpoints, as the declared run time of the whole job may be
        wrong, and only if the speeds of the endpoints don't explain it.

        Args:
            endpoint: Endpoint of the run.
            job: Job of the run, which stores the ratio of its run time to the
                expected one.
            run: The run.
            percent: Its reported progress, 0 to 100.
            now: Current time in seconds.
        """
        if run.is_claimed and not run.first_listed_at:
            run.first_listed_at = now
            run.first_percent = percent
        if percent > run.percent or not run.progressed_at:
            run.percent = percent
            run.progressed_at = now
        if self._is_stuck(endpoint, job, run, now):
            return Verdict.stuck
        gained = percent - run.first_percent
        if gained < _MIN_PERCENT:
            return Verdict.leave
        elapsed = max(now - _measured_from(run), _MIN_RUN_SECONDS)
        seconds = elapsed * _FULL_PERCENT / gained
        comparison = self._compare(endpoint, job, run.key.task, seconds)
        if self._is_lagging(comparison, endpoint, job, run, now):
            # Otherwise an endpoint that stays slow would never be known as
            # slow, as all of its runs are stopped before they end.
            self._learn_speed(comparison, endpoint, job, run.key.task, now)
            return Verdict.lagging
        return Verdict.leave

    def record_done(
        self, endpoint: Endpoint, job: Job, task: Task, run: Run, *, now: float
    ) -> None:
        """Learn from a run that is done.

        The start of a claimed run is not known, so nothing is learned from it.

        Args:
            endpoint: Endpoint of the run.
            job: Its job.
            task: Its task.
            run: The run.
            now: Current time in seconds.
        """
        if run.is_claimed:
            endpoint.health.record_success(endpoint.health.slowdown)
            return
        seconds = max(now - _measured_from(run), _MIN_RUN_SECONDS)
        comparison = self._compare(endpoint, job, task.key, seconds)
        endpoint.health.record_success(comparison.slowdown)
        self._learn_speed(comparison, endpoint, job, task.key, now)
        self._jobs.learn(job, task, seconds / comparison.slowness)

    def _is_stuck(
        self, endpoint: Endpoint, job: Job, run: Run, now: float
    ) -> bool:
        stalled = now - run.progressed_at
        if stalled <= _STALL_SECONDS:
            return False
        expected = job.expected_seconds[run.key.task.step]
        slowness = self._speeds.slowness(endpoint.report.endpoint)
        return stalled > expected * slowness * _STALL_SHARE

    def _compare(
        self, endpoint: Endpoint, job: Job, task: TaskKey, seconds: float
    ) -> _Comparison:
        """Compare a run time, known or estimated, with siblings elsewhere."""
        name = endpoint.report.endpoint
        slowness = self._speeds.slowness(name)
        ratio = seconds / job.expected_seconds[task.step] / slowness
        job.record_ratio(task, name, ratio)
        sibling = job.best_sibling(name, task.step)
        return _Comparison(seconds, slowness, ratio, sibling)

    def _learn_speed(
        self,
        comparison: _Comparison,
        endpoint: Endpoint,
        job: Job,
        task: TaskKey,
        now: float,
    ) -> None:
        expected = self._jobs.expect(job, task)
        if comparison.sibling is None:
            # Tasks of a long job that all run on one endpoint would be several
            # samples of a slow one.
            if task.index:
                return
        else:
            length = min(comparison.sibling[0], comparison.ratio)
            if length >= _LONG_JOB_FACTOR:
                expected *= length
        self._speeds.record(endpoint, expected, comparison.seconds, now=now)

    def _is_lagging(
        self,
        comparison: _Comparison,
        endpoint: Endpoint,
        job: Job,
        run: Run,
        now: float,
    ) -> bool:
        if comparison.sibling is None:
            return False
        if comparison.slowdown < _LAGGING_FACTOR:
            return False
        best_ratio, best_endpoint = comparison.sibling
        deviation = math.hypot(
            self._speeds.uncertainty(endpoint.report.endpoint),
            self._speeds.uncertainty(best_endpoint),
        )
        margin = math.exp(_UNCERTAIN_DEVIATIONS * deviation)
        if comparison.slowdown < _CERTAIN_FACTOR * margin:
            return False
        expected = job.expected_seconds[run.key.task.step]
        restart_seconds = self._restart_seconds(
            endpoint, job, run, best_ratio * expected, now
        )
        remaining_share = (_FULL_PERCENT - run.percent) / _FULL_PERCENT
        return remaining_share * comparison.seconds > restart_seconds

    def _restart_seconds(
        self,
        endpoint: Endpoint,
        job: Job,
        run: Run,
        seconds: float,
        now: float,
    ) -> float:
        """Return the seconds until a run would end that is started again.

        Args:
            endpoint: Endpoint of the run, which is left out.
            job: Its job.
            run: The run.
            seconds: Its run time at slowness 1.0.
            now: Current time in seconds.
        """
        task = job.tasks[run.key.task]
        step = job.steps[run.key.task.step]
        classes = self._capacity_index.startable(job.terms.service)
        # Fast endpoints come first.
        fitting = chain.from_iterable(
            islice(
                entries, bisect_left(entries, (step.needs.millicores,)), None
            )
            for entries in classes
        )
        avoided = {endpoint.report.endpoint, *task.failed_on}
        for each in islice(fitting, _MAX_EXAMINED):
            other = each.endpoint.report.endpoint
            is_healthy = not each.endpoint.health.is_quarantined(now=now)
            is_usable = is_healthy and other not in avoided
            if is_usable and _can_run(each.endpoint, step):
                slowness = self._speeds.slowness(other)
                return seconds * slowness + _RESTART_SECONDS
        return seconds + _RESTART_SECONDS + _QUEUE_SECONDS


def _can_run(endpoint: Endpoint, step: Step) -> bool:
    has_label = not step.label or step.label in endpoint.report.labels
    return has_label and endpoint.free.can_fit(step.needs)


def _measured_from(run: Run) -> float:
    """Return the time since which the progress of a run is measured."""
    return run.first_listed_at or run.confirmed_at or run.sent_at
