"""Kinds of measurements, counters, messages and waste."""

import enum
from types import MappingProxyType
from typing import Final


class Measure(enum.Enum):
    """Quantity that a histogram measures."""

    #: Time from the acceptance of a task to its start.
    wait = 'wait'
    #: Time from the start of a task to its answer, measured at its instance.
    run = 'run'
    #: Time from the acceptance of a job to its outcome.
    response = 'response'
    #: Ratio of the response time to the ideal one, with a slot free for each
    #: task immediately.
    response_ratio = 'response_ratio'


class Direction(enum.Enum):
    """Direction of a message, seen from the instance."""

    sent = 'sent'
    received = 'received'


class MessageKind(enum.Enum):
    """Purpose of an HTTP request or response, or of a peer frame."""

    job = 'job'
    outcome = 'outcome'
    start = 'start'
    answer = 'answer'
    refused_start = 'refused_start'
    task_query = 'task_query'
    stop = 'stop'
    announcement = 'announcement'
    operator = 'operator'
    membership = 'membership'
    endpoints = 'endpoints'
    slots = 'slots'
    claims = 'claims'
    sheet = 'sheet'
    forward = 'forward'
    other = 'other'


class WasteCause(enum.Enum):
    """Reason why a message was wasted."""

    #: A start or an answer that was received twice.
    duplicate = 'duplicate'
    #: A start that the endpoint refused without running the task.
    refused_start = 'refused_start'
    #: A slot lease that expired or was returned without a start.
    lease_unused = 'lease_unused'
    #: An answer that matches no running task.
    stale_answer = 'stale_answer'
    #: A repeated submission of a known job.
    resend = 'resend'
    #: A query about a task or an endpoint that hasn't reported.
    probe = 'probe'
    #: A push of something that the receiver already had.
    repeated_push = 'repeated_push'


class Tally(enum.Enum):
    """Counter of jobs or tasks of a service."""

    jobs_accepted = 'jobs_accepted'
    jobs_complete = 'jobs_complete'
    jobs_refused = 'jobs_refused'
    jobs_failed = 'jobs_failed'
    jobs_cancelled = 'jobs_cancelled'
    tasks_started = 'tasks_started'
    tasks_answered = 'tasks_answered'
    tasks_failed = 'tasks_failed'
    tasks_unknown = 'tasks_unknown'


# Components whose messages are counted as a kind of another name.
_KINDS_BY_COMPONENT: Final = MappingProxyType(
    {
        'register': MessageKind.sheet,
        'spread': MessageKind.sheet,
        'jobs': MessageKind.forward,
    }
)


def message_kind(wire_kind: str) -> MessageKind:
    """Return the kind that a peer message is counted as.

    Args:
        wire_kind: Registered kind of the message, in the form
            `component.kind`.
    """
    component, _, _ = wire_kind.partition('.')
    try:
        return _KINDS_BY_COMPONENT.get(component) or MessageKind(component)
    except ValueError:
        return MessageKind.other
