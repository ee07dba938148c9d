"""Detection of links that have gone silent.

A deployment has a link from each instance to many others, most of which carry
a message now and then.  Pings at a fixed rate would be a third of all frames.
"""

import asyncio
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from typing import Final

from websockets.asyncio.client import ClientConnection
from websockets.exceptions import ConnectionClosed

#: Frames sent since the last ping from which on a link is in use.
_MIN_FRAMES_IN_USE: Final = 3
#: Intervals without a ping after which a link that isn't in use gets one.
_IDLE_INTERVALS: Final = 4
#: Value of `SO_LINGER` with which a socket is reset when it is closed.
_NO_LINGER: Final = struct.pack('ii', 1, 0)


def reset(connection: ClientConnection) -> None:
    """Abort a connection, and discard what its peer hasn't acknowledged.

    Otherwise the kernel goes on to send it, and the peer may receive it after
    a network partition, seconds later than newer messages on another link.
    """
    transport = connection.transport
    connected_socket = transport.get_extra_info('socket')
    if connected_socket is not None:
        with suppress(OSError):
            connected_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
            )
    transport.abort()


async def keep_alive(
    connection: ClientConnection,
    *,
    seconds: float,
    count_sent: Callable[[], int],
) -> None:
    """Abort a connection when a ping gets no answer.

    Args:
        connection: The connection.
        seconds: Interval of pings while the link is in use, and time-out of
            their answers.
        count_sent: Returns the number of frames sent so far.
    """
    skipped = 0
    sent = count_sent()
    while True:
        await asyncio.sleep(seconds)
        skipped += 1
        before, sent = sent, count_sent()
        if sent - before >= _MIN_FRAMES_IN_USE or skipped >= _IDLE_INTERVALS:
            skipped = 0
            await _ping(connection, seconds)


async def _ping(connection: ClientConnection, seconds: float) -> None:
    with suppress(ConnectionClosed):
        answered = await connection.ping()
        try:
            async with asyncio.timeout(seconds):
                await answered
        except TimeoutError:
            reset(connection)
