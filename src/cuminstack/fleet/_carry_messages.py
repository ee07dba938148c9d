"""What a dispatcher and the instances that carry its orders tell each other."""

from dataclasses import dataclass
from typing import Final

from cuminstack.pool import EndpointView, Hold, Refusal, StartRun, StopRun
from cuminstack.wire import message

#: Age, in seconds, of the newest clock of a carrier that its dispatcher had
#: heard of, from which orders are not carried: they were held up in a link
#: that was cut.  A dispatcher that is only late must not lose its orders.
CARRY_SECONDS: Final = 1.0


@message('fleet.carry')
@dataclass(frozen=True, slots=True)
class Carry:
    """Orders that the receiver is to carry to endpoints, each with a number.

    Args:
        session: Of the sender's orders; sent back with their answers.
        stamp: Clock of the sender in seconds, sent back too.
        heard: Newest clock of the receiver that the sender has heard of.
        starts: Starts of tasks.
        holds: Holds of endpoints.
        stops: Stops of runs.  They get no answer; the endpoint's next lists
            tell whether they had an effect.
    """

    session: int
    stamp: float
    heard: float = 0
    starts: tuple[tuple[int, StartRun], ...] = ()
    holds: tuple[tuple[int, Hold], ...] = ()
    stops: tuple[StopRun, ...] = ()

    @property
    def has_orders(self) -> bool:
        """Whether there is anything to carry; else it only asks for an echo."""
        return bool(self.starts or self.holds or self.stops)


@message('fleet.carried')
@dataclass(frozen=True, slots=True)
class Carried:
    """What became of orders, by their numbers.

    Args:
        session: Of the orders.
        stamp: Newest stamp of the receiver.
        clock: Clock of the sender in seconds.
        zone: Availability zone of the sender.
        started: Clocks of endpoints, in milliseconds, that began a run.
        refused: Why endpoints refused orders.
        views: What endpoints list.
        unanswered: Why there is no answer.
    """

    session: int
    stamp: float
    clock: float
    zone: str
    started: tuple[tuple[int, int], ...] = ()
    refused: tuple[tuple[int, Refusal], ...] = ()
    views: tuple[tuple[int, EndpointView], ...] = ()
    unanswered: tuple[tuple[int, str], ...] = ()
