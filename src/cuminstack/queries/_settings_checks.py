"""Checks of the settings of `cuminstackd`."""

import dataclasses
from collections.abc import Iterable, Iterator
from typing import Any, Final

from cuminstack.queries._checks import (
    CheckRegistry,
    Finding,
    NotComparable,
    Place,
    Severity,
    file_kind,
)
from cuminstack.settings import (
    PeerSettings,
    Settings,
    SettingsFault,
    SettingsFaults,
    parse_settings,
)

_MS_PER_SECOND: Final = 1000
_checks: CheckRegistry[Settings] = CheckRegistry()


@file_kind
class SettingsFiles:
    """INI files with the settings of an instance."""

    name = 'settings'
    suffix = '.ini'
    openings = ('[', '#', ';')
    # Each instance has its own file, which it doesn't serve.
    live_path = ''

    def find(self, text: str) -> Iterable[Finding]:
        """Return all faults, or what contradicts itself if there are none."""
        try:
            settings = parse_settings(text)
        except SettingsFaults as invalid:
            return tuple(map(_fault_finding, invalid.faults))
        return tuple(_checks.run(settings))

    def compare(self, text: str, in_force: str) -> Iterable[Finding]:
        """Return the settings whose values differ, defaults included."""
        try:
            old = _values_by_location(parse_settings(in_force))
        except SettingsFaults as invalid:
            raise NotComparable(str(invalid)) from invalid
        try:
            new = _values_by_location(parse_settings(text))
        except SettingsFaults:
            return ()
        return tuple(_differences(old, new))


def _fault_finding(fault: SettingsFault) -> Finding:
    place = f'[{fault.section}] {fault.key}'.strip()
    message = str(fault).removeprefix(f'{place}: ')
    location = place if fault.section else 'file'
    check = type(fault).__name__
    return Finding(Severity.error, check, location, message)


def _values_by_location(settings: Settings) -> dict[str, Any]:
    found: dict[str, Any] = {}
    for part in dataclasses.fields(settings):
        section = getattr(settings, part.name)
        if part.name == 'peers':
            found.update((f'[peers] {peer.name}', peer) for peer in section)
            continue
        for key in dataclasses.fields(section):
            location = f'[{part.name}] {key.name}'
            found[location] = getattr(section, key.name)
    return found


def _differences(old: dict[str, Any], new: dict[str, Any]) -> Iterator[Finding]:
    for location in dict.fromkeys((*old, *new)):
        before, after = old.get(location), new.get(location)
        if before != after:
            message = f'{_show(before)} -> {_show(after)}'
            yield Finding(Severity.difference, 'changed', location, message)


def _show(setting: Any) -> str:
    if isinstance(setting, PeerSettings):
        role = ' replica' if setting.replica else ''
        addresses = f'{setting.peer_address} {setting.zone}'
        return f'{addresses} {setting.endpoint_address}{role}'
    if setting is None:
        return 'none'
    return str(getattr(setting, 'value', setting))


@_checks.register('outcome_lost_before_resend', Severity.warning)
def _check_outcome_lifetime(settings: Settings) -> Iterator[Place]:
    limits = settings.limits
    grace = limits.resend_grace_seconds
    if limits.outcome_lifetime_seconds < grace:
        yield (
            '[limits] outcome_lifetime_seconds',
            'outcomes are dropped while callers may still resend; set it to '
            f'at least resend_grace_seconds, {grace}',
        )


@_checks.register('drain_shorter_than_jobs', Severity.warning)
def _check_drain_time(settings: Settings) -> Iterator[Place]:
    limits = settings.limits
    deadline_seconds = limits.default_deadline_ms / _MS_PER_SECOND
    if limits.drain_seconds < deadline_seconds:
        yield (
            '[limits] drain_seconds',
            'a graceful shutdown ends before jobs with the default deadline; '
            f'set it to at least {deadline_seconds}, or lower '
            'default_deadline_ms',
        )


@_checks.register('even_replicas', Severity.warning)
def _check_replica_count(settings: Settings) -> Iterator[Place]:
    count = sum(peer.replica for peer in settings.peers)
    if count and count % 2 == 0:
        yield (
            '[peers]',
            f'{count} replicas tolerate no more failures than one fewer; '
            'mark an odd number of lines as replica',
        )
