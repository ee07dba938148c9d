"""Everything that one instance decides, put together without sockets."""

from cuminstack.node._endpoints import AnnounceReply
from cuminstack.node._gate import Gate, NodeOptions
from cuminstack.node._lookups import JobFound
from cuminstack.node._node import Node, NodeParts
from cuminstack.node._peers import RoutableChanged
from cuminstack.node._routing import (
    Effects,
    UnroutedEffect,
    UnroutedMessage,
)
from cuminstack.node._sheets import SheetApplied

__all__ = (
    'AnnounceReply',
    'Effects',
    'Gate',
    'JobFound',
    'Node',
    'NodeOptions',
    'NodeParts',
    'RoutableChanged',
    'SheetApplied',
    'UnroutedEffect',
    'UnroutedMessage',
)
