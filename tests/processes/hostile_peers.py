"""Clients that misuse the WebSocket listener for other instances."""

import struct
import zlib
from itertools import repeat
from types import MappingProxyType
from typing import Final

from websockets.asyncio.client import connect

from cuminstack import wire
from cuminstack.core import InstanceId
from cuminstack.links import Hello
from processes.hostile_clients import Attack, Payloads, Target

#: Name of the instance as which the clients identify themselves; the daemon's
#: settings name it as a peer.
PEER_NAME: Final = InstanceId('telavi-2')
_HELLO: Final = Hello(PEER_NAME, 1)
#: First bytes of frames: a complete message, one of which more fragments
#: follow, such a fragment, a complete compressed message, and a ping.
_MESSAGE: Final = 0x82
_FIRST_FRAGMENT: Final = 2
_FRAGMENT: Final = 0
_COMPRESSED: Final = 0xC2
_PING: Final = 0x89
#: Clients mask their frames; this mask changes nothing.
_MASK: Final = bytes(4)
_MASKED: Final = 0x80
_SHORT_BYTES: Final = 125
_LONG: Final = 127
_WINDOW_BITS: Final = 12
_CHUNK_BYTES: Final = 65_536
_SMALL_FRAMES: Final = 5000
#: Size of a message that an instance with the memory of the tests may accept.
_ACCEPTED_BYTES: Final = 6_000_000
_HANDSHAKE: Final = (
    b'Upgrade: websocket\r\nConnection: Upgrade\r\n'
    b'Sec-WebSocket-Key: MDEyMzQ1Njc4OWFiY2RlZg==\r\n'
    b'Sec-WebSocket-Version: 13\r\n'
    b'Sec-WebSocket-Extensions: permessage-deflate;'
    b' server_no_context_takeover; client_max_window_bits=12\r\n\r\n'
)


def _frame_header(first: int, size: int) -> bytes:
    if size <= _SHORT_BYTES:
        return bytes((first, _MASKED | size)) + _MASK
    return struct.pack('!BBQ', first, _MASKED | _LONG, size) + _MASK


def _frame(first: int, payload: bytes) -> bytes:
    return _frame_header(first, len(payload)) + payload


def _compress(message: bytes) -> bytes:
    compressor = zlib.compressobj(9, wbits=-_WINDOW_BITS)
    payload = compressor.compress(message)
    payload += compressor.flush(zlib.Z_SYNC_FLUSH)
    return payload[:-4]


def _open_link(target: Target) -> Payloads:
    yield target.opening + _HANDSHAKE
    yield _frame(_MESSAGE, wire.encode(_HELLO))


def silent_links(target: Target) -> Payloads:
    """Handshake without a message."""
    yield target.opening + _HANDSHAKE


def idle_links(target: Target) -> Payloads:
    """Identified link without further messages."""
    return _open_link(target)


def unfinished_messages(target: Target) -> Payloads:
    """Message of which the end is not sent."""
    yield from _open_link(target)
    yield _frame_header(_MESSAGE, wire.MAX_FRAME_BYTES)
    yield bytes(wire.MAX_FRAME_BYTES - 1)


def endless_messages(target: Target) -> Payloads:
    """Large fragments without end."""
    yield from _open_link(target)
    yield _frame(_FIRST_FRAGMENT, bytes(_CHUNK_BYTES))
    yield from repeat(_frame(_FRAGMENT, bytes(_CHUNK_BYTES)))


def empty_fragments(target: Target) -> Payloads:
    """Fragments without content and without end."""
    yield from _open_link(target)
    yield _frame(_FIRST_FRAGMENT, b'')
    yield from repeat(_frame(_FRAGMENT, b'') * _SMALL_FRAMES)


def empty_messages(target: Target) -> Payloads:
    """Messages without content and without end, before any other."""
    yield target.opening + _HANDSHAKE
    yield from repeat(_frame(_MESSAGE, b'') * _SMALL_FRAMES)


def expanding_messages(target: Target) -> Payloads:
    """Messages whose compression hides nearly all of their size."""
    yield from _open_link(target)
    message = wire.encode(Hello(InstanceId('a' * _ACCEPTED_BYTES), 1))
    yield from repeat(_frame(_COMPRESSED, _compress(message)))


def _make_dense_message(size: int) -> bytes:
    kind = wire.kind_of(_HELLO).encode()
    # An array of a version, a kind and an array of empty maps.
    start = b'\x83\x01%c%s\x9a' % (0x60 | len(kind), kind)
    return start + struct.pack('!I', size) + b'\xa0' * size


def dense_messages(target: Target) -> Payloads:
    """Messages of as many values as fit."""
    yield from _open_link(target)
    message = _make_dense_message(_ACCEPTED_BYTES)
    yield from repeat(_frame(_MESSAGE, message))


def dense_first_message(target: Target) -> Payloads:
    """Compressed message of many values, before the link is identified."""
    yield target.opening + _HANDSHAKE
    # Its frame is as small as that of an ordinary first message.
    message = _make_dense_message(_ACCEPTED_BYTES // 2)
    yield _frame(_COMPRESSED, _compress(message))


def unread_pongs(target: Target) -> Payloads:
    """Pings without end, whose answers are not read."""
    yield from _open_link(target)
    yield from repeat(_frame(_PING, bytes(_SHORT_BYTES)) * _SMALL_FRAMES)


PEER_ATTACKS: Final = MappingProxyType(
    {
        'silent links': Attack(silent_links, 600, is_cut_off=True),
        'idle links': Attack(idle_links, 600),
        'unfinished messages': Attack(unfinished_messages, 60),
        'endless messages': Attack(endless_messages, 60),
        'empty fragments': Attack(empty_fragments, 60),
        'empty messages': Attack(empty_messages, 60),
        'expanding messages': Attack(expanding_messages, 60),
        'dense first message': Attack(dense_first_message, 3),
        'dense message': Attack(dense_messages, 1),
        'dense messages': Attack(dense_messages, 3),
        'unread pongs': Attack(unread_pongs, 60),
    },
)


async def send_over_link(target: Target) -> int:
    """Open a link, send a message and wait until the instance answers a ping.

    Returns:
        Status of the handshake.
    """
    async with connect(
        f'ws://{target.address}', compression=None, proxy=None
    ) as link:
        await link.send(wire.encode(_HELLO))
        await (await link.ping())
        assert link.response is not None
        return link.response.status_code
