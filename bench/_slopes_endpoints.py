"""Slopes of endpoints: per endpoint known, owned and announced."""

from typing import Final

from bench._slope import Slope, line, measure, microseconds, retained_bytes
from cuminstack import wire
from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    InstanceId,
    MemberName,
    Needs,
    ServiceName,
    ServiceRef,
    ZoneName,
)
from cuminstack.endpoints import (
    Directory,
    OwnedEndpoints,
    TableDelta,
    WholeTable,
)

_ENDPOINTS: Final = (450, 900, 1800)
_CHANGED: Final = (1, 10, 100)
_ROUNDS: Final = 20
#: Endpoints of a rack.
_RACK: Final = 8
_OWNER: Final = InstanceId('telavi-1')
_ORDERS: Final = ServiceRef(MemberName('tkemali'), ServiceName('order-desk'))
_LEASE_SECONDS: Final = 5.0


def record(index: int, *, busy: int = 0) -> EndpointRecord:
    """Give the record of an endpoint of the users' size."""
    rack, place = divmod(index, _RACK)
    return EndpointRecord(
        endpoint=EndpointId(f'rack-{rack}-worker-{index}'),
        incarnation=1_764_826_429_000 + index,
        zone=ZoneName('telavi'),
        url=f'http://10.1.{rack}.{place}:9000',
        serves=(_ORDERS,),
        slots=8,
        connections=64,
        offers=Needs(16, 32_768, 0),
        busy=busy,
    )


@measure('endpoints')
def endpoint_slopes() -> tuple[Slope, ...]:
    """Keep, look up, announce and spread endpoints."""
    return (
        *_directory_slopes(),
        *_owner_slopes(),
        line('frame of changes', 'endpoint', 'B', _CHANGED, _delta_bytes),
    )


def _directory_slopes() -> tuple[Slope, ...]:
    per = 'endpoint'
    return (
        line('memory of the directory', per, 'B', _ENDPOINTS, _memory),
        line('find those of a service', per, 'us', _ENDPOINTS, _lookup),
        line('read a whole table', per, 'us', _ENDPOINTS, _read_whole),
        line('frame of a whole table', per, 'B', _ENDPOINTS, _whole_bytes),
    )


def _owner_slopes() -> tuple[Slope, ...]:
    per = 'endpoint'
    return (
        line('look for leases run out', per, 'us', _ENDPOINTS, _expiry),
        line('renew leases, no HTTP', per, 'us', _ENDPOINTS, _renewal),
    )


def _records(count: int) -> tuple[EndpointRecord, ...]:
    return tuple(record(index) for index in range(count))


def _directory(count: int) -> Directory:
    directory = Directory()
    frame = wire.encode(WholeTable(1, 1, _records(count)))
    directory.receive(_OWNER, wire.decode(frame), now=0)
    return directory


def _owned(count: int) -> OwnedEndpoints:
    owned = OwnedEndpoints(incarnation=1, lease=_LEASE_SECONDS)
    for each in _records(count):
        owned.announce(each, now=0)
    return owned


def _memory(count: int) -> float:
    used, _ = retained_bytes(lambda: _directory(count))
    return used


def _lookup(count: int) -> float:
    directory = _directory(count)
    return microseconds(
        lambda: directory.endpoints_for(_ORDERS), rounds=_ROUNDS
    )


def _read_whole(count: int) -> float:
    frame = wire.encode(WholeTable(1, 1, _records(count)))
    return microseconds(lambda: wire.decode(frame), rounds=_ROUNDS)


def _whole_bytes(count: int) -> float:
    return len(wire.encode(WholeTable(1, 1, _records(count))))


def _delta_bytes(count: int) -> float:
    return len(wire.encode(TableDelta(1, 1, _records(count))))


def _expiry(count: int) -> float:
    owned = _owned(count)
    return microseconds(lambda: owned.expire(now=1), rounds=_ROUNDS)


def _renewal(count: int) -> float:
    owned = _owned(count)
    renewed = _records(count)

    def renew() -> None:  # noqa: WPS430
        for each in renewed:
            owned.announce(each, now=1)

    return microseconds(renew, rounds=1)
