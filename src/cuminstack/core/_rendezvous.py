"""Rendezvous hashing: who is responsible for a key, without a table."""

import hashlib
from collections.abc import Iterable
from typing import Final

_SCORE_BYTES: Final = 8


def rendezvous_score(key: str, candidate: str) -> bytes:
    """Score a candidate for a key; equal in every process and version."""
    pair = f'{key}\n{candidate}'.encode()
    return hashlib.blake2b(pair, digest_size=_SCORE_BYTES).digest()


def rendezvous_order(key: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Order candidates by their claim on a key, strongest first.

    Removing a candidate changes nothing in the order of the others.
    """
    scored = [(rendezvous_score(key, name), name) for name in candidates]
    return tuple(name for _, name in sorted(scored, reverse=True))
