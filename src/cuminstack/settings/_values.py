"""Conversion of the text of a setting to a value of its type."""

import enum
import ipaddress
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from types import NoneType
from typing import Annotated, Any, Final, Self, get_args, get_origin

from cuminstack.core import InstanceId, ZoneName, is_name

#: Smallest and largest valid value of a numeric setting.
Bounds = tuple[float, float]

_MAX_PORT: Final = 65535


@dataclass(eq=False)
class NotReadable(Exception):
    """A text cannot be converted to a value of the required type.

    Args:
        expected: Noun phrase that describes the valid texts.
    """

    expected: str


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP address and a port, to listen on or to connect to."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse `ip:port`; an IPv6 address must be in brackets.

        Raises:
            NotReadable: The text has another format.
        """
        host, _, port = text.rpartition(':')
        bare = host.removeprefix('[').removesuffix(']')
        is_port = port.isascii() and port.isdigit() and int(port) <= _MAX_PORT
        if not is_port or (bare == host) == (':' in host):
            raise NotReadable('ip:port by IP number')
        try:
            number = ipaddress.ip_address(bare)
        except ValueError as error:
            raise NotReadable('ip:port by IP number') from error
        return cls(host=str(number), port=int(port))

    @property
    def is_wildcard(self) -> bool:
        """Whether the host means all interfaces, so is no remote address."""
        return ipaddress.ip_address(self.host).is_unspecified

    def __str__(self) -> str:
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


_Converter = Callable[[str], Any]
_converters: dict[Any, _Converter] = {}


def _converter(kind: Any) -> Callable[[_Converter], _Converter]:
    def decorator(function: _Converter) -> _Converter:
        _converters[kind] = function
        return function

    return decorator


def read_value(hint: Any, text: str) -> Any:
    """Convert a text to a value of an annotated type.

    Args:
        hint: A type or an optional type, or a numeric type annotated with
            `Bounds`.
        text: The text in the file.

    Raises:
        NotReadable: The text is not a valid value of the type.
    """
    if get_origin(hint) is Annotated:
        kind, bounds = get_args(hint)
        return _read_number(kind, bounds, text)
    kind = _without_none(hint)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return _read_choice(kind, text)
    return _converters[kind](text)


def _without_none(hint: Any) -> Any:
    kinds = [kind for kind in get_args(hint) if kind is not NoneType]
    return kinds[0] if kinds else hint


def _read_number(kind: Any, bounds: Bounds, text: str) -> float:
    try:
        number: float = kind(text)
    except ValueError as error:
        raise NotReadable(_range_text(kind, bounds)) from error
    low, high = bounds
    # NaN fails both comparisons.
    if low <= number <= high:
        return number
    raise NotReadable(_range_text(kind, bounds))


def _range_text(kind: Any, bounds: Bounds) -> str:
    noun = 'a whole number' if kind is int else 'a number'
    low, high = bounds
    return f'{noun} from {low} to {high}'


def _read_choice(kind: type[enum.Enum], text: str) -> enum.Enum:
    try:
        return kind(text)
    except ValueError as error:
        names = ', '.join(str(choice.value) for choice in kind)
        raise NotReadable(f'one of {names}') from error


@_converter(Address)
def _read_address(text: str) -> Address:
    return Address.parse(text)


@_converter(InstanceId)
@_converter(ZoneName)
def _read_name(text: str) -> str:
    if not is_name(text):
        raise NotReadable(
            '1 to 128 of A-Z a-z 0-9 . _ -, starting with A-Z a-z 0-9'
        )
    return text


@_converter(str)
def _read_text(text: str) -> str:
    return text


@_converter(Path)
def _read_path(text: str) -> Path:
    return Path(text)
