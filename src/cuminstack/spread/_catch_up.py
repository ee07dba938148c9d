"""Getting a newer sheet from a peer that said that it has one."""

from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId, Send
from cuminstack.sheet import Sheet
from cuminstack.spread._chunks import Assembly
from cuminstack.spread._messages import Chunk, Summary, Want
from cuminstack.spread._peers import PeerSheets

#: How long a push may take before a newer sheet that was heard of is wanted.
_PUSH_SECONDS: Final = 0.2
#: How long a peer may take to give what is wanted, or the next part of it.
_WANT_SECONDS: Final = 1.0


@dataclass(slots=True)
class _Wanted:
    peer: InstanceId
    until: float
    assembly: Assembly | None = None


class CatchUp:
    """Wants one sheet of one peer at a time."""

    def __init__(self, peers: PeerSheets) -> None:
        """Take what the peers said."""
        self._peers = peers
        self._wanted: _Wanted | None = None
        self._newer_since: float | None = None

    def end(self) -> None:
        """Stop, as a newer sheet is there."""
        self._wanted = None
        self._newer_since = None

    def seek(
        self,
        own: Summary,
        *,
        now: float,
        patient: bool,
    ) -> tuple[Send, ...]:
        """Want what is newer, if a push hasn't brought it in time."""
        self._expire(now)
        newest = self._peers.newest(above=own.version)
        if newest is None or self._wanted is not None:
            return ()
        if self._newer_since is None:
            self._newer_since = now
        if patient and now < self._newer_since + _PUSH_SECONDS:
            return ()
        return self.want(newest, own, now=now)

    def want(
        self,
        peer: InstanceId,
        own: Summary,
        *,
        now: float,
    ) -> tuple[Send, ...]:
        """Want what a peer has, unless another is being asked."""
        if self._wanted is not None:
            return ()
        self._wanted = _Wanted(peer, now + _WANT_SECONDS)
        return (Send(peer, Want(own.version, own.digest)),)

    def take(
        self,
        sender: InstanceId,
        chunk: Chunk,
        *,
        now: float,
    ) -> Sheet | Send | None:
        """Take a part; give the whole sheet, or what to ask for next."""
        wanted = self._wanted
        if wanted is None or wanted.peer != sender:
            return None
        if wanted.assembly is None:
            wanted.assembly = Assembly(chunk.version, chunk.digest)
        found = wanted.assembly.take(chunk)
        if found is None or isinstance(found, Sheet):
            return found
        wanted.until = now + _WANT_SECONDS
        return Send(sender, found)

    def _expire(self, now: float) -> None:
        wanted = self._wanted
        if wanted is not None and now >= wanted.until:
            self._peers.forget(wanted.peer)
            self._wanted = None
