"""Dissemination of the sheet in force to every instance."""

from cuminstack.spread._chunks import CHUNK_BYTES
from cuminstack.spread._effects import Apply, Diverged, Effect, Effects
from cuminstack.spread._messages import (
    Ask,
    Chunk,
    Push,
    SpreadMessage,
    Summary,
    Update,
    Want,
    WantChunk,
)
from cuminstack.spread._peers import Freshness
from cuminstack.spread._spread import Spread

__all__ = (
    'CHUNK_BYTES',
    'Apply',
    'Ask',
    'Chunk',
    'Diverged',
    'Effect',
    'Effects',
    'Freshness',
    'Push',
    'Spread',
    'SpreadMessage',
    'Summary',
    'Update',
    'Want',
    'WantChunk',
)
