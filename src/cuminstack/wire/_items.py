"""Bounds the number of data items of a CBOR document (RFC 8949)."""

from types import MappingProxyType
from typing import Final

_BYTE_STRING: Final = 2
_TEXT_STRING: Final = 3
_MAJOR_SHIFT: Final = 5
_INFO_MASK: Final = 31
#: Bytes of the argument behind the first byte, by the value of its low bits.
_ARGUMENT_BYTES: Final = MappingProxyType({24: 1, 25: 2, 26: 4, 27: 8})
_LONGEST_INLINE: Final = 23


def has_more_items(document: bytes, limit: int) -> bool:
    """Return whether a document has more data items than a limit.

    Nothing is built, so a document of many empty containers, each of which
    takes a byte there and 72 in memory, can be refused before it is decoded.

    Args:
        document: The document, which may be malformed.
        limit: Largest number of items; markers of an end count as well.
    """
    # Each item has at least a byte.
    if len(document) <= limit:
        return False
    position = 0
    count = 0
    while position < len(document) and count <= limit:
        count += 1
        position = _skip_item(document, position)
    return count > limit


def _skip_item(document: bytes, position: int) -> int:
    """Return the position behind an item, its own items not included."""
    first = document[position]
    info = first & _INFO_MASK
    start = position + 1
    end = start + _ARGUMENT_BYTES.get(info, 0)
    if first >> _MAJOR_SHIFT not in {_BYTE_STRING, _TEXT_STRING}:
        return end
    if info <= _LONGEST_INLINE:
        return end + info
    return end + int.from_bytes(document[start:end], 'big')
