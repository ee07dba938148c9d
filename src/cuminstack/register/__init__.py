"""Replicated register that holds the sheet in force.

The replicas of a fixed set choose each new version of the sheet by Paxos.  A
replica that lost its disk recovers from the others before it votes again.
"""

from cuminstack.register._acceptor import Acceptor
from cuminstack.register._ballots import (
    NO_BALLOT,
    Ballot,
    majority,
    recovery_quorum,
)
from cuminstack.register._messages import (
    Accept,
    Accepted,
    Fence,
    Fetch,
    Fetched,
    Founder,
    Prepare,
    Promise,
    Refusal,
    Refused,
    ReplicaReply,
    ReplicaRequest,
    Standing,
    StandingReply,
    StandingRequest,
    digest_replica_set,
)
from cuminstack.register._outcomes import (
    Conflict,
    Done,
    Effect,
    Effects,
    InForce,
    Learned,
    NoQuorum,
    Outcome,
    Persist,
    SameAgain,
    Stale,
)
from cuminstack.register._proposer import Chance
from cuminstack.register._register import Register
from cuminstack.register._state import (
    AcceptorState,
    BadRecord,
    OtherReplicaSet,
    decode_state,
    encode_state,
    starting_state,
)
from cuminstack.register._values import (
    EMPTY_VALUE,
    HISTORY_LENGTH,
    Superseded,
    Transfer,
    Value,
    apply_transfer,
    make_transfer,
)

__all__ = (
    'EMPTY_VALUE',
    'HISTORY_LENGTH',
    'NO_BALLOT',
    'Accept',
    'Accepted',
    'Acceptor',
    'AcceptorState',
    'BadRecord',
    'Ballot',
    'Chance',
    'Conflict',
    'Done',
    'Effect',
    'Effects',
    'Fence',
    'Fetch',
    'Fetched',
    'Founder',
    'StandingRequest',
    'StandingReply',
    'InForce',
    'Learned',
    'NoQuorum',
    'OtherReplicaSet',
    'Outcome',
    'Persist',
    'Prepare',
    'Promise',
    'Refusal',
    'Refused',
    'Register',
    'ReplicaReply',
    'ReplicaRequest',
    'SameAgain',
    'Stale',
    'Standing',
    'Superseded',
    'Transfer',
    'Value',
    'decode_state',
    'encode_state',
    'majority',
    'make_transfer',
    'apply_transfer',
    'recovery_quorum',
    'digest_replica_set',
    'starting_state',
)
