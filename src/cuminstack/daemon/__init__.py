"""The daemon: listeners, links and the loop around the deciding parts."""

from cuminstack.daemon._application import Application
from cuminstack.daemon._program import main

__all__ = ('Application', 'main')
