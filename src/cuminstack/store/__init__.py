"""Durable storage of a record in a file."""

from cuminstack.store._file import (
    Damage,
    Damaged,
    DurableFile,
    Loaded,
    Missing,
    Saved,
    StoreFailed,
)

__all__ = (
    'Damage',
    'Damaged',
    'DurableFile',
    'Loaded',
    'Missing',
    'Saved',
    'StoreFailed',
)
