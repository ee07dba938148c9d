"""Claimant and claim replica of one instance."""

from cuminstack.claims._attempt import ClaimTimeouts
from cuminstack.claims._client import ClaimClient
from cuminstack.claims._client import Effect as ClaimEffect
from cuminstack.claims._lease_messages import LeaseVote
from cuminstack.claims._leaseholder import Effect as LeaseEffect
from cuminstack.claims._leaseholder import LeaseClient, LeaseTiming
from cuminstack.claims._replica import ClaimReplica
from cuminstack.claims._store import Limits
from cuminstack.claims._view import ClaimView
from cuminstack.core import Instance, InstanceId, JobId, Send

Effect = ClaimEffect | LeaseEffect
Effects = tuple[Effect, ...]


class Claims:
    """Claimant and replica that share an instance and its messages.

    Messages between the two are handled in the same call, without the network.

    Args:
        own: This instance, with its current incarnation.
        view: The configured instances.
        limits: Lifetime and maximum numbers of the claims held here.
        timeouts: Delays and timeouts of a claimant.
        timing: Durations of leases on idempotent jobs.
        now: Time of the start, in seconds.
    """

    def __init__(
        self,
        own: Instance,
        view: ClaimView,
        *,
        limits: Limits | None = None,
        timeouts: ClaimTimeouts | None = None,
        timing: LeaseTiming | None = None,
        now: float,
    ) -> None:
        limits = Limits() if limits is None else limits
        self._own = own.instance
        self._replica = ClaimReplica(own, view, limits=limits, now=now)
        self._client = ClaimClient(
            own,
            view,
            timeouts=timeouts,
            lifetime=limits.lifetime,
        )
        self._leases = LeaseClient(own, view, timing=timing)

    def __len__(self) -> int:
        return len(self._replica)

    @property
    def votes_on_all_jobs(self) -> bool:
        """Whether the local replica votes on every job."""
        return self._replica.votes_on_all_jobs

    def assume_fresh(self) -> None:
        """See `ClaimReplica.assume_fresh`."""
        self._replica.assume_fresh()

    def claim(
        self,
        job: JobId,
        body_digest: bytes,
        *,
        now: float,
    ) -> Effects:
        """See `ClaimClient.claim`."""
        effects = self._client.claim(job, body_digest, now=now)
        return self._loop_back(effects, now)

    def lease(
        self,
        job: JobId,
        body_digest: bytes,
        *,
        now: float,
    ) -> Effects:
        """Request a lease on an idempotent job; see `LeaseClient.acquire`.

        The job may start before the lease is granted.
        """
        effects = self._leases.acquire(job, body_digest, now=now)
        return self._loop_back(effects, now)

    def holds_lease(self, job: JobId, *, now: float) -> bool:
        """See `LeaseClient.holds`."""
        return self._leases.holds(job, now=now)

    def release_lease(self, job: JobId) -> None:
        """See `LeaseClient.release`."""
        self._leases.release(job)

    def cancel(self, job: JobId, *, now: float) -> Effects:
        """See `ClaimClient.cancel`."""
        return self._client.cancel(job, now=now)

    def stop_batching(self) -> None:
        """See `ClaimClient.stop_batching`."""
        self._client.stop_batching()

    def record_outcome(self, job: JobId, outcome: bytes) -> None:
        """Record the outcome of a job that was claimed or leased here."""
        self._client.record_outcome(job, outcome)
        settled = self._leases.settle(job, outcome)
        if settled is not None:
            self._client.settle(settled)

    def receive(
        self,
        sender: InstanceId,
        message: object,
        *,
        now: float,
    ) -> Effects:
        """Handle a message from a peer."""
        return self._loop_back(self._dispatch(sender, message, now), now)

    def tick(self, *, now: float) -> Effects:
        """Process timers; must be called at least every 50 ms."""
        effects = (
            *self._replica.tick(now=now),
            *self._client.tick(now=now),
            *self._leases.tick(now=now),
        )
        return self._loop_back(effects, now)

    def _dispatch(
        self,
        sender: InstanceId,
        message: object,
        now: float,
    ) -> Effects:
        if isinstance(message, LeaseVote):
            return self._leases.receive(sender, message, now=now)
        return (
            *self._replica.receive(sender, message, now=now),
            *self._client.receive(sender, message, now=now),
        )

    def _loop_back(self, effects: Effects, now: float) -> Effects:
        queue = list(effects)
        external: list[Effect] = []
        while queue:
            effect = queue.pop(0)
            if isinstance(effect, Send) and effect.to == self._own:
                queue += self._dispatch(self._own, effect.message, now)
            else:
                external.append(effect)
        return tuple(external)
