"""Encoding of typed peer messages as CBOR frames.

A frame is the CBOR array `[version, kind, body]`.  Kinds are registered by
the `message` decorator on frozen dataclasses.  Bodies are validated against
the field types before a message is built.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final, TypeVar

import cbor2
import msgspec

from cuminstack.wire._items import has_more_items

#: Version of the frame layout and of all message bodies.
PROTOCOL_VERSION: Final = 1

#: Largest frame that is decoded, in bytes.
MAX_FRAME_BYTES: Final = 8 * 1024 * 1024

_FRAME_PARTS: Final = 3

_Message = TypeVar('_Message')
_kinds: dict[str, type[Any]] = {}
_names: dict[type[Any], str] = {}


@dataclass(eq=False)
class BadFrame(Exception):
    """A frame cannot be decoded; its connection must be closed."""

    reason: str


class UnknownVersion(BadFrame):
    """The frame has another protocol version."""


class UnknownKind(BadFrame):
    """The frame has a kind that is not registered."""


class MalformedFrame(BadFrame):
    """The bytes are not a frame, or the body does not match its kind."""


def message(kind: str) -> Callable[[type[_Message]], type[_Message]]:
    """Return a decorator that registers a frozen dataclass as a message.

    Args:
        kind: Kind of the frames that carry the message.

    Raises:
        ValueError: The kind is already registered; raised by the decorator.
    """

    def decorator(cls: type[_Message]) -> type[_Message]:
        if kind in _kinds:
            raise ValueError(kind)
        _kinds[kind] = cls
        _names[cls] = kind
        return cls

    return decorator


def kind_of(body: object) -> str:
    """Return the registered kind of a message."""
    return _names[type(body)]


def messages_of(prefix: str) -> tuple[type[Any], ...]:
    """Return the message types whose kinds start with `prefix.`."""
    return tuple(
        body_type
        for kind, body_type in _kinds.items()
        if kind.partition('.')[0] == prefix
    )


def encode(body: object) -> bytes:
    """Encode a registered message as a frame."""
    plain = msgspec.to_builtins(body, builtin_types=(bytes,))
    return cbor2.dumps([PROTOCOL_VERSION, kind_of(body), plain])


def decode(frame: bytes, *, max_items: int | None = None) -> Any:
    """Decode a frame to its message.

    Args:
        frame: The frame.
        max_items: Largest number of data items; None for any.

    Raises:
        BadFrame: The frame is too large or malformed, or has an unknown kind
            or another protocol version.
    """
    version, kind, body = _split(frame, max_items)
    if version != PROTOCOL_VERSION:
        raise UnknownVersion(f'version {version!r}')
    body_type = _kinds.get(kind) if isinstance(kind, str) else None
    if body_type is None:
        raise UnknownKind(f'kind {kind!r}')
    try:
        return msgspec.convert(body, body_type, builtin_types=(bytes,))
    except (msgspec.ValidationError, RecursionError) as error:
        raise MalformedFrame(f'{kind}: {error}') from error


def _split(frame: bytes, max_items: int | None) -> list[Any]:
    _check_size(frame, max_items)
    try:
        parts = cbor2.loads(frame)
    except (cbor2.CBORError, ValueError, RecursionError) as error:
        raise MalformedFrame(str(error)) from error
    if not isinstance(parts, list) or len(parts) != _FRAME_PARTS:
        raise MalformedFrame('not [version, kind, body]')
    return parts


def _check_size(frame: bytes, max_items: int | None) -> None:
    if len(frame) > MAX_FRAME_BYTES:
        raise MalformedFrame(f'{len(frame)} bytes')
    if max_items is not None and has_more_items(frame, max_items):
        raise MalformedFrame(f'more than {max_items} items')
