"""Compression of large frames on links.

Orders and their answers repeat the names of fields, endpoints and jobs, and
most of them cross availability zones.  Heartbeats are small: compressing them
takes more processor time than handling them.
"""

from collections.abc import Sequence
from types import MappingProxyType
from typing import Final, Protocol

from websockets.exceptions import PayloadTooBig
from websockets.extensions import Extension
from websockets.extensions.permessage_deflate import (
    ClientPerMessageDeflateFactory,
    PerMessageDeflate,
    ServerPerMessageDeflateFactory,
)
from websockets.frames import Frame
from websockets.typing import ExtensionParameter

#: Frames with fewer bytes are not compressed.
_MIN_COMPRESSED_BYTES: Final = 300
#: Size of the compression window, as a power of two of bytes.  A larger one
#: hardly helps, and takes memory on each link.
_WINDOW_BITS: Final = 12
#: A low level: higher ones take more processor time than traffic they save.
_SETTINGS: Final = MappingProxyType({'level': 3, 'memLevel': 5})


class _LargeFrameDeflate(PerMessageDeflate):
    """Per-message compression that leaves small messages as they are."""

    def encode(self, frame: Frame) -> Frame:
        """Compress a large frame."""
        if len(frame.data) < _MIN_COMPRESSED_BYTES:
            return frame
        return super().encode(frame)


class ClientDeflate(ClientPerMessageDeflateFactory):
    """Compression that a dialling instance offers.

    Only the dialling side sends messages, so the other one keeps no state.
    """

    def __init__(self) -> None:
        super().__init__(
            server_no_context_takeover=True,
            client_max_window_bits=_WINDOW_BITS,
            compress_settings=dict(_SETTINGS),
        )

    def process_response_params(
        self,
        params: Sequence[ExtensionParameter],
        accepted_extensions: Sequence[Extension],
    ) -> PerMessageDeflate:
        """Return the compression that the accepting instance agreed to."""
        agreed = super().process_response_params(params, accepted_extensions)
        return _LargeFrameDeflate(
            agreed.remote_no_context_takeover,
            agreed.local_no_context_takeover,
            agreed.remote_max_window_bits,
            agreed.local_max_window_bits,
            dict(_SETTINGS),
        )


class _MemoryBudget(Protocol):
    """What messages may be expanded into."""

    @property
    def free_bytes(self) -> int:
        """Size that messages received at once may still expand to."""

    def use_memory(self, size: int) -> None:
        """Add the size of a message that is about to be handled."""


class _BoundedDeflate(PerMessageDeflate):
    """Per-message decompression within a budget of memory."""

    def __init__(
        self, agreed: PerMessageDeflate, budget: _MemoryBudget
    ) -> None:
        super().__init__(
            agreed.remote_no_context_takeover,
            agreed.local_no_context_takeover,
            agreed.remote_max_window_bits,
            agreed.local_max_window_bits,
        )
        self._budget = budget

    def decode(self, frame: Frame, *, max_size: int | None = None) -> Frame:
        """Decompress a frame, if there is memory for its content.

        Raises:
            PayloadTooBig: The content exceeds the budget or `max_size`.
        """
        if not frame.rsv1 and not self.decode_cont_data:
            return super().decode(frame, max_size=max_size)
        free = self._budget.free_bytes
        if max_size is not None:
            free = min(free, max_size)
        # zlib takes 0 for no limit.
        if free <= 0:
            raise PayloadTooBig(None, free)
        decoded = super().decode(frame, max_size=free)
        self._budget.use_memory(len(decoded.data))
        return decoded


class _BoundedDeflateFactory(ServerPerMessageDeflateFactory):
    def __init__(self, budget: _MemoryBudget) -> None:
        super().__init__(
            server_no_context_takeover=True,
            client_max_window_bits=_WINDOW_BITS,
        )
        self._budget = budget

    def process_request_params(
        self,
        params: Sequence[ExtensionParameter],
        accepted_extensions: Sequence[Extension],
    ) -> tuple[list[ExtensionParameter], PerMessageDeflate]:
        """Return the parameters of the response, and the compression."""
        answer, agreed = super().process_request_params(
            params, accepted_extensions
        )
        return answer, _BoundedDeflate(agreed, self._budget)


def server_deflate(budget: _MemoryBudget) -> ServerPerMessageDeflateFactory:
    """Return the compression that an accepting instance agrees to.

    Args:
        budget: Memory for what its messages expand into.
    """
    return _BoundedDeflateFactory(budget)
