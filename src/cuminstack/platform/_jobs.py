"""Jobs and tasks, as callers and workers name them."""

import re
from typing import Final

import msgspec

from cuminstack.core import JobKey
from cuminstack.pool import JobRequest, Resources, RunKey, Step, TaskKey

#: What a caller's name for a job looks like.
_JOB_KEY: Final = re.compile('[0-9a-fA-F]{16}')
#: Tasks of one job at most; the largest deployments submit 1,800.
_MOST_TASKS: Final = 4096
_TASK_PARTS: Final = 4
_MS: Final = 1000.0


class BadJob(Exception):
    """A job that can't be read."""


class UnsupportedJob(Exception):
    """A job that asks for what is not offered; it never runs."""


class _Step(msgspec.Struct, rename='camel'):
    count: int = 1
    # Thousandths of a core.
    cpu: int = 0
    mem_mb: int = 0
    # Accelerators.
    gpu: int = 0
    est_runtime_ms: float = 0
    after: tuple[int, ...] = ()
    # A label that the worker must have.
    constraints: str = ''
    # The rack with the data.
    affinity: str = ''
    # Most tasks of the step on one worker.
    anti_affinity: int = 0
    gang: bool = False
    fill_count: int = 0


class _Job(msgspec.Struct, rename='camel'):
    steps: tuple[_Step, ...]
    # Passed on to the workers as it is.
    spec: str = ''
    # The job needn't be stored; its answer waits for its end.
    best_effort: bool = False
    # Runs until it is cancelled.
    long_running: bool = False
    # Occurrences; 0 for a job that runs once, now.
    times: int = 0


def is_job_key(text: str) -> bool:
    """Tell whether a text may name a job."""
    return _JOB_KEY.fullmatch(text) is not None


def decode_job(body: bytes, *, key: JobKey, queue: str) -> JobRequest:
    """Decode a submitted job.

    Raises:
        BadJob: It can't be read.
        UnsupportedJob: It asks for what is not offered.
    """
    try:
        found = msgspec.json.decode(body, type=_Job)
    except (msgspec.DecodeError, RecursionError) as error:
        raise BadJob(str(error)) from error
    _check(found)
    return JobRequest(
        key=key,
        queue=queue,
        payload=found.spec,
        steps=tuple(_make_step(step) for step in found.steps),
    )


def _check(job: _Job) -> None:
    tasks = sum(step.count for step in job.steps)
    if not 0 < tasks <= _MOST_TASKS:
        raise BadJob(f'{tasks} tasks')
    for number, each in enumerate(job.steps):
        if each.count < 1 or max(each.after, default=-1) >= number:
            raise BadJob(f'step {number}')
    unsupported = [name for name, asked in _extras(job) if asked]
    if unsupported:
        raise UnsupportedJob(', '.join(unsupported))


def _extras(job: _Job) -> tuple[tuple[str, bool], ...]:
    """List what a job may ask for that is not offered."""
    return (
        ('stored', not job.best_effort),
        ('long-running', job.long_running),
        ('timed', bool(job.times)),
        ('gang', any(step.gang for step in job.steps)),
        ('filling', any(step.fill_count for step in job.steps)),
    )


def _make_step(step: _Step) -> Step:
    return Step(
        count=step.count,
        needs=Resources(step.cpu, step.mem_mb, step.gpu),
        estimate=step.est_runtime_ms / _MS,
        after=step.after,
        label=step.constraints,
        rack=step.affinity,
        spread=step.anti_affinity,
    )


def task_name(task: TaskKey) -> str:
    """Give a task's name at workers; its occurrence is always the first."""
    return f'{task.job}.0.{task.step}.{task.index}'


def decode_run(task: str, number: int) -> RunKey:
    """Read a run as workers list it.

    Raises:
        ValueError: It is none.
    """
    parts = task.split('.')
    if len(parts) != _TASK_PARTS:
        raise ValueError(task)
    job, _, step, index = parts
    return RunKey(TaskKey(JobKey(job), int(step), int(index)), number)
