"""Messages between a dispatcher and the carriers of its orders."""

from dataclasses import dataclass
from typing import Final

from cuminstack.pool import EndpointView, Hold, Refusal, StartRun, StopRun
from cuminstack.wire import message

#: Maximum age in seconds, when orders arrive, of the carrier's latest clock
#: that the dispatcher knew.  Older orders are dropped: they were delayed in a
#: link that was cut.  A dispatcher that is merely slow must not lose orders.
MAX_CARRY_AGE_SECONDS: Final = 1.0


@message('fleet.carry')
@dataclass(frozen=True, slots=True)
class Carry:
    """Orders that the receiver forwards to endpoints, or an echo request.

    Args:
        session: Identifies the sender's orders; returned with the answers.
        stamp: Clock of the sender in seconds; returned, too.
        heard: Latest clock of the receiver that the sender knows, in
            seconds.
        starts: Starts of tasks, each with the number of the order.
        holds: Holds of endpoints, each with the number of the order.
        stops: Stops of runs.  They get no answer; the endpoint's next list
            of runs shows whether they had an effect.
    """

    session: int
    stamp: float
    heard: float = 0
    starts: tuple[tuple[int, StartRun], ...] = ()
    holds: tuple[tuple[int, Hold], ...] = ()
    stops: tuple[StopRun, ...] = ()

    @property
    def has_orders(self) -> bool:
        """Whether there are orders; without any it is an echo request."""
        return bool(self.starts or self.holds or self.stops)


@message('fleet.carried')
@dataclass(frozen=True, slots=True)
class Carried:
    """Answers to orders, each with the number of the order.

    Args:
        session: Identifies the orders; copied from them.
        stamp: Latest stamp that came from the receiver, in seconds.
        clock: Clock of the sender in seconds.
        zone: Availability zone of the sender.
        started: Starts that succeeded, with the endpoint's clock in
            milliseconds.
        refused: Orders that the endpoint refused, with the reason.
        views: Answers to holds: the runs that the endpoint lists.
        unanswered: Orders without an answer, with the reason.
    """

    session: int
    stamp: float
    clock: float
    zone: str
    started: tuple[tuple[int, int], ...] = ()
    refused: tuple[tuple[int, Refusal], ...] = ()
    views: tuple[tuple[int, EndpointView], ...] = ()
    unanswered: tuple[tuple[int, str], ...] = ()
