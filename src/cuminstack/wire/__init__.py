"""Messages between instances: a registry of kinds, and their encoding."""

from cuminstack.wire._codec import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    BadFrame,
    MalformedFrame,
    UnknownKind,
    UnknownVersion,
    decode,
    encode,
    kind_of,
    message,
    messages_of,
)

__all__ = (
    'MAX_FRAME_BYTES',
    'PROTOCOL_VERSION',
    'BadFrame',
    'MalformedFrame',
    'UnknownKind',
    'UnknownVersion',
    'decode',
    'encode',
    'kind_of',
    'message',
    'messages_of',
)
