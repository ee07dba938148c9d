"""When an endpoint is asked what runs there, and with which token.

An order without an answer may be carried out seconds later.  So it is voided
at once: a hold with a higher token on a fresh connection makes the endpoint
refuse it, and tells what runs.  Where that gets no answer either, the lease
is not renewed, and what was ordered counts as ended once the endpoint's
clock has surely passed it.
"""

import math
from collections.abc import Iterator
from typing import Final

from cuminstack.pool._effects import Effect, Noted
from cuminstack.pool._endpoint import Endpoint, Phase, Run
from cuminstack.pool._exchange import Hold, StopRun
from cuminstack.pool._notes import list_jobs
from cuminstack.pool._records import RunKey
from cuminstack.pool._tokens import TokenSource

#: Lease of what runs at an endpoint, in seconds.  It takes about as long to
#: choose another dispatcher; a longer lease would let it claim more of what
#: runs, but tasks at a silent endpoint wait for its end.
LEASE_SECONDS: Final = 0.48
#: How long a hold waits for an end, in milliseconds: four to a lease.
_WAIT_MS: Final = 120
#: Answers take 1 to 3 ms; an order that has none by now is voided.
_ORDER_PATIENCE: Final = 0.06
#: The same for a hold, beyond the time that it waits.
_HOLD_PATIENCE: Final = 0.08
#: Longest pause between holds that get no answer, in seconds.
_LONGEST_PAUSE: Final = 2.0
#: Doublings of the pause until it is the longest.
_MOST_DOUBLINGS: Final = 5
#: Seconds that an end may stay unacknowledged at an idle endpoint.
_END_SECONDS: Final = 0.03
#: Seconds after which a stop that had no effect is sent again.
_STOP_AGAIN: Final = 0.15
_MS: Final = 1000.0


class EndpointWatch:
    """Keeps the leases of endpoints and voids orders without an answer.

    Args:
        term: Number of the dispatcher's term.
        instance: Number of its instance.
    """

    def __init__(self, *, term: int, instance: int) -> None:
        self._instance = instance
        self._holds = 0
        self.tokens = TokenSource(term=term, instance=instance)

    def begin_term(self, term: int) -> None:
        """Give tokens of a later term from now on."""
        self.tokens = TokenSource(term=term, instance=self._instance)

    def tend(self, endpoint: Endpoint, *, now: float) -> Iterator[Effect]:
        """Do what is due at one endpoint."""
        if endpoint.phase is Phase.ready:
            yield from self._stop_again(endpoint, now)
        hold = self._next_hold(endpoint, now)
        if hold is not None:
            yield hold

    def void(
        self,
        endpoint: Endpoint,
        cause: str,
        *,
        now: float,
    ) -> Iterator[Effect]:
        """Void all orders that an endpoint has not answered."""
        endpoint.fence(self.tokens.take(), Phase.voiding)
        yield Noted(
            'endpoint.orders_voided',
            (
                ('endpoint', endpoint.report.endpoint),
                ('cause', cause),
                ('token', endpoint.token),
                ('runs', len(endpoint.runs)),
                ('jobs', list_jobs(endpoint.runs)),
            ),
        )
        hold = self._next_hold(endpoint, now)
        if hold is not None:
            yield hold

    def due_at(self, endpoint: Endpoint) -> float:
        """Tell when something has to be done at one endpoint.

        Gives:
            A time that has passed if that is now; infinity if never.
        """
        if endpoint.phase is Phase.ready:
            dues = [self._run_due_at(run) for run in endpoint.runs.values()]
            return min(self._hold_due_at(endpoint), *dues, math.inf)
        if endpoint.hold is None:
            return 0
        again = endpoint.hold_sent_at + self._pause(endpoint)
        if endpoint.phase is Phase.voiding:
            return min(again, endpoint.lapses_at)
        return again

    def excuse(
        self,
        endpoint: Endpoint,
        seconds: float,
        *,
        now: float,
    ) -> None:
        """Leave out a time in which no answer of an endpoint was read."""
        endpoint.hold_sent_at = min(endpoint.hold_sent_at + seconds, now)
        for run in endpoint.runs.values():
            if run.confirmed_at is None:
                run.excused = min(run.excused + seconds, now - run.sent_at)

    def void_overdue(
        self,
        endpoint: Endpoint,
        *,
        now: float,
    ) -> Iterator[Effect]:
        """Void the orders of an endpoint that leaves one unanswered."""
        if endpoint.phase is not Phase.ready:
            return
        if self._is_hold_overdue(endpoint, now):
            yield from self.void(endpoint, 'hold', now=now)
            return
        overdue = any(
            run.confirmed_at is None
            and now - run.sent_at - run.excused > _ORDER_PATIENCE
            for run in endpoint.runs.values()
        )
        if overdue:
            yield from self.void(endpoint, 'start', now=now)

    def _stop_again(self, endpoint: Endpoint, now: float) -> Iterator[Effect]:
        for run in endpoint.runs.values():
            stopped = run.stopping_at
            if stopped is not None and now - stopped > _STOP_AGAIN:
                run.stopping_at = now
                yield self._stop(endpoint, run.key)

    def _next_hold(self, endpoint: Endpoint, now: float) -> Hold | None:
        if endpoint.phase is Phase.ready:
            return self._ready_hold(endpoint, now)
        waited = now - endpoint.hold_sent_at
        if endpoint.hold is not None and waited < self._pause(endpoint):
            return None
        if endpoint.hold is not None:
            endpoint.silences += 1
        return self._make_hold(endpoint, now, fresh=True)

    def _pause(self, endpoint: Endpoint) -> float:
        """Give the seconds between holds that get no answer."""
        doublings = min(endpoint.silences, _MOST_DOUBLINGS)
        return min(math.ldexp(_HOLD_PATIENCE, doublings), _LONGEST_PAUSE)

    def _hold_due_at(self, endpoint: Endpoint) -> float:
        """Tell when a hold of a ready endpoint is due, or overdue."""
        if endpoint.hold is not None:
            wait = endpoint.hold.wait_ms / _MS
            return endpoint.hold_sent_at + wait + _HOLD_PATIENCE
        if endpoint.strangers or endpoint.runs:
            return 0
        if endpoint.life.last_end > endpoint.life.acknowledged_end:
            return endpoint.hold_sent_at + _END_SECONDS
        return math.inf

    def _run_due_at(self, run: Run) -> float:
        """Tell when a start is overdue, or a stop has to be sent again."""
        dues = [math.inf]
        if run.confirmed_at is None:
            dues.append(run.sent_at + run.excused + _ORDER_PATIENCE)
        if run.stopping_at is not None:
            dues.append(run.stopping_at + _STOP_AGAIN)
        return min(dues)

    def _ready_hold(self, endpoint: Endpoint, now: float) -> Hold | None:
        if endpoint.hold is not None:
            return None
        if endpoint.strangers:
            # Whoever started them may count on the lease to end.
            return self._make_hold(endpoint, now, wait_ms=_WAIT_MS)
        if endpoint.runs:
            expiry = endpoint.life.clock.expiry_after(LEASE_SECONDS, now=now)
            endpoint.life.longest_expiry = max(
                endpoint.life.longest_expiry, expiry
            )
            return self._make_hold(
                endpoint,
                now,
                expires_ms=expiry,
                wait_ms=_WAIT_MS,
            )
        unacknowledged = endpoint.life.last_end > endpoint.life.acknowledged_end
        if unacknowledged and now - endpoint.hold_sent_at > _END_SECONDS:
            return self._make_hold(endpoint, now)
        return None

    def _make_hold(
        self,
        endpoint: Endpoint,
        now: float,
        *,
        expires_ms: int | None = None,
        wait_ms: int = 0,
        fresh: bool = False,
    ) -> Hold:
        self._holds += 1
        hold = Hold(
            endpoint=endpoint.report.endpoint,
            address=endpoint.report.address,
            number=self._holds,
            token=endpoint.token,
            last_end=endpoint.life.last_end,
            expires_ms=expires_ms,
            wait_ms=wait_ms,
            fresh=fresh,
        )
        endpoint.hold = hold
        endpoint.hold_sent_at = now
        return hold

    def _is_hold_overdue(self, endpoint: Endpoint, now: float) -> bool:
        if endpoint.hold is None:
            return False
        waited = now - endpoint.hold_sent_at
        return waited > endpoint.hold.wait_ms / _MS + _HOLD_PATIENCE

    def _stop(self, endpoint: Endpoint, key: RunKey) -> StopRun:
        return StopRun(
            endpoint=endpoint.report.endpoint,
            address=endpoint.report.address,
            run=key,
            token=endpoint.token,
        )
