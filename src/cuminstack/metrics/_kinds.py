"""What is measured and what is counted."""

import enum
from types import MappingProxyType
from typing import Final


class Measure(enum.Enum):
    """What a histogram shows."""

    #: From the acceptance of a task to its start.
    wait = 'wait'
    #: From the start of a task to its answer, as its instance sees it.
    run = 'run'
    #: From the acceptance of a job to its outcome.
    response = 'response'
    #: Response time against that with a free slot at once for each task.
    response_ratio = 'response_ratio'


class Direction(enum.Enum):
    """Which way a message went."""

    sent = 'sent'
    received = 'received'


class MessageKind(enum.Enum):
    """What a message is for; HTTP requests and responses, or peer frames."""

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
    """Why a message was wasted."""

    #: A start or an answer that came a second time.
    duplicate = 'duplicate'
    #: A start that the endpoint refused without running it.
    refused_start = 'refused_start'
    #: A slot lease that ran out or was returned without a start.
    lease_unused = 'lease_unused'
    #: An answer that matches no task in progress.
    stale_answer = 'stale_answer'
    #: A submission of a job that is known already.
    resend = 'resend'
    #: A question about a task or an endpoint that has not come forward.
    probe = 'probe'
    #: A push of something that the receiver had.
    repeated_push = 'repeated_push'


class Tally(enum.Enum):
    """What is counted of the jobs and tasks of a service."""

    jobs_accepted = 'jobs_accepted'
    jobs_complete = 'jobs_complete'
    jobs_refused = 'jobs_refused'
    jobs_failed = 'jobs_failed'
    jobs_cancelled = 'jobs_cancelled'
    tasks_started = 'tasks_started'
    tasks_answered = 'tasks_answered'
    tasks_failed = 'tasks_failed'
    tasks_unknown = 'tasks_unknown'


# Peer messages are registered as `part.kind`; parts that are called
# otherwise than the kind their messages are counted as.
_PARTS: Final = MappingProxyType(
    {
        'register': MessageKind.sheet,
        'spread': MessageKind.sheet,
        'jobs': MessageKind.forward,
    }
)


def message_kind(wire_kind: str) -> MessageKind:
    """Tell as what a peer message is counted.

    Args:
        wire_kind: Its registered kind, `part.kind`.
    """
    part, _, _ = wire_kind.partition('.')
    try:
        return _PARTS.get(part) or MessageKind(part)
    except ValueError:
        return MessageKind.other
