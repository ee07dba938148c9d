"""Names, addresses and settings files of the daemons of a deployment."""

import configparser
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path

from bench._ports import LOOPBACK, free_ports

_LISTENERS = ('callers', 'endpoints', 'peers')


@dataclass(frozen=True, slots=True)
class InstancePlan:
    """A daemon to be started.

    Args:
        name: Its name.
        zone: Its availability zone.
        callers: `ip:port` of its listener for callers.
        endpoints: The same for endpoints and operators.
        peers: The same for the other instances.
        replica: Whether it has a data folder.
    """

    name: str
    zone: str
    callers: str
    endpoints: str
    peers: str
    replica: bool

    @property
    def peer_line(self) -> str:
        """Give its value in the section `[peers]`."""
        words = [self.peers, self.zone, self.endpoints]
        if self.replica:
            words.append('replica')
        return ' '.join(words)


def plan_instances(
    zones: Sequence[str],
    instances: int,
    *,
    replicas: bool,
) -> tuple[InstancePlan, ...]:
    """Plan a number of daemons in each zone, on free loopback ports."""
    names = [(zone, index + 1) for zone in zones for index in range(instances)]
    ports = free_ports(len(names) * len(_LISTENERS))
    addresses = [f'{LOOPBACK}:{port}' for port in ports]
    return tuple(
        InstancePlan(
            name=f'{zone}-{index}',
            zone=zone,
            callers=addresses.pop(),
            endpoints=addresses.pop(),
            peers=addresses.pop(),
            replica=replicas and index == 1,
        )
        for zone, index in names
    )


def write_settings(
    plan: InstancePlan,
    plans: Sequence[InstancePlan],
    *,
    folder: Path,
    extra: Mapping[str, Mapping[str, str]],
) -> Path:
    """Write the settings file of one daemon and give its path."""
    parser = configparser.ConfigParser(interpolation=None)
    parser['instance'] = {'name': plan.name, 'zone': plan.zone}
    if plan.replica:
        data_folder = folder / f'{plan.name}-data'
        data_folder.mkdir(exist_ok=True)
        parser['instance']['data_folder'] = str(data_folder)
    parser['listen'] = {
        listener: getattr(plan, listener) for listener in _LISTENERS
    }
    if len(plans) > 1:
        parser['peers'] = {one.name: one.peer_line for one in plans}
    for section, values in extra.items():
        if not parser.has_section(section):
            parser.add_section(section)
        parser[section].update(values)
    path = folder / f'{plan.name}.ini'
    with path.open('w') as file:
        parser.write(file)
    return path
