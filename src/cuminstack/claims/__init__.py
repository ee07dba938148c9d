"""Write-once claims and leases on jobs.

A claim grants one instance the exclusive right to start a job, also when
the job is resent or instances fail.
"""

from cuminstack.claims._attempt import ClaimTimeouts
from cuminstack.claims._client import ClaimClient
from cuminstack.claims._lease_messages import (
    Lease,
    Leased,
    LeaseLost,
    LeaseRequest,
    LeaseVote,
)
from cuminstack.claims._leaseholder import LeaseClient, LeaseTiming
from cuminstack.claims._messages import (
    AlreadyClaimed,
    Answer,
    Claimed,
    Handover,
    NoMajority,
    Outcomes,
    Prepare,
    Propose,
    Pull,
    Recorded,
    Settled,
    Vote,
)
from cuminstack.claims._replica import ClaimReplica
from cuminstack.claims._service import Claims, Effect, Effects
from cuminstack.claims._store import Limits
from cuminstack.claims._values import Ballot, Claim, Entry, VoteState
from cuminstack.claims._view import ClaimView, replicas

__all__ = (
    'AlreadyClaimed',
    'Answer',
    'Ballot',
    'Claim',
    'ClaimClient',
    'ClaimReplica',
    'ClaimTimeouts',
    'ClaimView',
    'Claimed',
    'Claims',
    'Effect',
    'Effects',
    'Entry',
    'Handover',
    'Lease',
    'LeaseClient',
    'LeaseLost',
    'LeaseRequest',
    'LeaseTiming',
    'LeaseVote',
    'Leased',
    'Limits',
    'NoMajority',
    'Outcomes',
    'Prepare',
    'Propose',
    'Pull',
    'Recorded',
    'Settled',
    'Vote',
    'VoteState',
    'replicas',
)
