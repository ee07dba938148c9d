"""How the text of a setting becomes a value of its type."""

import enum
import ipaddress
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from types import NoneType
from typing import Annotated, Any, Final, Self, get_args, get_origin

from cuminstack.core import InstanceId, ZoneName, is_name

#: Smallest and largest value that a numeric setting may take.
Bounds = tuple[float, float]

_MAX_PORT: Final = 65535


@dataclass(eq=False)
class NotReadable(Exception):
    """A text is no value of a type; says what would be one."""

    expected: str


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """Where a listener is bound, or reached: an IP number and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Read `ip:port`; an IP number of version 6 stands in brackets.

        Raises:
            NotReadable: The text is something else.
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
        """Whether it stands for every interface, so that none can dial it."""
        return ipaddress.ip_address(self.host).is_unspecified

    def __str__(self) -> str:
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'


_Reader = Callable[[str], Any]
_readers: dict[Any, _Reader] = {}


def _reader(kind: Any) -> Callable[[_Reader], _Reader]:
    def decorator(function: _Reader) -> _Reader:
        _readers[kind] = function
        return function

    return decorator


def read_value(hint: Any, text: str) -> Any:
    """Read a text as a value of an annotated type.

    Args:
        hint: A type, a type or None, or either annotated with `Bounds`.
        text: What stands in the file.

    Raises:
        NotReadable: The text is no such value.
    """
    if get_origin(hint) is Annotated:
        kind, bounds = get_args(hint)
        return _read_number(kind, bounds, text)
    kind = _without_none(hint)
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return _read_choice(kind, text)
    return _readers[kind](text)


def _without_none(hint: Any) -> Any:
    kinds = [kind for kind in get_args(hint) if kind is not NoneType]
    return kinds[0] if kinds else hint


def _read_number(kind: Any, bounds: Bounds, text: str) -> float:
    try:
        number: float = kind(text)
    except ValueError as error:
        raise NotReadable(_range_text(kind, bounds)) from error
    low, high = bounds
    # A number that is none fails both comparisons.
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


@_reader(Address)
def _read_address(text: str) -> Address:
    return Address.parse(text)


@_reader(InstanceId)
@_reader(ZoneName)
def _read_name(text: str) -> str:
    if not is_name(text):
        raise NotReadable('1 to 128 of A-Z a-z 0-9 . _ -, not led by . _ -')
    return text


@_reader(str)
def _read_text(text: str) -> str:
    return text


@_reader(Path)
def _read_path(text: str) -> Path:
    return Path(text)
