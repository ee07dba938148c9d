"""Rendezvous hashing: assigns keys to candidates without a shared table."""

import hashlib
from collections.abc import Iterable
from typing import Final

_SCORE_BYTES: Final = 8


def rendezvous_score(key: str, candidate: str) -> bytes:
    """Return the score of a candidate for a key.

    The score is the same in every process and in every version of this
    package.
    """
    pair = f'{key}\n{candidate}'.encode()
    return hashlib.blake2b(pair, digest_size=_SCORE_BYTES).digest()


def rendezvous_order(key: str, candidates: Iterable[str]) -> tuple[str, ...]:
    """Return the candidates for a key, highest score first.

    Removing a candidate does not change the order of the others.
    """
    scored = [(rendezvous_score(key, name), name) for name in candidates]
    return tuple(name for _, name in sorted(scored, reverse=True))
