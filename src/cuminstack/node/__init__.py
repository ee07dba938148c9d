"""Everything that one instance decides, put together without sockets."""

from cuminstack.node._endpoints import AnnounceReply
from cuminstack.node._gate import Gate, NodeOptions
from cuminstack.node._node import Node
from cuminstack.node._peers import RoutableChanged
from cuminstack.node._routing import (
    Effects,
    UnroutedEffect,
    UnroutedMessage,
)

__all__ = (
    'AnnounceReply',
    'Effects',
    'Gate',
    'Node',
    'NodeOptions',
    'RoutableChanged',
    'UnroutedEffect',
    'UnroutedMessage',
)
