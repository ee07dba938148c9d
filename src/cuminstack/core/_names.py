"""Names and identifiers that all packages share."""

import re
from dataclasses import dataclass
from typing import Final, NewType, Self

MemberName = NewType('MemberName', str)
ServiceName = NewType('ServiceName', str)
ZoneName = NewType('ZoneName', str)
InstanceId = NewType('InstanceId', str)
EndpointId = NewType('EndpointId', str)
JobKey = NewType('JobKey', str)

#: Pattern of names and job keys; without the separators `~` and `/`.
NAME_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,127}')

#: Matches every member, or every service of a member, in an endpoint's
#: announcement.
WILDCARD: Final = '*'

_TASK_SEPARATOR: Final = '~'
_TASK_PARTS: Final = 4


def is_name(text: str) -> bool:
    """Return whether a text is a valid name or job key.

    The pattern is the same for members, services, endpoints and jobs.
    """
    return NAME_PATTERN.fullmatch(text) is not None


@dataclass(frozen=True, slots=True, order=True)
class ServiceRef:
    """Reference to a service of a member; either part may be `WILDCARD`."""

    member: MemberName
    service: ServiceName

    def covers(self, other: 'ServiceRef') -> bool:
        """Return whether this reference, with wildcards, matches another."""
        return self.member in {WILDCARD, other.member} and self.service in {
            WILDCARD,
            other.service,
        }


@dataclass(frozen=True, slots=True, order=True)
class JobId:
    """Identifier of a job: its member and the idempotency key."""

    member: MemberName
    key: JobKey


@dataclass(frozen=True, slots=True, order=True)
class TaskId:
    """Identifier of one attempt at a task of a job.

    The text form is `member~key~index~attempt`.

    Args:
        job: The job that the task belongs to.
        index: Position of the task in the job.
        attempt: Number of the attempt.  It is increased only when the
            previous attempt provably did not start.  No two runs of a job
            share a number.
    """

    job: JobId
    index: int
    attempt: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse the text form that `str` returns.

        Raises:
            ValueError: The text is not a task identifier.
        """
        parts = text.split(_TASK_SEPARATOR)
        if len(parts) != _TASK_PARTS:
            raise ValueError(text)
        member, key, index, attempt = parts
        job = JobId(MemberName(member), JobKey(key))
        return cls(job=job, index=int(index), attempt=int(attempt))

    def __str__(self) -> str:
        parts = (self.job.member, self.job.key, self.index, self.attempt)
        return _TASK_SEPARATOR.join(map(str, parts))
