"""Rendezvous hashing: the same ranking on every instance, no messages."""

from collections.abc import Iterable
from hashlib import blake2b
from typing import Final

_DIGEST_BYTES: Final = 8


def rank(key: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Order candidates by their weight for a key, heaviest first.

    A candidate that comes or goes moves no other past one another.
    """
    return tuple(
        sorted(candidates, key=lambda name: (_weight(key, name), name)),
    )


def _weight(key: str, candidate: str) -> bytes:
    text = f'{key}|{candidate}'.encode()
    return blake2b(text, digest_size=_DIGEST_BYTES).digest()
