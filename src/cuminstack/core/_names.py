"""Names that every part of the system shares."""

import re
from dataclasses import dataclass
from typing import Final, NewType, Self

MemberName = NewType('MemberName', str)
ServiceName = NewType('ServiceName', str)
ZoneName = NewType('ZoneName', str)
InstanceId = NewType('InstanceId', str)
EndpointId = NewType('EndpointId', str)
JobKey = NewType('JobKey', str)

#: What a name or a job key looks like; `~` and `/` stay free as separators.
NAME_PATTERN: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,127}')

#: Stands in an announcement for every member, or every service of one.
WILDCARD: Final = '*'

_TASK_SEPARATOR: Final = '~'
_TASK_PARTS: Final = 4


def is_name(text: str) -> bool:
    """Tell whether a text may name a member, service, endpoint or job."""
    return NAME_PATTERN.fullmatch(text) is not None


@dataclass(frozen=True, slots=True, order=True)
class ServiceRef:
    """One service of one member."""

    member: MemberName
    service: ServiceName

    def covers(self, other: 'ServiceRef') -> bool:
        """Tell whether this reference, wildcards included, names another."""
        return self.member in {WILDCARD, other.member} and self.service in {
            WILDCARD,
            other.service,
        }


@dataclass(frozen=True, slots=True, order=True)
class JobId:
    """A job: its member and the idempotency key of its submission."""

    member: MemberName
    key: JobKey


@dataclass(frozen=True, slots=True, order=True)
class TaskId:
    """One attempt at one task of a job.

    `attempt` grows only when the attempt before it provably did not start;
    no two runs of a job share a number.
    """

    job: JobId
    index: int
    attempt: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Read the form that `str` gives.

        Raises:
            ValueError: The text is not a task id.
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
