"""Checks for settings that contradict each other."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any, Final

from cuminstack.settings._faults import Inconsistent
from cuminstack.settings._model import PeerSettings, Settings

_MEBIBYTE: Final = 1_048_576
#: Memory of the process, as a multiple of the largest body of a caller and of
#: the largest sheet, so that one of them is served: it takes three times its
#: size of the part that callers, or endpoints and operators, have.
_BODY_FACTOR: Final = 17
_SHEET_FACTOR: Final = 25

_Check = Callable[[Settings], Iterator[Inconsistent]]
_registered_checks: list[_Check] = []


def inconsistencies(settings: Settings) -> tuple[Inconsistent, ...]:
    """Return a fault for each value that contradicts another one."""
    return tuple(
        fault for check in _registered_checks for fault in check(settings)
    )


def _check(function: _Check) -> _Check:
    _registered_checks.append(function)
    return function


def _fault(section: str, key: str, expected: str, got: Any) -> Inconsistent:
    return Inconsistent(section, key, expected, str(got))


@_check
def _check_timeout_order(settings: Settings) -> Iterator[Inconsistent]:
    timeouts = settings.timeouts
    orders = (
        ('heartbeat_ms', 'suspect_ms'),
        ('suspect_ms', 'gone_ms'),
        ('announce_ms', 'endpoint_lease_ms'),
        # Otherwise a task whose connection is still being opened would be
        # queried as silent.
        ('connect_ms', 'silent_floor_ms'),
    )
    for low, high in orders:
        found = getattr(timeouts, high)
        if found <= getattr(timeouts, low):
            yield _fault('timeouts', high, f'more than {low}', found)


@_check
def _check_limit_order(settings: Settings) -> Iterator[Inconsistent]:
    limits = settings.limits
    orders = (
        ('max_payload_bytes', 'max_body_bytes'),
        ('default_deadline_ms', 'max_deadline_ms'),
    )
    for low, high in orders:
        found = getattr(limits, low)
        if found > getattr(limits, high):
            yield _fault('limits', low, f'at most {high}', found)


@_check
def _check_memory(settings: Settings) -> Iterator[Inconsistent]:
    limits = settings.limits
    needed = max(
        _BODY_FACTOR * limits.max_body_bytes,
        _SHEET_FACTOR * limits.max_sheet_bytes,
    )
    least = -(-needed // _MEBIBYTE)
    if 0 < limits.memory_mb < least:
        expected = f'at least {least}, for max_body_bytes and max_sheet_bytes'
        yield _fault('limits', 'memory_mb', expected, limits.memory_mb)


@_check
def _check_reachable_addresses(settings: Settings) -> Iterator[Inconsistent]:
    # These addresses are sent to endpoints and peers.  The address for callers
    # may be a wildcard, since they connect through the platform's load
    # balancer.
    for key in ('endpoints', 'peers'):
        address = getattr(settings.listen, key)
        if address.is_wildcard:
            expected = 'an IP address that other hosts can connect to'
            yield _fault('listen', key, expected, address)


@_check
def _check_distinct_addresses(settings: Settings) -> Iterator[Inconsistent]:
    listen = settings.listen
    own = (listen.callers, listen.endpoints, listen.peers)
    yield from _duplicate_faults(
        'listen', 'peers', [at for at in own if at.port]
    )
    peers = settings.peers
    peer_addresses = [peer.peer_address for peer in peers]
    endpoint_addresses = [peer.endpoint_address for peer in peers]
    yield from _duplicate_faults(
        'peers', '', [*peer_addresses, *endpoint_addresses]
    )


def _duplicate_faults(
    section: str,
    key: str,
    addresses: list[Any],
) -> Iterator[Inconsistent]:
    for address, count in Counter(addresses).items():
        if count > 1:
            yield _fault(
                section, key, 'each address to be used only once', address
            )


@_check
def _check_own_peer_line(settings: Settings) -> Iterator[Inconsistent]:
    own = settings.instance.name
    for peer in settings.peers:
        if peer.name == own:
            yield from _mismatch_faults(settings, peer)


def _mismatch_faults(
    settings: Settings,
    line: PeerSettings,
) -> Iterator[Inconsistent]:
    pairs = (
        ('zone of this instance', settings.instance.zone, line.zone),
        ('address for peers', settings.listen.peers, line.peer_address),
        (
            'address for endpoints',
            settings.listen.endpoints,
            line.endpoint_address,
        ),
        ('replica flag by data_folder', settings.is_replica, line.replica),
    )
    for noun, expected, got in pairs:
        if expected != got:
            phrase = f'{noun}: {expected}, as set in the other sections'
            yield _fault('peers', line.name, phrase, got)


@_check
def _check_has_replica(settings: Settings) -> Iterator[Inconsistent]:
    replicas = [peer for peer in settings.peers if peer.replica]
    if settings.peers and not replicas and not settings.is_replica:
        yield _fault('peers', '', 'at least one replica', 'none')
