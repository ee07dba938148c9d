"""The decision logic of one instance, without network or file access."""

from cuminstack.node._admission import AdmissionController, NodeOptions
from cuminstack.node._endpoints import AnnounceReply
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
    'AdmissionController',
    'JobFound',
    'Node',
    'NodeOptions',
    'NodeParts',
    'RoutableChanged',
    'SheetApplied',
    'UnroutedEffect',
    'UnroutedMessage',
)
