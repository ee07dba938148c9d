"""Free loopback ports for processes that are about to start."""

import random
import socket
from contextlib import ExitStack
from typing import Final

#: Loopback, by IP number.
LOOPBACK: Final = '127.0.0.1'

#: Ports below those that the kernel gives to outgoing connections; there no
#: client's connection takes a port between its choice and its use, nor
#: while an instance restarts.
_FIRST_PORT: Final = 12_000
_LAST_PORT: Final = 31_999


def free_ports(count: int) -> tuple[int, ...]:
    """Choose loopback ports that nobody listens on now."""
    # Runs at the same time must not try the same ports in the same order.
    draw = random.SystemRandom()
    ports: list[int] = []
    with ExitStack() as held:
        while len(ports) < count:
            port = draw.randint(_FIRST_PORT, _LAST_PORT)
            if _bind(held.enter_context(socket.socket()), port):
                ports.append(port)
    return tuple(ports)


def _bind(candidate: socket.socket, port: int) -> bool:
    try:
        candidate.bind((LOOPBACK, port))
    except OSError:
        return False
    return True
