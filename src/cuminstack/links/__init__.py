"""Links between instances: WebSocket connections with CBOR frames."""

from cuminstack.links._links import (
    Hello,
    PeerLink,
    PeerListener,
    UnexpectedPeer,
)
from cuminstack.links._mesh import Mesh

__all__ = ('Hello', 'Mesh', 'PeerLink', 'PeerListener', 'UnexpectedPeer')
