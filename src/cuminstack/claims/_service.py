"""Both sides of claims in one instance."""

from cuminstack.claims._attempt import Patience
from cuminstack.claims._client import ClaimClient, Effect, Effects
from cuminstack.claims._replica import ClaimReplica
from cuminstack.claims._store import Limits
from cuminstack.claims._view import ClaimView
from cuminstack.core import Instance, InstanceId, JobId, Send


class Claims:
    """A claimant and a replica that share an instance and its messages.

    What one sends to the other needs no network and is handled at once.

    Args:
        own: This instance, with its live incarnation.
        view: The configured instances.
        limits: Lifetime and bounds of the claims held here.
        patience: Waits of a claimant.
        now: The time of the start, in seconds.
    """

    def __init__(
        self,
        own: Instance,
        view: ClaimView,
        *,
        limits: Limits | None = None,
        patience: Patience | None = None,
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

    def cancel(self, job: JobId, *, now: float) -> Effects:
        """See `ClaimClient.cancel`."""
        return self._client.cancel(job, now=now)

    def record_outcome(self, job: JobId, outcome: bytes) -> None:
        """See `ClaimClient.record_outcome`."""
        self._client.record_outcome(job, outcome)

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
        asked = self._replica.tick(now=now)
        return self._loop_back((*asked, *self._client.tick(now=now)), now)

    def _dispatch(
        self,
        sender: InstanceId,
        message: object,
        now: float,
    ) -> Effects:
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
