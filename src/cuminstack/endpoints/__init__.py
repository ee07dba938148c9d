"""Announcements of endpoints, and the directory that all instances share."""

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
