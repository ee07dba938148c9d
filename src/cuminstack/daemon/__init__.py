"""The daemon: listeners, peer links and the event loop around the node."""

from cuminstack.daemon._application import Application
from cuminstack.daemon._program import main

__all__ = ('Application', 'main')
