"""Checks of settings against one another."""

from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from cuminstack.settings._faults import Inconsistent
from cuminstack.settings._model import PeerSettings, Settings

_Check = Callable[[Settings], Iterator[Inconsistent]]
_checks: list[_Check] = []


def inconsistencies(settings: Settings) -> tuple[Inconsistent, ...]:
    """Give every value that contradicts another one."""
    return tuple(fault for check in _checks for fault in check(settings))


def _check(function: _Check) -> _Check:
    _checks.append(function)
    return function


def _fault(section: str, key: str, expected: str, got: Any) -> Inconsistent:
    return Inconsistent(section, key, expected, str(got))


@_check
def _timeouts_ascend(settings: Settings) -> Iterator[Inconsistent]:
    timeouts = settings.timeouts
    orders = (
        ('heartbeat_ms', 'suspect_ms'),
        ('suspect_ms', 'gone_ms'),
        ('announce_ms', 'endpoint_lease_ms'),
        # Else a start that waits for its connection is asked after.
        ('connect_ms', 'silent_floor_ms'),
    )
    for low, high in orders:
        found = getattr(timeouts, high)
        if found <= getattr(timeouts, low):
            yield _fault('timeouts', high, f'more than {low}', found)


@_check
def _limits_nest(settings: Settings) -> Iterator[Inconsistent]:
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
def _can_be_dialled(settings: Settings) -> Iterator[Inconsistent]:
    # Endpoints and peers are told these addresses; callers come through
    # the platform's balancer.
    for key in ('endpoints', 'peers'):
        address = getattr(settings.listen, key)
        if address.is_wildcard:
            expected = 'the IP number that others dial'
            yield _fault('listen', key, expected, address)


@_check
def _addresses_differ(settings: Settings) -> Iterator[Inconsistent]:
    listen = settings.listen
    own = (listen.callers, listen.endpoints, listen.peers)
    yield from _repeated('listen', 'peers', [at for at in own if at.port])
    peers = settings.peers
    dialled = [peer.peer_address for peer in peers]
    announced = [peer.endpoint_address for peer in peers]
    yield from _repeated('peers', '', [*dialled, *announced])


def _repeated(
    section: str,
    key: str,
    addresses: list[Any],
) -> Iterator[Inconsistent]:
    for address, count in Counter(addresses).items():
        if count > 1:
            yield _fault(section, key, 'addresses used once', address)


@_check
def _own_line_agrees(settings: Settings) -> Iterator[Inconsistent]:
    own = settings.instance.name
    for peer in settings.peers:
        if peer.name == own:
            yield from _differences(settings, peer)


def _differences(
    settings: Settings,
    line: PeerSettings,
) -> Iterator[Inconsistent]:
    pairs = (
        ('its zone', settings.instance.zone, line.zone),
        ('its peers address', settings.listen.peers, line.peer_address),
        (
            'its endpoints address',
            settings.listen.endpoints,
            line.endpoint_address,
        ),
        ('replica by data_folder', settings.is_replica, line.replica),
    )
    for noun, expected, got in pairs:
        if expected != got:
            phrase = f'{noun}: {expected}, as in the other sections'
            yield _fault('peers', line.name, phrase, got)


@_check
def _some_replica(settings: Settings) -> Iterator[Inconsistent]:
    replicas = [peer for peer in settings.peers if peer.replica]
    if settings.peers and not replicas and not settings.is_replica:
        yield _fault('peers', '', 'at least one replica', 'none')
