"""Write-once claims: who alone may start a job, over resends and deaths."""

from cuminstack.claims._attempt import Patience
from cuminstack.claims._client import ClaimClient
from cuminstack.claims._lease_messages import (
    Lease,
    Leased,
    LeaseLost,
    LeaseRequest,
    LeaseVote,
)
from cuminstack.claims._leaseholder import LeaseClient, LeaseTerms
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
    'LeaseTerms',
    'LeaseVote',
    'Leased',
    'Limits',
    'NoMajority',
    'Outcomes',
    'Patience',
    'Prepare',
    'Propose',
    'Pull',
    'Recorded',
    'Settled',
    'Vote',
    'VoteState',
    'replicas',
)
