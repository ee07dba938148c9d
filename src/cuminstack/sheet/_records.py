"""The records of a sheet, and the sheet."""

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
    name_column,
    whole_column,
)
from cuminstack.sheet._kinds import Row, record_kind

#: Highest version; what JSON readers still take as a whole number.
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
    """What counts more for a service where one must be traded."""

    response = 'response'
    waste = 'waste'


@record_kind(
    'sheet',
    whole_column('version', low=1, high=MAX_VERSION),
    whole_column('based_on', high=MAX_VERSION),
    key_width=0,
)
@dataclass(frozen=True)
class Header(Row):
    """The first record of a sheet.

    Args:
        version: Its version; grows with each change.
        based_on: The version in force that it was made from.
    """

    version: int
    based_on: int


@record_kind(
    'member',
    name_column('name'),
    decimal_column('share', low=_MIN_SHARE, high=_MAX_SHARE),
    whole_column('max_slots', high=_MAX_SLOTS),
    whole_column('max_queued', low=1, high=_MAX_QUEUED),
    key_width=1,
)
@dataclass(frozen=True)
class Member(Row):
    """A member.

    Args:
        name: Its name.
        share: Weight of its turns against the other members'.
        max_slots: Slots that it may hold at once; 0 for no bound.
        max_queued: Tasks that it may have waiting at one instance.
    """

    name: MemberName
    share: float
    max_slots: int
    max_queued: int


@record_kind(
    'service',
    name_column('member'),
    name_column('name'),
    whole_column('deadline_ms', low=1, high=_MAX_MILLISECONDS),
    whole_column('expected_ms', high=_MAX_MILLISECONDS),
    choice_column('preference', Preference),
    key_width=2,
)
@dataclass(frozen=True)
class Service(Row):
    """A service of a member, with what its jobs get where they say nothing.

    Args:
        member: Whose it is.
        name: Its name.
        deadline_ms: Default deadline of a job, in milliseconds.
        expected_ms: Default run time of a task, in milliseconds; 0 if not
            known.
        preference: What counts more for it.
    """

    member: MemberName
    name: ServiceName
    deadline_ms: int
    expected_ms: int
    preference: Preference

    @property
    def ref(self) -> ServiceRef:
        """The name by which other parts know it."""
        return ServiceRef(self.member, self.name)


@record_kind(
    'claim',
    name_column('member'),
    name_column('service'),
    decimal_column('max_processors', high=_MAX_PROCESSORS),
    whole_column('max_memory_mb', high=_MAX_MEMORY_MB),
    whole_column('max_accelerators', high=_MAX_ACCELERATORS),
    key_width=2,
)
@dataclass(frozen=True)
class Claim(Row):
    """What one task of a service may ask for.

    Args:
        member: Whose service it is.
        service: The service.
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
        """The service that it bounds."""
        return ServiceRef(self.member, self.service)


Record = Member | Service | Claim


@dataclass(frozen=True)
class Sheet:
    """A whole configuration; records are in the order of their names."""

    version: int
    based_on: int
    members: tuple[Member, ...] = ()
    services: tuple[Service, ...] = ()
    claims: tuple[Claim, ...] = ()

    @property
    def records(self) -> Iterable[Record]:
        """All records but the header."""
        yield from self.members
        yield from self.services
        yield from self.claims

    @cached_property
    def canonical(self) -> bytes:
        """The one canonical CSV text of it."""
        rows = [Header(self.version, self.based_on).row]
        for records in (self.members, self.services, self.claims):
            rows.extend(each.row for each in sorted(records, key=_order))
        rows.append('')
        return '\n'.join(rows).encode()

    @cached_property
    def digest(self) -> bytes:
        """SHA-256 of the canonical text."""
        return hashlib.sha256(self.canonical).digest()

    @cached_property
    def by_key(self) -> Mapping[str, Record]:
        """All records but the header, by what tells them apart."""
        return {record.key: record for record in self.records}

    def member(self, name: MemberName) -> Member | None:
        """Find a member."""
        return self._members.get(name)

    def service(self, ref: ServiceRef) -> Service | None:
        """Find a service."""
        return self._services.get(ref)

    def claim(self, ref: ServiceRef) -> Claim | None:
        """Find what a task of a service may ask for; None for no bound."""
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


#: What is in force before the first sheet.
EMPTY_SHEET: Final = Sheet(0, 0)


def build_sheet(
    version: int,
    based_on: int,
    records: Iterable[Record],
) -> Sheet:
    """Build a sheet from records in any order."""
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
        tuple(sorted(members, key=_order)),
        tuple(sorted(services, key=_order)),
        tuple(sorted(claims, key=_order)),
    )


def _order(record: Record) -> str:
    return record.key
