"""The settings file of the platform."""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import msgspec

from cuminstack.core import InstanceId
from cuminstack.roles import RoleSettings
from cuminstack.settings import Address, NotReadable

#: Names the file.
SETTINGS_VARIABLE: Final = 'CUMINSTACK_SETTINGS'
#: Order of waiting jobs.
_ORDER: Final = 'useful-first'


class BadSettings(Exception):
    """The settings file can't be read, or lacks what is needed."""


class _Listeners(msgspec.Struct):
    # Named for who calls: clients, the balancer's checks, and workers
    # together with operators.
    front: str = ''
    ready: str = ''
    control: str = ''


class _Tolerance(msgspec.Struct):
    # How many of the machines with a disk may be lost at once.
    machines: int = 0


class _Bounds(msgspec.Struct, rename='camel'):
    # Seconds from SIGTERM to SIGKILL.
    grace_s: float = 6


class _File(msgspec.Struct, rename='camel'):
    ip: str
    zone: str
    # First and last port that instances may use between themselves.
    ephemeral_ports: tuple[int, int]
    # Control addresses of up to three machines; may be stale.
    seeds: tuple[str, ...] = ()
    # Whether the whole deployment starts for the first time.
    bootstrap: bool = False
    data_dir: str = ''
    listen_addrs: _Listeners = msgspec.field(default_factory=_Listeners)
    fault_tolerance: _Tolerance = msgspec.field(default_factory=_Tolerance)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """What the platform tells a process.

    Args:
        role: What the role needs of it.
        host: Address of the machine.
        callers: Where callers connect; None for a control instance.
        readiness: Where the balancer asks whether an entry is ready.
        control: Where endpoints and operators connect; None for an entry.
        grace: Seconds from SIGTERM until the process is killed.
    """

    role: RoleSettings
    host: str
    callers: Address | None
    readiness: Address | None
    control: Address | None
    grace: float


def load_settings(path: str) -> PlatformSettings:
    """Read the settings file.

    Raises:
        BadSettings: It can't be read, or lacks what is needed.
    """
    try:
        plain = tomllib.loads(Path(path).read_text('utf-8'))
    except (OSError, ValueError) as error:
        raise BadSettings(str(error)) from error
    return decode_settings(plain)


def decode_settings(plain: dict[str, Any]) -> PlatformSettings:
    """Decode the content of the settings file.

    Raises:
        BadSettings: It lacks what is needed.
    """
    try:
        return _make_settings(msgspec.convert(plain, _File))
    except (msgspec.ValidationError, NotReadable) as error:
        raise BadSettings(str(error)) from error


def _make_settings(found: _File) -> PlatformSettings:
    port, _ = found.ephemeral_ports
    role = RoleSettings(
        own=InstanceId(f'{found.ip}:{port}'),
        zone=found.zone,
        controls=tuple(_peer_address(seed, port) for seed in found.seeds),
        first_start=found.bootstrap,
        tolerated_failures=found.fault_tolerance.machines,
        data_folder=Path(found.data_dir) if found.data_dir else None,
        order=_ORDER,
    )
    return PlatformSettings(
        role=role,
        host=found.ip,
        callers=_address(found.listen_addrs.front),
        readiness=_address(found.listen_addrs.ready),
        control=_address(found.listen_addrs.control),
        grace=found.bounds.grace_s,
    )


def _peer_address(seed: str, port: int) -> InstanceId:
    """Give the peer address of a seed; ports are the same on all machines."""
    host = Address.parse(seed).host
    return InstanceId(f'{host}:{port}')


def _address(text: str) -> Address | None:
    return Address.parse(text) if text else None
