"""Links between instances: websockets that carry CBOR frames."""

from cuminstack.links._links import (
    Hello,
    PeerLink,
    PeerListener,
    UnexpectedPeer,
)
from cuminstack.links._mesh import Mesh

__all__ = ('Hello', 'Mesh', 'PeerLink', 'PeerListener', 'UnexpectedPeer')
