"""Both sides of claims in one instance."""

from cuminstack.claims._attempt import Patience
from cuminstack.claims._client import ClaimClient
from cuminstack.claims._client import Effect as ClaimEffect
from cuminstack.claims._lease_messages import LeaseVote
from cuminstack.claims._leaseholder import Effect as LeaseEffect
from cuminstack.claims._leaseholder import LeaseClient, LeaseTerms
from cuminstack.claims._replica import ClaimReplica
from cuminstack.claims._store import Limits
from cuminstack.claims._view import ClaimView
from cuminstack.core import Instance, InstanceId, JobId, Send

Effect = ClaimEffect | LeaseEffect
Effects = tuple[Effect, ...]


class Claims:
    """A claimant and a replica that share an instance and its messages.

    What one sends to the other needs no network and is handled at once.

    Args:
        own: This instance, with its live incarnation.
        view: The configured instances.
        limits: Lifetime and bounds of the claims held here.
        patience: Waits of a claimant.
        terms: Times of leases on idempotent jobs.
        now: The time of the start, in seconds.
    """

    def __init__(
        self,
        own: Instance,
        view: ClaimView,
        *,
        limits: Limits | None = None,
        patience: Patience | None = None,
        terms: LeaseTerms | None = None,
        now: float,
    ) -> None:
        limits = Limits() if limits is None else limits
        self._own = own.instance
        self._replica = ClaimReplica(own, view, limits=limits, now=now)
        self._client = ClaimClient(
            own,
            view,
            patience=patience,
            lifetime=limits.lifetime,
        )
        self._leases = LeaseClient(own, view, terms=terms)

    def __len__(self) -> int:
        return len(self._replica)

    @property
    def is_whole(self) -> bool:
        """Whether the replica here votes on every job."""
        return self._replica.is_whole

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
        """Ask for a lease on an idempotent job; see `LeaseClient.ask`.

        The job may be started without waiting for it.
        """
        effects = self._leases.ask(job, body_digest, now=now)
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

    def stop_collecting(self) -> None:
        """See `ClaimClient.stop_collecting`."""
        self._client.stop_collecting()

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
        """Take a message of a peer."""
        return self._loop_back(self._dispatch(sender, message, now), now)

    def tick(self, *, now: float) -> Effects:
        """Do what is due; call it at least every 50 ms."""
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
        outward: list[Effect] = []
        while queue:
            effect = queue.pop(0)
            if isinstance(effect, Send) and effect.to == self._own:
                queue += self._dispatch(self._own, effect.message, now)
            else:
                outward.append(effect)
        return tuple(outward)
