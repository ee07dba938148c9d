"""The operator's desired state: routes, services and request limits."""

import json
from dataclasses import dataclass
from typing import Annotated, Any, Final

import msgspec

from cuminstack.listeners import RequestLimits
from cuminstack.platform._numbers import Milliseconds, Serial, Timestamp
from cuminstack.pool import QueueTerms

_MS_PER_SECOND: Final = 1000.0
#: Largest factor on the critical path of a job in its objective.
_MAX_STRETCH: Final = 1.0e6


class InvalidState(Exception):
    """A desired state is malformed or contradicts itself."""


class Route(msgspec.Struct, rename='camel'):
    name: str
    host: str
    path_prefix: str
    service: str
    timeout_ms: Timestamp = 0
    # Slack of the response-time objective, on top of the job's critical path
    # times `stretch`.
    slo_ms: Milliseconds = 0
    priority: Serial = 0
    # Number of runs of one task that may fail.
    attempts: Serial = 1
    stretch: Annotated[float, msgspec.Meta(ge=0, le=_MAX_STRETCH)] = 1


class Service(msgspec.Struct, rename='camel'):
    name: str


class Limits(msgspec.Struct, rename='camel'):
    max_header_bytes: Serial = 0
    max_body_bytes: Serial = 0
    header_timeout_ms: Milliseconds = 0
    idle_timeout_ms: Milliseconds = 0


class _State(msgspec.Struct, rename='camel'):
    version: Timestamp
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: Limits = msgspec.field(default_factory=Limits)


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue, and the requests that submit jobs to it.

    Args:
        host: `Host` header of these requests.
        prefix: Prefix of their path; the job key follows it.
        terms: Service, priority and objective of its jobs.
    """

    host: str
    prefix: str
    terms: QueueTerms


@dataclass(frozen=True, slots=True)
class DesiredState:
    """The configuration that an operator has submitted.

    Args:
        version: Version of the configuration; 0 before the first one.
        queues: All queues, those with the longest prefix first.
        max_header_bytes: Largest total size of request headers; 0 for no
            limit.
        max_body_bytes: Largest size of a request body; 0 for no limit.
        request_limits: What the listener for callers must allow.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    max_header_bytes: int = 0
    max_body_bytes: int = 0
    request_limits: RequestLimits = RequestLimits()

    def find_queue(self, host: str, path: str) -> Queue | None:
        """Return the queue that a request addresses.

        Args:
            host: `Host` header of the request.
            path: Path of the request.

        Returns:
            The queue with the longest matching prefix; None if there is none.
        """
        for queue in self.queues:
            if queue.host == host and path.startswith(queue.prefix):
                return queue
        return None


#: Placeholder until an entry receives its first desired state.
NO_STATE: Final = DesiredState(0)


def canonical_body(body: bytes) -> bytes:
    """Return a JSON document in canonical form, which is stored and compared.

    Args:
        body: The document in any formatting, with keys in any order.

    Returns:
        The document with sorted keys and without whitespace.

    Raises:
        InvalidState: The body isn't JSON.
    """
    try:
        document: Any = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise InvalidState(str(error)) from error
    text = json.dumps(document, sort_keys=True, separators=(',', ':'))
    return text.encode()


def decode_state(body: bytes) -> DesiredState:
    """Decode and validate a desired state.

    Raises:
        InvalidState: The body is malformed, or the state contradicts itself.
    """
    try:
        decoded = msgspec.json.decode(body, type=_State)
    except (msgspec.DecodeError, RecursionError) as error:
        raise InvalidState(str(error)) from error
    if decoded.version <= 0:
        raise InvalidState(f'version must be positive, not {decoded.version}')
    services = {service.name for service in decoded.services}
    host_prefixes: set[tuple[str, str]] = set()
    for each in decoded.routes:
        _check_route(each, services, host_prefixes)
        host_prefixes.add((each.host, each.path_prefix))
    queues = sorted(
        (_make_queue(route) for route in decoded.routes),
        key=lambda queue: -len(queue.prefix),
    )
    return DesiredState(
        version=decoded.version,
        queues=tuple(queues),
        max_header_bytes=decoded.limits.max_header_bytes,
        max_body_bytes=decoded.limits.max_body_bytes,
        request_limits=RequestLimits(
            header_bytes=decoded.limits.max_header_bytes,
            header_seconds=decoded.limits.header_timeout_ms / _MS_PER_SECOND,
            body_seconds=decoded.limits.idle_timeout_ms / _MS_PER_SECOND,
        ),
    )


def _check_route(
    route: Route,
    services: set[str],
    host_prefixes: set[tuple[str, str]],
) -> None:
    if route.service not in services:
        raise InvalidState(f'route {route.name}: service is not declared')
    if (route.host, route.path_prefix) in host_prefixes:
        raise InvalidState(
            f'route {route.name}: host and path prefix are already in use',
        )
    if route.timeout_ms <= 0:
        raise InvalidState(f'route {route.name}: timeoutMs must be positive')


def _make_queue(route: Route) -> Queue:
    terms = QueueTerms(
        name=route.name,
        service=route.service,
        priority=route.priority,
        attempts=max(1, route.attempts),
        stretch=route.stretch or 1,
        slack=route.slo_ms / _MS_PER_SECOND,
    )
    return Queue(host=route.host, prefix=route.path_prefix, terms=terms)
