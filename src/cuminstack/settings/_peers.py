"""Parsing of the lines of section `[peers]`."""

from typing import Final

from cuminstack.core import InstanceId, ZoneName
from cuminstack.settings._model import PeerSettings
from cuminstack.settings._values import Address, NotReadable, read_value

_FORMAT: Final = 'ip:port zone endpoints_ip:port [replica]'
_REPLICA: Final = 'replica'
_REQUIRED_PARTS: Final = 3


def read_peer(name: str, text: str) -> PeerSettings:
    """Parse a line.

    Args:
        name: The key of the line, which is the name of the peer.
        text: The value, as `ip:port zone endpoints_ip:port [replica]`.

    Raises:
        NotReadable: The line has another format or an invalid value.
    """
    words = text.split()
    flags = words[_REQUIRED_PARTS:]
    if len(words) < _REQUIRED_PARTS or flags not in ([], [_REPLICA]):
        raise NotReadable(_FORMAT)
    peer_address, zone, endpoint_address = words[:_REQUIRED_PARTS]
    return PeerSettings(
        name=read_value(InstanceId, name),
        zone=read_value(ZoneName, zone),
        peer_address=_parse_remote_address(peer_address),
        endpoint_address=_parse_remote_address(endpoint_address),
        replica=bool(flags),
    )


def _parse_remote_address(text: str) -> Address:
    address = Address.parse(text)
    if address.is_wildcard or not address.port:
        raise NotReadable(f'{_FORMAT}, with no wildcard address or port 0')
    return address
