"""A versioned document replicated by Paxos.

The replicated value includes the replica set, so that replicas are replaced
by the same consensus protocol.
"""

from cuminstack.document._codec import (
    BadState,
    decode_state,
    encode_state,
    initial_state,
)
from cuminstack.document._document import OPERATION_TIMEOUT_SECONDS, Document
from cuminstack.document._evacuations import (
    NO_EVACUATIONS,
    EvacuationOrder,
    Evacuations,
)
from cuminstack.document._messages import (
    Accept,
    Accepted,
    BallotRefused,
    Chosen,
    Prepare,
    Promise,
)
from cuminstack.document._operations import RandomSource
from cuminstack.document._outcomes import (
    Conflict,
    Done,
    InForce,
    NewInForce,
    Outcome,
    Overtaken,
    Persist,
    Unavailable,
)
from cuminstack.document._records import (
    EMPTY_VALUE,
    FIRST_DISK,
    NO_BALLOT,
    Ballot,
    DiskId,
    Replica,
    ReplicaState,
    Value,
)

__all__ = (
    'EMPTY_VALUE',
    'OPERATION_TIMEOUT_SECONDS',
    'FIRST_DISK',
    'NO_EVACUATIONS',
    'NO_BALLOT',
    'Accept',
    'Accepted',
    'BadState',
    'Ballot',
    'BallotRefused',
    'Chosen',
    'Conflict',
    'DiskId',
    'Document',
    'Done',
    'EvacuationOrder',
    'Evacuations',
    'InForce',
    'NewInForce',
    'Outcome',
    'Overtaken',
    'Persist',
    'Prepare',
    'Promise',
    'RandomSource',
    'Replica',
    'ReplicaState',
    'Unavailable',
    'Value',
    'decode_state',
    'encode_state',
    'initial_state',
)
