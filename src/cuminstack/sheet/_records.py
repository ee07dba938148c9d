"""The records of a sheet, and the sheet itself."""

import enum
import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import cached_property
from typing import Final

from cuminstack.core import MemberName, ServiceName, ServiceRef
from cuminstack.sheet._columns import (
    choice_column,
    decimal_column,
    integer_column,
    name_column,
)
from cuminstack.sheet._kinds import BaseRecord, record_kind

#: Largest version; all JSON parsers represent integers up to it exactly.
MAX_VERSION: Final = 9_007_199_254_740_991

_MAX_SHARE: Final = 1_000_000
_MIN_SHARE: Final = 0.001
_MAX_SLOTS: Final = 1_000_000
_MAX_QUEUED: Final = 100_000_000
_MAX_PROCESSORS: Final = 100_000
_MAX_ACCELERATORS: Final = 100_000
#: In MiB.
_MAX_MEMORY_MB: Final = 1_000_000_000
#: One day, in milliseconds.
_MAX_MILLISECONDS: Final = 86_400_000


class Preference(enum.Enum):
    """Whether a service favours short response times or little wasted work."""

    response = 'response'
    waste = 'waste'


@record_kind(
    'sheet',
    integer_column('version', low=1, high=MAX_VERSION),
    integer_column('based_on', high=MAX_VERSION),
    key_width=0,
)
@dataclass(frozen=True)
class Header(BaseRecord):
    """The first record of a sheet.

    Args:
        version: Version of the sheet; grows with each change.
        based_on: The version in force that the sheet was derived from.
    """

    version: int
    based_on: int


@record_kind(
    'member',
    name_column('name'),
    decimal_column('share', low=_MIN_SHARE, high=_MAX_SHARE),
    integer_column('max_slots', high=_MAX_SLOTS),
    integer_column('max_queued', low=1, high=_MAX_QUEUED),
    key_width=1,
)
@dataclass(frozen=True)
class Member(BaseRecord):
    """A member, with its share of the slots and its limits.

    Args:
        name: Name of the member.
        share: Weight in fair queueing, relative to the other members.
        max_slots: Most slots that the member may hold at once; 0 for no limit.
        max_queued: Most tasks that may wait at one instance.
    """

    name: MemberName
    share: float
    max_slots: int
    max_queued: int


@record_kind(
    'service',
    name_column('member'),
    name_column('name'),
    integer_column('deadline_ms', low=1, high=_MAX_MILLISECONDS),
    integer_column('expected_ms', high=_MAX_MILLISECONDS),
    choice_column('preference', Preference),
    key_width=2,
)
@dataclass(frozen=True)
class Service(BaseRecord):
    """A service of a member, with the defaults for its jobs.

    Args:
        member: The member that owns the service.
        name: Name of the service.
        deadline_ms: Default deadline of a job, in milliseconds.
        expected_ms: Default expected run time of a task, in milliseconds;
            0 if not known.
        preference: What scheduling favours for this service.
    """

    member: MemberName
    name: ServiceName
    deadline_ms: int
    expected_ms: int
    preference: Preference

    @property
    def ref(self) -> ServiceRef:
        """The reference that identifies the service in other packages."""
        return ServiceRef(self.member, self.name)


@record_kind(
    'claim',
    name_column('member'),
    name_column('service'),
    decimal_column('max_processors', high=_MAX_PROCESSORS),
    integer_column('max_memory_mb', high=_MAX_MEMORY_MB),
    integer_column('max_accelerators', high=_MAX_ACCELERATORS),
    key_width=2,
)
@dataclass(frozen=True)
class Claim(BaseRecord):
    """The most resources that one task of a service may request.

    Args:
        member: The member that owns the service.
        service: Name of the service.
        max_processors: Most processors.
        max_memory_mb: Most memory, in MiB.
        max_accelerators: Most accelerators.
    """

    member: MemberName
    service: ServiceName
    max_processors: float
    max_memory_mb: int
    max_accelerators: int

    @property
    def ref(self) -> ServiceRef:
        """The service that the limits apply to."""
        return ServiceRef(self.member, self.service)


Record = Member | Service | Claim


@dataclass(frozen=True)
class Sheet:
    """A complete configuration; the records of each kind are sorted by key."""

    version: int
    based_on: int
    members: tuple[Member, ...] = ()
    services: tuple[Service, ...] = ()
    claims: tuple[Claim, ...] = ()

    @property
    def records(self) -> Iterable[Record]:
        """All records except the header."""
        yield from self.members
        yield from self.services
        yield from self.claims

    @cached_property
    def canonical(self) -> bytes:
        """The canonical CSV text, in UTF-8."""
        rows = [Header(self.version, self.based_on).row]
        for records in (self.members, self.services, self.claims):
            rows.extend(each.row for each in sorted(records, key=_sort_key))
        rows.append('')
        return '\n'.join(rows).encode()

    @cached_property
    def digest(self) -> bytes:
        """The SHA-256 digest of the canonical text."""
        return hashlib.sha256(self.canonical).digest()

    @cached_property
    def by_key(self) -> Mapping[str, Record]:
        """All records except the header, by key."""
        return {record.key: record for record in self.records}

    def member(self, name: MemberName) -> Member | None:
        """Return the member of this name, or None if there is none."""
        return self._members.get(name)

    def service(self, ref: ServiceRef) -> Service | None:
        """Return the service, or None if there is none."""
        return self._services.get(ref)

    def claim(self, ref: ServiceRef) -> Claim | None:
        """Return the limits of a service's tasks; None means no limit."""
        return self._claims.get(ref)

    @cached_property
    def _members(self) -> dict[MemberName, Member]:
        return {member.name: member for member in self.members}

    @cached_property
    def _services(self) -> dict[ServiceRef, Service]:
        return {service.ref: service for service in self.services}

    @cached_property
    def _claims(self) -> dict[ServiceRef, Claim]:
        return {claim.ref: claim for claim in self.claims}


#: The sheet in force until the first one is applied.
EMPTY_SHEET: Final = Sheet(0, 0)


def build_sheet(
    version: int,
    based_on: int,
    records: Iterable[Record],
) -> Sheet:
    """Return a sheet of records that may come in any order."""
    members: list[Member] = []
    services: list[Service] = []
    claims: list[Claim] = []
    for record in records:
        match record:
            case Member():
                members.append(record)
            case Service():
                services.append(record)
            case Claim():
                claims.append(record)
    return Sheet(
        version,
        based_on,
        tuple(sorted(members, key=_sort_key)),
        tuple(sorted(services, key=_sort_key)),
        tuple(sorted(claims, key=_sort_key)),
    )


def _sort_key(record: Record) -> str:
    return record.key
