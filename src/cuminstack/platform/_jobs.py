"""Decoding of submitted jobs, and names of jobs and tasks on the wire."""

import re
from typing import Final

import msgspec

from cuminstack.core import JobKey
from cuminstack.platform._numbers import Amount, Milliseconds, Serial
from cuminstack.pool import JobRequest, Resources, Step, TaskKey

#: Form of a job key, which the caller chooses.
_JOB_KEY_PATTERN: Final = re.compile('[0-9a-fA-F]{16}')
#: Largest number of tasks in a job; the largest deployments submit 1,800.
_MAX_TASKS: Final = 4096
#: Job key, occurrence, step and index.
_TASK_NAME_PARTS: Final = 4
_MS_PER_SECOND: Final = 1000.0


class BadJob(Exception):
    """A submitted job is malformed."""


class UnsupportedJob(Exception):
    """A submitted job needs a feature that is not supported; it never runs."""


class _Step(msgspec.Struct, rename='camel'):
    count: Serial = 1
    # Millicores.
    cpu: Amount = 0
    mem_mb: Amount = 0
    # Number of accelerators.
    gpu: Amount = 0
    est_runtime_ms: Milliseconds = 0
    after: tuple[Serial, ...] = ()
    # Label that the worker must have; empty for any worker.
    constraints: str = ''
    # Rack that holds the input data.
    affinity: str = ''
    # Largest number of tasks of the step on one worker; 0 for no limit.
    anti_affinity: Serial = 0
    gang: bool = False
    fill_count: Serial = 0


class _Job(msgspec.Struct, rename='camel'):
    steps: tuple[_Step, ...]
    # Payload that is passed to the workers unchanged.
    spec: str = ''
    # The job needn't be stored; the request is answered when the job ends.
    best_effort: bool = False
    # The job runs until it is cancelled.
    long_running: bool = False
    # Number of scheduled occurrences; 0 for a job that runs once, at once.
    times: Serial = 0


def is_job_key(text: str) -> bool:
    """Return whether a text is a well-formed job key."""
    return _JOB_KEY_PATTERN.fullmatch(text) is not None


def decode_job(body: bytes, *, key: JobKey, queue: str) -> JobRequest:
    """Decode and validate a submitted job.

    Args:
        body: JSON body of the request.
        key: Key of the job, from the path of the request.
        queue: Name of the queue that the job is submitted to.

    Raises:
        BadJob: The job is malformed.
        UnsupportedJob: The job needs a feature that is not supported.
    """
    try:
        decoded = msgspec.json.decode(body, type=_Job)
    except (msgspec.DecodeError, RecursionError) as error:
        raise BadJob(str(error)) from error
    _check_job(decoded)
    return JobRequest(
        key=key,
        queue=queue,
        payload=decoded.spec,
        steps=tuple(_make_step(step) for step in decoded.steps),
    )


def _check_job(job: _Job) -> None:
    tasks = sum(step.count for step in job.steps)
    if not 0 < tasks <= _MAX_TASKS:
        raise BadJob(f'{tasks} tasks, which is out of range')
    for number, each in enumerate(job.steps):
        if each.count < 1 or max(each.after, default=-1) >= number:
            raise BadJob(f'invalid count or dependency in step {number}')
    unsupported = [
        name for name, is_needed in _unsupported_features(job) if is_needed
    ]
    if unsupported:
        raise UnsupportedJob(', '.join(unsupported))


def _unsupported_features(job: _Job) -> tuple[tuple[str, bool], ...]:
    """Return each unsupported feature, and whether a job needs it."""
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
        estimate=step.est_runtime_ms / _MS_PER_SECOND,
        after=step.after,
        label=step.constraints,
        rack=step.affinity,
        spread=step.anti_affinity,
    )


def task_name(task: TaskKey) -> str:
    """Return the name of a task in requests to workers.

    Its second part is the occurrence of the job, always 0: jobs with several
    occurrences are not supported.
    """
    return f'{task.job}.0.{task.step}.{task.index}'


def decode_task(name: str) -> TaskKey:
    """Decode the name of a task that a worker lists.

    Args:
        name: The name, as `task_name` returns it.

    Raises:
        ValueError: The name isn't one of a task.
    """
    parts = name.split('.')
    if len(parts) != _TASK_NAME_PARTS:
        raise ValueError('not a task name')
    job, _, step, index = parts
    key = TaskKey(JobKey(job), int(step), int(index))
    if min(key.step, key.index) < 0 or name != task_name(key):
        raise ValueError('not a task name')
    return key
