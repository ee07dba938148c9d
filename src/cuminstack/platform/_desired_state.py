"""The operator's desired state: routes, services and limits."""

import json
from dataclasses import dataclass
from typing import Any, Final

import msgspec

from cuminstack.pool import QueueTerms

_MS: Final = 1000.0


class InvalidState(Exception):
    """A desired state that must not come into force."""


class _Route(msgspec.Struct, rename='camel'):
    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: int = 0
    # What the objective allows beyond the stretched chain of work.
    slo_ms: float = 0
    priority: int = 0
    # Runs of one task that may fail.
    attempts: int = 1
    stretch: float = 1


class _Service(msgspec.Struct, rename='camel'):
    name: str


class _Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: int = 0
    max_body_bytes: int = 0


class _State(msgspec.Struct, rename='camel'):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits = msgspec.field(default_factory=_Limits)


@dataclass(frozen=True, slots=True)
class Queue:
    """Where jobs of a queue are submitted, and its terms."""

    host: str
    prefix: str
    terms: QueueTerms


@dataclass(frozen=True, slots=True)
class DesiredState:
    """What the operator wants.

    Args:
        version: Its version.
        queues: Queues, those with the longest prefix first.
        max_header_bytes: Largest head of a request; 0 for no bound.
        max_body_bytes: Largest body of a request; 0 for no bound.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    max_header_bytes: int = 0
    max_body_bytes: int = 0

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Give the queue that a request is for."""
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                return queue
        return None


#: What an entry holds before it was told anything.
NO_STATE: Final = DesiredState(0)


def canonical_body(body: bytes) -> bytes:
    """Give the one form of a JSON document that is stored and compared.

    Raises:
        InvalidState: It is no JSON document.
    """
    try:
        plain: Any = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidState(str(error)) from error
    text = json.dumps(plain, sort_keys=True, separators=(',', ':'))
    return text.encode()


def decode_state(body: bytes) -> DesiredState:
    """Decode a desired state and check it.

    Raises:
        InvalidState: It can't be read in full, or contradicts itself.
    """
    try:
        found = msgspec.json.decode(body, type=_State)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidState(str(error)) from error
    if found.version <= 0:
        raise InvalidState(f'version {found.version}')
    services = {service.name for service in found.services}
    places: set[tuple[str, str]] = set()
    for each in found.routes:
        _check_route(each, services, places)
        places.add((each.host, each.path_prefix))
    queues = sorted(
        (_make_queue(route) for route in found.routes),
        key=lambda queue: -len(queue.prefix),
    )
    return DesiredState(
        version=found.version,
        queues=tuple(queues),
        max_header_bytes=found.limits.max_header_bytes,
        max_body_bytes=found.limits.max_body_bytes,
    )


def _check_route(
    route: _Route,
    services: set[str],
    places: set[tuple[str, str]],
) -> None:
    if route.service not in services:
        raise InvalidState(f'route {route.name}: unknown service')
    if (route.host, route.path_prefix) in places:
        raise InvalidState(f'route {route.name}: host and prefix are taken')
    if route.timeout_ms <= 0:
        raise InvalidState(f'route {route.name}: no time-out')


def _make_queue(route: _Route) -> Queue:
    terms = QueueTerms(
        name=route.name,
        service=route.service,
        priority=route.priority,
        attempts=max(1, route.attempts),
        stretch=route.stretch or 1,
        slack=route.slo_ms / _MS,
    )
    return Queue(host=route.host, prefix=route.path_prefix, terms=terms)
