"""Orders to endpoints, and the answers of endpoints."""

import enum
from dataclasses import dataclass

from cuminstack.core import EndpointId
from cuminstack.pool._records import RunKey


class EndKind(enum.Enum):
    """How a run ended, as its endpoint reports it."""

    done = 'done'
    failed = 'failed'
    stopped = 'stopped'
    lapsed = 'lapsed'
    broken = 'broken'
    alone = 'alone'


@dataclass(frozen=True, slots=True)
class RunProgress:
    """A run that an endpoint lists as running; `percent` is 0 to 100."""

    run: RunKey
    percent: float


@dataclass(frozen=True, slots=True)
class RunEnd:
    """An ended run, which its endpoint lists until the end is acknowledged."""

    number: int
    run: RunKey
    kind: EndKind


@dataclass(frozen=True, slots=True)
class EndpointView:
    """Answer of an endpoint to a hold.

    Args:
        lifetime: Start time of the endpoint in Unix milliseconds; 0 if the
            endpoint does not report it.
        clock_ms: Reading of its monotonic clock.
        running: All runs that are running there.
        ends: Ends above the acknowledged number, in ascending order.
    """

    lifetime: int
    clock_ms: int
    running: tuple[RunProgress, ...]
    ends: tuple[RunEnd, ...]


class Refusal(enum.Enum):
    """Reason why an endpoint refused an order, which had no effect.

    Attributes:
        fenced: The endpoint has obeyed a newer fencing token.
        outdated: The number of the run is not above those of earlier runs.
        late: The expiry of the order has passed.
        room: The endpoint lacks the resources.
        unhealthy: The endpoint is overloaded or unavailable.
        other_lifetime: The order was meant for another lifetime.
        invalid: The order is malformed, or the reason is unknown.
        unreachable: The connection was refused.
    """

    fenced = 'fenced'
    outdated = 'outdated'
    late = 'late'
    room = 'room'
    unhealthy = 'unhealthy'
    other_lifetime = 'other_lifetime'
    invalid = 'invalid'
    unreachable = 'unreachable'


@dataclass(frozen=True, slots=True)
class StartRun:
    """Order to start a run of a task at an endpoint."""

    endpoint: EndpointId
    address: str
    run: RunKey
    payload: str
    token: int
    expires_ms: int


@dataclass(frozen=True, slots=True)
class StopRun:
    """Order to stop a run at an endpoint."""

    endpoint: EndpointId
    address: str
    run: RunKey
    token: int


@dataclass(frozen=True, slots=True)
class Hold:
    """Order to renew the lease on the runs of an endpoint and to list them.

    Args:
        endpoint: The endpoint that is asked.
        address: Its network address.
        number: Serial number of the hold; increases with each hold of this
            dispatcher.
        token: Fencing token; orders with lower tokens are void once the hold
            is answered.
        last_end: Highest end number that is acknowledged; the endpoint discards
            ends up to it.
        expires_ms: Expiry of the lease on the endpoint's clock; None leaves the
            lease unchanged.
        wait_ms: Longest time that the endpoint may delay its answer until a run
            ends (long polling).
        fresh: Whether to send it over a new connection.
    """

    endpoint: EndpointId
    address: str
    number: int
    token: int
    last_end: int
    expires_ms: int | None
    wait_ms: int
    fresh: bool = False


@dataclass(frozen=True, slots=True)
class Started:
    """A run exists at its endpoint; `clock_ms` is the endpoint's clock."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """An endpoint refused an order, which had no effect."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """An order got no answer; it may have taken effect, or may do so later."""

    reason: str
