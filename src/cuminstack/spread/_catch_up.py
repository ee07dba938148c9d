"""Fetches a newer sheet from a peer that reported one."""

from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId, Send
from cuminstack.sheet import Sheet
from cuminstack.spread._chunks import Assembly
from cuminstack.spread._messages import Chunk, Summary, Want
from cuminstack.spread._peers import PeerSheets

#: How long to wait for a push before a newer sheet that a peer reported is
#: requested.
_PUSH_WAIT_SECONDS: Final = 0.2
#: Timeout of a request for a sheet, and of each chunk.
_REQUEST_TIMEOUT_SECONDS: Final = 1.0


@dataclass(slots=True)
class _PendingRequest:
    """A request that is under way.

    Args:
        peer: The peer that the sheet is requested from.
        deadline: Time at which the request times out, in seconds.
        assembly: Chunks received so far, if the sheet comes in chunks.
    """

    peer: InstanceId
    deadline: float
    assembly: Assembly | None = None


class CatchUp:
    """Requests newer sheets, from one peer at a time."""

    def __init__(self, peers: PeerSheets) -> None:
        """Start without a request; `peers` holds the reports of peers."""
        self._peers = peers
        self._pending: _PendingRequest | None = None
        self._newer_since: float | None = None

    def reset(self) -> None:
        """Drop the request, as a newer sheet was applied."""
        self._pending = None
        self._newer_since = None

    def request_newer(
        self,
        own: Summary,
        *,
        now: float,
        wait_for_push: bool,
    ) -> tuple[Send, ...]:
        """Request a newer sheet that a peer reported, if there is one.

        Args:
            own: Summary of the sheet of this instance.
            now: The current time in seconds.
            wait_for_push: Whether to wait a little for a push first.

        Returns:
            The request, if one is to be sent.
        """
        self._expire(now)
        newest = self._peers.newest(above=own.version)
        if newest is None or self._pending is not None:
            return ()
        if self._newer_since is None:
            self._newer_since = now
        if wait_for_push and now < self._newer_since + _PUSH_WAIT_SECONDS:
            return ()
        return self.request(newest, own, now=now)

    def request(
        self,
        peer: InstanceId,
        own: Summary,
        *,
        now: float,
    ) -> tuple[Send, ...]:
        """Request the sheet of a peer, unless a request is under way."""
        if self._pending is not None:
            return ()
        self._pending = _PendingRequest(peer, now + _REQUEST_TIMEOUT_SECONDS)
        return (Send(peer, Want(own.version, own.digest)),)

    def receive_chunk(
        self,
        sender: InstanceId,
        chunk: Chunk,
        *,
        now: float,
    ) -> Sheet | Send | None:
        """Add a chunk; return the whole sheet or the next request."""
        pending = self._pending
        if pending is None or pending.peer != sender:
            return None
        if pending.assembly is None:
            pending.assembly = Assembly(chunk.version, chunk.digest)
        found = pending.assembly.add(chunk)
        if found is None or isinstance(found, Sheet):
            return found
        pending.deadline = now + _REQUEST_TIMEOUT_SECONDS
        return Send(sender, found)

    def _expire(self, now: float) -> None:
        """Drop a request that timed out, and the report that led to it."""
        pending = self._pending
        if pending is not None and now >= pending.deadline:
            self._peers.forget(pending.peer)
            self._pending = None
