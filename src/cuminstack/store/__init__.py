"""State that outlasts the process, in files that are synced."""

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
