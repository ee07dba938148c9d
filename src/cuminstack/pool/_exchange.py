"""Orders to endpoints, and what endpoints answer."""

import enum
from dataclasses import dataclass

from cuminstack.core import EndpointId
from cuminstack.pool._records import RunKey


class EndKind(enum.Enum):
    """How a run ended."""

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
    """An end that an endpoint lists until it is acknowledged."""

    number: int
    run: RunKey
    kind: EndKind


@dataclass(frozen=True, slots=True)
class EndpointView:
    """What an endpoint answers to a hold.

    Args:
        lifetime: Unix milliseconds of its start; 0 if it doesn't tell.
        clock_ms: Its steady clock.
        running: All that runs there.
        ends: Ends above the acknowledged one, the lowest first.
    """

    lifetime: int
    clock_ms: int
    running: tuple[RunProgress, ...]
    ends: tuple[RunEnd, ...]


class Refusal(enum.Enum):
    """Why an endpoint refused an order; it has done nothing."""

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
    """Order to start a task at an endpoint."""

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
    """Order to renew the lease of an endpoint's runs, and to list them.

    Args:
        endpoint: Who is asked.
        address: Where it is reached.
        number: Grows with each hold of this dispatcher.
        token: Orders with lower tokens are void once it is answered.
        last_end: Ends up to this number are forgotten.
        expires_ms: Lease on the endpoint's clock; None leaves it alone.
        wait_ms: How long the answer may wait for an end.
        fresh: Whether to use a new connection.
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
    """The run is at the endpoint; tells the endpoint's steady clock."""

    clock_ms: int


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The order was refused, so that nothing was done."""

    refusal: Refusal


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """The order may have been carried out, or may be later."""

    reason: str
