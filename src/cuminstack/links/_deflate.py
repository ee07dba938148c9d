"""Compression of large frames on links.

Orders and their answers repeat the names of fields, endpoints and jobs, and
most of them cross availability zones.  Heartbeats are small: compressing them
takes more processor time than handling them.
"""

from collections.abc import Sequence
from types import MappingProxyType
from typing import Final

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


def server_deflate() -> ServerPerMessageDeflateFactory:
    """Return the compression that an accepting instance agrees to."""
    return ServerPerMessageDeflateFactory(
        server_no_context_takeover=True,
        client_max_window_bits=_WINDOW_BITS,
    )
