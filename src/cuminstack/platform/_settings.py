"""Reads and validates the settings file of a process."""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Final

import msgspec

from cuminstack.core import InstanceId, ZoneName
from cuminstack.listeners import MachineLimits, process_descriptors
from cuminstack.roles import RoleSettings
from cuminstack.settings import Address, NotReadable

#: Environment variable with the path of the settings file.
SETTINGS_VARIABLE: Final = 'CUMINSTACK_SETTINGS'
#: Name of the scheduling policy unless an option selects another one.
DEFAULT_POLICY: Final = 'in-time-first'


class BadSettings(Exception):
    """The settings file is unreadable, malformed or incomplete."""


_MAX_PORT: Final = 65535
_Port = Annotated[int, msgspec.Meta(ge=1, le=_MAX_PORT)]
#: More cores than any machine has.
_MAX_CORES: Final = 10000
#: A tebibyte is more than any machine has.
_MAX_MEMORY_MB: Final = 1_048_576
_MAX_DESCRIPTORS: Final = 1_048_576
#: Longest grace period in seconds: a day.
_MAX_GRACE_SECONDS: Final = 86400


class _Listeners(msgspec.Struct):
    # Listen addresses by client: callers, load balancer checks, and workers
    # together with operators.  Empty for none.
    front: str = ''
    ready: str = ''
    control: str = ''


class _Tolerance(msgspec.Struct):
    # How many of the machines with a disk may fail at the same time.
    machines: int = 0


class _Limits(msgspec.Struct, rename='camel'):
    # Share of a core, and how many times as fast as usual it is.
    cpu_share: Annotated[float, msgspec.Meta(gt=0, le=_MAX_CORES)] = 1
    cores: Annotated[float, msgspec.Meta(gt=0, le=_MAX_CORES)] = 1
    # Memory in mebibytes, and open files and connections together; by
    # default what the system allows the process.
    memory_mb: Annotated[float, msgspec.Meta(ge=1, le=_MAX_MEMORY_MB)] = (
        MachineLimits.memory_mb
    )
    max_fds: Annotated[int, msgspec.Meta(ge=1, le=_MAX_DESCRIPTORS)] = (
        _MAX_DESCRIPTORS
    )


class _Bounds(msgspec.Struct, rename='camel'):
    # Grace period from SIGTERM to SIGKILL, in seconds.
    grace_s: Annotated[float, msgspec.Meta(ge=0, le=_MAX_GRACE_SECONDS)] = 6


class _SettingsFile(msgspec.Struct, rename='camel'):
    ip: str
    zone: str
    # First and last port of the range for traffic between instances.
    ephemeral_ports: tuple[_Port, _Port]
    # Control addresses of up to three machines; may be out of date.
    seeds: tuple[str, ...] = ()
    # Whether this is the first start of the whole deployment.
    bootstrap: bool = False
    data_dir: str = ''
    listen_addrs: _Listeners = msgspec.field(default_factory=_Listeners)
    fault_tolerance: _Tolerance = msgspec.field(default_factory=_Tolerance)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    # A table with the name of each availability zone as a key.
    zones: Any = None


@dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Settings of a process.

    Args:
        role: Settings that don't depend on the platform's protocol.
        host: IP address of the machine.
        caller_address: Listen address for callers; None for a control
            instance.
        readiness_address: Listen address for readiness checks; None for a
            control instance.
        control_address: Listen address for workers and operators; None for
            an entry.
        grace_seconds: Seconds from SIGTERM until the process is killed.
        machine: Limits of the machine.
    """

    role: RoleSettings
    host: str
    caller_address: Address | None
    readiness_address: Address | None
    control_address: Address | None
    grace_seconds: float
    machine: MachineLimits = MachineLimits()


def load_settings(path: str) -> PlatformSettings:
    """Read the settings file.

    Args:
        path: Path of the TOML file.

    Raises:
        BadSettings: The file is unreadable, malformed or incomplete.
    """
    try:
        document = tomllib.loads(Path(path).read_text('utf-8'))
    except (OSError, ValueError, RecursionError) as error:
        raise BadSettings(str(error)) from error
    return decode_settings(document)


def decode_settings(document: dict[str, Any]) -> PlatformSettings:
    """Decode the parsed content of the settings file.

    Raises:
        BadSettings: A setting is missing, or has a wrong type or value.
    """
    try:
        return _make_settings(msgspec.convert(document, _SettingsFile))
    except (msgspec.ValidationError, NotReadable) as error:
        raise BadSettings(str(error)) from error


def _make_settings(decoded: _SettingsFile) -> PlatformSettings:
    port, _ = decoded.ephemeral_ports
    role = RoleSettings(
        own=InstanceId(f'{decoded.ip}:{port}'),
        zone=decoded.zone,
        controls=tuple(_peer_address(seed, port) for seed in decoded.seeds),
        first_start=decoded.bootstrap,
        tolerated_failures=decoded.fault_tolerance.machines,
        data_folder=Path(decoded.data_dir) if decoded.data_dir else None,
        order=DEFAULT_POLICY,
        cores=decoded.limits.cpu_share * decoded.limits.cores,
        zones=_zone_names(decoded.zones),
    )
    return PlatformSettings(
        role=role,
        host=decoded.ip,
        caller_address=_parse_address(decoded.listen_addrs.front),
        readiness_address=_parse_address(decoded.listen_addrs.ready),
        control_address=_parse_address(decoded.listen_addrs.control),
        grace_seconds=decoded.bounds.grace_s,
        machine=MachineLimits(
            memory_mb=decoded.limits.memory_mb,
            descriptors=min(decoded.limits.max_fds, process_descriptors()),
        ),
    )


def _zone_names(table: Any) -> frozenset[ZoneName]:
    """Return the names of the availability zones of the deployment.

    Args:
        table: A table with the names as keys, or an array that holds names or
            tables with a `name`.  Anything else names no zone, as a process
            that doesn't depend on it must still start.
    """
    names: list[Any] = []
    if isinstance(table, dict):
        names.extend(table)
    elif isinstance(table, list):
        for row in table:
            names.append(row.get('name') if isinstance(row, dict) else row)
    return frozenset(ZoneName(name) for name in names if isinstance(name, str))


def _peer_address(seed: str, port: int) -> InstanceId:
    """Return the peer address of a seed.

    Args:
        seed: Control address of the seed.
        port: Peer port, the same on all machines.
    """
    host = Address.parse(seed).host
    return InstanceId(f'{host}:{port}')


def _parse_address(text: str) -> Address | None:
    return Address.parse(text) if text else None
