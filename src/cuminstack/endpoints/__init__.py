"""Announcements of endpoints, and the directory of all endpoints.

Each instance owns the endpoints that announce to it and sends their table to
the others, which merge all tables into a directory.
"""

from cuminstack.endpoints._directory import (
    Directory,
    DirectoryEffect,
    DirectoryEffects,
    EndpointChanged,
    EndpointGone,
)
from cuminstack.endpoints._messages import TableDelta, TablePull, WholeTable
from cuminstack.endpoints._owned import Accepted, Outdated, OwnedEndpoints

__all__ = (
    'Accepted',
    'Directory',
    'DirectoryEffect',
    'DirectoryEffects',
    'EndpointChanged',
    'EndpointGone',
    'Outdated',
    'OwnedEndpoints',
    'TableDelta',
    'TablePull',
    'WholeTable',
)
