"""Waiting for what another process tells only when asked."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

#: Pause between two looks, in seconds.
_POLL_SECONDS: Final = 0.05


async def until(
    condition: Callable[[], Awaitable[bool]],
    *,
    seconds: float,
) -> None:
    """Wait until a condition holds.

    Args:
        condition: Looked at again and again.
        seconds: The longest wait.

    Raises:
        TimeoutError: It does not hold in time.
    """
    async with asyncio.timeout(seconds):
        # The other process can't set an event of ours.
        while not await condition():  # noqa: ASYNC110
            await asyncio.sleep(_POLL_SECONDS)
