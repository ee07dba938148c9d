"""The lines of section `[peers]`."""

from typing import Final

from cuminstack.core import InstanceId, ZoneName
from cuminstack.settings._model import PeerSettings
from cuminstack.settings._values import Address, NotReadable, read_value

_FORM: Final = 'ip:port zone endpoints_ip:port [replica]'
_REPLICA: Final = 'replica'
_PARTS: Final = 3


def read_peer(name: str, text: str) -> PeerSettings:
    """Read one line.

    Args:
        name: The key: the peer's name.
        text: The value: `ip:port zone endpoints_ip:port [replica]`.

    Raises:
        NotReadable: The line has another form.
    """
    words = text.split()
    flags = words[_PARTS:]
    if len(words) < _PARTS or flags not in ([], [_REPLICA]):
        raise NotReadable(_FORM)
    peer_address, zone, endpoint_address = words[:_PARTS]
    return PeerSettings(
        name=read_value(InstanceId, name),
        zone=read_value(ZoneName, zone),
        peer_address=_dialled(peer_address),
        endpoint_address=_dialled(endpoint_address),
        replica=bool(flags),
    )


def _dialled(text: str) -> Address:
    address = Address.parse(text)
    if address.is_wildcard or not address.port:
        raise NotReadable(f'{_FORM}, each address one that can be dialled')
    return address
