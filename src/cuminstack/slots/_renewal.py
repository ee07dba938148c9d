"""Issue, renewal and expiry of leases between holders and owners."""

from collections.abc import Iterable, Sequence
from typing import Final

from cuminstack.core import (
    EndpointId,
    EndpointRecord,
    Instance,
    InstanceId,
    Send,
)
from cuminstack.slots._holdings import Holdings
from cuminstack.slots._ledger import GRACE_SECONDS, LEASE_SECONDS, Ledger
from cuminstack.slots._messages import Claim, Claimed, Grant
from cuminstack.slots._owners import Owners
from cuminstack.slots._policy import Effects
from cuminstack.slots._slot_lease import SlotLease, pack, unpack

#: Interval between two claims, in seconds.
_RENEW_INTERVAL_SECONDS: Final = 4
#: The same, shortly after a change of the membership view, in seconds.
_FAST_INTERVAL_SECONDS: Final = GRACE_SECONDS / 4
#: Maximum number of claims that await a reply.
_MAX_PENDING: Final = 8


class LeaseRenewal:
    """Synchronizes the leases of an instance with the owners' ledgers.

    Args:
        own: The local instance.
        holdings: The leases that it holds.
    """

    def __init__(self, own: Instance, holdings: Holdings) -> None:
        self.owners = Owners(own)
        self.records: dict[EndpointId, EndpointRecord] = {}
        self._own = own.instance
        self._holdings = holdings
        self._ledger = Ledger(own.instance)
        self._serial = 0
        self._sent: dict[int, float] = {}
        self._renewed: dict[InstanceId, float] = {}
        self._next_claim_at: float = 0
        self._fast_until: float = 0

    def observe_instances(
        self,
        alive: Sequence[Instance],
        *,
        now: float,
    ) -> None:
        """Replace the membership view, and update owners and holders."""
        before = self._owner_map()
        lost = set(self.owners.alive)
        self.owners.observe(alive)
        lost.difference_update(self.owners.alive)
        for record in self.records.values():
            self._update_ownership(record, fresh=False, now=now)
        if lost:
            self._claim_own(now)
            self._ledger.expire_lost(self.owners.alive, now=now)
        after = self._owner_map()
        if lost or before != after:
            self._next_claim_at = now
            self._fast_until = now + GRACE_SECONDS
            for owner in set(after.values()) - set(before.values()):
                self._renewed[owner] = now

    def observe_endpoint(
        self,
        record: EndpointRecord,
        *,
        now: float,
    ) -> None:
        """Add or update a record, whose number of slots may have changed."""
        known = record.endpoint in self.records
        self.records[record.endpoint] = record
        fresh = not known and not record.busy
        self._update_ownership(record, fresh=fresh, now=now)
        self._holdings.drop_where(
            lambda lease: (
                lease.endpoint == record.endpoint and lease.slot >= record.slots
            ),
        )

    def forget_endpoint(self, endpoint: EndpointId) -> None:
        """Remove an endpoint, and drop all its leases."""
        self.records.pop(endpoint, None)
        self._ledger.remove_endpoint(endpoint)
        self._holdings.drop_where(lambda lease: lease.endpoint == endpoint)

    def accept(self, leases: Iterable[SlotLease], *, now: float) -> None:
        """Add leases that another instance has transferred."""
        for lease in leases:
            record = self.records.get(lease.endpoint)
            if record is not None and lease.slot < record.slots:
                self._accept(lease, record, now)

    def drop_unrenewed(self, *, now: float) -> None:
        """Drop leases that were not renewed in time."""
        expired = {
            owner
            for owner, renewed in self._renewed.items()
            if now - renewed >= LEASE_SECONDS and owner != self._own
        }
        if expired:
            self._holdings.drop_where(
                lambda lease: self._owner_of(lease) in expired,
            )
            for owner in expired:
                self._renewed.pop(owner)

    def reset(self, *, now: float) -> None:
        """Drop all leases, and await claims on the owned endpoints."""
        self._holdings.drop_where(lambda lease: True)
        self._renewed.clear()
        self._ledger.reset(now=now)

    def tick(self, *, now: float) -> Effects:
        """Reissue expired leases, and claim the held ones when due."""
        self._reissue_expired(now)
        if now < self._next_claim_at:
            return ()
        is_fast = now < self._fast_until
        interval = (
            _FAST_INTERVAL_SECONDS if is_fast else _RENEW_INTERVAL_SECONDS
        )
        self._next_claim_at = now + interval
        self._claim_own(now)
        held = self._leases_by_owner()
        held.pop(self._own, None)
        for idle in set(self._renewed) - set(held):
            self._renewed.pop(idle)
        return tuple(
            self._claim(owner, leases, now) for owner, leases in held.items()
        )

    def answer_claim(
        self,
        sender: InstanceId,
        claim: Claim,
        *,
        now: float,
    ) -> Effects:
        """Record the claim of a holder, and renew its valid leases."""
        leases = unpack(claim.slots)
        void = self._ledger.apply_claim(sender, leases, now=now)
        for lease in set(leases) - set(void):
            known = self._holdings.stamp_of(lease.key)
            if known is not None and known <= lease.stamp:
                self._holdings.drop(lease.key)
        return (Send(sender, Claimed(claim.serial, pack(void))),)

    def handle_claimed(self, owner: InstanceId, claimed: Claimed) -> None:
        """Handle an owner's reply.

        The term of a renewed lease starts when its claim was sent.
        """
        sent = self._sent.pop(claimed.serial, None)
        if sent is not None:
            self._renewed[owner] = max(self._renewed.get(owner, sent), sent)
        for lease in unpack(claimed.dropped):
            if self._holdings.stamp_of(lease.key) == lease.stamp:
                self._holdings.drop(lease.key)

    def return_leases(self, *, include_owned: bool) -> Effects:
        """Send free leases of others' endpoints to their owners.

        Args:
            include_owned: Also send the leases of owned endpoints, to their
                next owners.
        """
        returned: dict[InstanceId, list[SlotLease]] = {}
        for endpoint in self._holdings.open_endpoints:
            record = self.records[endpoint]
            owner: InstanceId | None = self.owners.owner(record)
            if include_owned and owner == self._own:
                owner = self.owners.successor(record)
            if owner is not None and owner != self._own:
                returned.setdefault(owner, []).extend(
                    self._release_free(endpoint)
                )
        return tuple(
            Send(owner, Grant(None, pack(leases)))
            for owner, leases in returned.items()
        )

    def _accept(
        self,
        lease: SlotLease,
        record: EndpointRecord,
        now: float,
    ) -> None:
        self._renewed.setdefault(self.owners.owner(record), now)
        self._holdings.receive(lease)

    def _update_ownership(
        self,
        record: EndpointRecord,
        *,
        fresh: bool,
        now: float,
    ) -> None:
        if self.owners.owner(record) == self._own:
            self._ledger.add_endpoint(record, fresh=fresh, now=now)
            self._reissue_expired(now)
        else:
            self._ledger.remove_endpoint(record.endpoint)

    def _reissue_expired(self, now: float) -> None:
        for lease in self._ledger.reissue(now=now):
            self._holdings.add(lease)

    def _claim_own(self, now: float) -> None:
        leases = self._leases_by_owner().get(self._own, ())
        self._ledger.apply_claim(self._own, leases, now=now)

    def _claim(
        self,
        owner: InstanceId,
        leases: Sequence[SlotLease],
        now: float,
    ) -> Send:
        self._serial += 1
        self._sent[self._serial] = now
        self._sent.pop(self._serial - _MAX_PENDING, None)
        return Send(owner, Claim(self._serial, pack(leases)))

    def _leases_by_owner(self) -> dict[InstanceId, list[SlotLease]]:
        held: dict[InstanceId, list[SlotLease]] = {}
        for lease in self._holdings.leases:
            held.setdefault(self._owner_of(lease), []).append(lease)
        return held

    def _owner_of(self, lease: SlotLease) -> InstanceId:
        return self.owners.owner(self.records[lease.endpoint])

    def _owner_map(self) -> dict[EndpointId, InstanceId]:
        return {
            endpoint: self.owners.owner(record)
            for endpoint, record in self.records.items()
        }

    def _release_free(self, endpoint: EndpointId) -> list[SlotLease]:
        count = self._holdings.free_at(endpoint)
        return [self._holdings.transfer(endpoint) for _ in range(count)]
