"""Lease renewal and voiding of unanswered orders at endpoints.

An order without an answer may still be carried out seconds later, so it is
voided at once: a hold with a higher fencing token, sent over a fresh
connection, makes the endpoint refuse the order and report its runs.  If that
hold gets no answer either, the lease is not renewed, and all ordered runs
count as ended once the endpoint's clock has certainly passed their expiry.
"""

import math
from collections.abc import Iterator
from typing import Final

from cuminstack.pool._effects import Effect, LogEvent
from cuminstack.pool._endpoint import Endpoint, Phase, Run
from cuminstack.pool._exchange import Hold, StopRun
from cuminstack.pool._notes import list_jobs
from cuminstack.pool._records import RunKey
from cuminstack.pool._tokens import TokenSource

#: Lease of the runs at an endpoint, in seconds.  It takes about as long to
#: elect another dispatcher; a longer lease would let the new dispatcher claim
#: more runs, but tasks at a silent endpoint wait until the lease has expired.
LEASE_SECONDS: Final = 0.48
#: Longest time that an endpoint delays its answer to a hold until a run ends,
#: in milliseconds: four holds per lease.
_HOLD_WAIT_MS: Final = 120
#: Seconds after which an unanswered start is voided; answers take 1 to 3 ms.
_START_TIMEOUT_SECONDS: Final = 0.06
#: Seconds after which an unanswered hold counts as overdue, in addition to its
#: own wait.
_HOLD_TIMEOUT_SECONDS: Final = 0.08
#: Longest interval between holds that get no answer, in seconds.
_MAX_RETRY_SECONDS: Final = 2.0
#: Doublings of the interval until it is the longest.
_MAX_DOUBLINGS: Final = 5
#: Seconds for which an end may stay unacknowledged at an idle endpoint.
_MAX_UNACKNOWLEDGED_SECONDS: Final = 0.03
#: Seconds after which a stop that had no effect is sent again.
_STOP_RETRY_SECONDS: Final = 0.15
_MS: Final = 1000.0


class EndpointWatch:
    """Renews the leases of endpoints and voids unanswered orders.

    Args:
        term: Number of the dispatcher's term.
        instance: Number of its instance.
    """

    def __init__(self, *, term: int, instance: int) -> None:
        self._instance = instance
        self._holds = 0
        self.tokens = TokenSource(term=term, instance=instance)

    def begin_term(self, term: int) -> None:
        """Issue fencing tokens of a later term from now on."""
        self.tokens = TokenSource(term=term, instance=self._instance)

    def send_due_orders(
        self, endpoint: Endpoint, *, now: float
    ) -> Iterator[Effect]:
        """Yield the orders that are due at an endpoint."""
        if endpoint.phase is Phase.ready:
            yield from self._resend_stops(endpoint, now)
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
        """Void all orders that an endpoint has not answered.

        Args:
            endpoint: The endpoint.
            cause: Cause, for the log.
            now: Current time in seconds.

        Yields:
            A log event, and a hold with a new fencing token.
        """
        endpoint.fence(self.tokens.issue(), Phase.voiding)
        yield LogEvent(
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

    def request_listing(self, endpoint: Endpoint, *, now: float) -> Hold:
        """Return a hold with a new token, which voids all earlier orders.

        Unlike `void`, it needs no new connection, as no answer is overdue.
        """
        endpoint.fence(self.tokens.issue(), Phase.voiding)
        return self._make_hold(endpoint, now)

    def due_at(self, endpoint: Endpoint) -> float:
        """Return the time of the next action at an endpoint.

        Returns:
            The time; in the past if an action is due now, infinity if none is
            pending.
        """
        if endpoint.phase is Phase.ready:
            due_times = [
                self._run_due_at(run) for run in endpoint.runs.values()
            ]
            return min(self._hold_due_at(endpoint), *due_times, math.inf)
        if endpoint.hold is None:
            return 0
        retry_at = endpoint.hold_sent_at + self._retry_interval(endpoint)
        if endpoint.phase is Phase.voiding:
            return min(retry_at, endpoint.leases_end_at)
        return retry_at

    def discount_stall(
        self,
        endpoint: Endpoint,
        seconds: float,
        *,
        now: float,
    ) -> None:
        """Extend timeouts by a stall of this process, which read no answers.

        Args:
            endpoint: The endpoint.
            seconds: Length of the stall.
            now: Current time in seconds.
        """
        endpoint.hold_sent_at = min(endpoint.hold_sent_at + seconds, now)
        for run in endpoint.runs.values():
            if run.confirmed_at is None:
                run.stalled_seconds = min(
                    run.stalled_seconds + seconds, now - run.sent_at
                )

    def void_overdue(
        self,
        endpoint: Endpoint,
        *,
        now: float,
    ) -> Iterator[Effect]:
        """Void the orders of a ready endpoint if an answer is overdue."""
        if endpoint.phase is not Phase.ready:
            return
        if self._is_hold_overdue(endpoint, now):
            yield from self.void(endpoint, 'hold', now=now)
            return
        overdue = any(
            run.confirmed_at is None
            and now - run.sent_at - run.stalled_seconds > _START_TIMEOUT_SECONDS
            for run in endpoint.runs.values()
        )
        if overdue:
            yield from self.void(endpoint, 'start', now=now)

    def _resend_stops(self, endpoint: Endpoint, now: float) -> Iterator[Effect]:
        for run in endpoint.runs.values():
            sent_at = run.stop_sent_at
            if sent_at is not None and now - sent_at > _STOP_RETRY_SECONDS:
                run.stop_sent_at = now
                yield self._stop(endpoint, run.key)

    def _next_hold(self, endpoint: Endpoint, now: float) -> Hold | None:
        if endpoint.phase is Phase.ready:
            return self._ready_hold(endpoint, now)
        waited = now - endpoint.hold_sent_at
        if endpoint.hold is not None and waited < self._retry_interval(
            endpoint
        ):
            return None
        if endpoint.hold is not None:
            endpoint.unanswered_holds += 1
        return self._make_hold(endpoint, now, fresh=True)

    def _retry_interval(self, endpoint: Endpoint) -> float:
        """Return the seconds between holds that get no answer."""
        doublings = min(endpoint.unanswered_holds, _MAX_DOUBLINGS)
        return min(
            math.ldexp(_HOLD_TIMEOUT_SECONDS, doublings), _MAX_RETRY_SECONDS
        )

    def _hold_due_at(self, endpoint: Endpoint) -> float:
        """Return the time at which a hold is due or, if sent, overdue."""
        if endpoint.hold is not None:
            wait = endpoint.hold.wait_ms / _MS
            return endpoint.hold_sent_at + wait + _HOLD_TIMEOUT_SECONDS
        if endpoint.foreign_runs or endpoint.runs:
            return 0
        if endpoint.lifetime.last_end > endpoint.lifetime.acknowledged_end:
            return endpoint.hold_sent_at + _MAX_UNACKNOWLEDGED_SECONDS
        return math.inf

    def _run_due_at(self, run: Run) -> float:
        """Return the time at which a start is overdue or a stop is resent."""
        due_times = [math.inf]
        if run.confirmed_at is None:
            due_times.append(
                run.sent_at + run.stalled_seconds + _START_TIMEOUT_SECONDS
            )
        if run.stop_sent_at is not None:
            due_times.append(run.stop_sent_at + _STOP_RETRY_SECONDS)
        return min(due_times)

    def _ready_hold(self, endpoint: Endpoint, now: float) -> Hold | None:
        if endpoint.hold is not None:
            return None
        if endpoint.foreign_runs:
            # The lease is not renewed, as the dispatcher that started these
            # runs may rely on its expiry.
            return self._make_hold(endpoint, now, wait_ms=_HOLD_WAIT_MS)
        if endpoint.runs:
            return self._make_hold(
                endpoint,
                now,
                expires_ms=endpoint.lifetime.renew_lease(
                    LEASE_SECONDS, now=now
                ),
                wait_ms=_HOLD_WAIT_MS,
            )
        unacknowledged = (
            endpoint.lifetime.last_end > endpoint.lifetime.acknowledged_end
        )
        if (
            unacknowledged
            and now - endpoint.hold_sent_at > _MAX_UNACKNOWLEDGED_SECONDS
        ):
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
            last_end=endpoint.lifetime.last_end,
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
        return waited > endpoint.hold.wait_ms / _MS + _HOLD_TIMEOUT_SECONDS

    def _stop(self, endpoint: Endpoint, key: RunKey) -> StopRun:
        return StopRun(
            endpoint=endpoint.report.endpoint,
            address=endpoint.report.address,
            run=key,
            token=endpoint.token,
        )
