"""From an INI file to checked settings, or to all of its faults."""

import configparser
import dataclasses
import difflib
from collections.abc import Iterable, Mapping, Sequence
from importlib import import_module
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final, get_type_hints

from cuminstack.settings._consistency import inconsistencies
from cuminstack.settings._faults import (
    BadValue,
    MissingKey,
    SettingsFault,
    SettingsFaults,
    UnknownKey,
    UnknownSection,
    UnreadableFile,
)
from cuminstack.settings._model import (
    DispatchSettings,
    InstanceSettings,
    LimitSettings,
    ListenSettings,
    LogSettings,
    PeerSettings,
    Settings,
    TimeoutSettings,
)
from cuminstack.settings._peers import read_peer
from cuminstack.settings._values import NotReadable, read_value

_PEERS: Final = 'peers'
_SECTIONS: Final = MappingProxyType(
    {
        'instance': InstanceSettings,
        'listen': ListenSettings,
        'dispatch': DispatchSettings,
        'limits': LimitSettings,
        'timeouts': TimeoutSettings,
        'logs': LogSettings,
    }
)
_PREFERRED_POLICY: Final = 'leases'
_PLAIN_POLICY: Final = 'local'


def load_settings(
    path: Path | str,
    *,
    policies: Sequence[str] | None = None,
) -> Settings:
    """Read and check a settings file.

    Args:
        path: The file, in UTF-8.
        policies: Names that a dispatch policy may have; those registered
            if None.

    Raises:
        SettingsFaults: Anything is wrong with the file; holds every fault.
    """
    try:
        text = Path(path).read_text(encoding='utf-8')
    except (OSError, ValueError) as error:
        fault = UnreadableFile('', '', 'a readable UTF-8 file', str(error))
        raise SettingsFaults((fault,)) from error
    return parse_settings(text, policies=policies)


def parse_settings(
    text: str, *, policies: Sequence[str] | None = None
) -> Settings:
    """Read and check the text of a settings file; see `load_settings`."""
    allowed = _registered_policies() if policies is None else tuple(policies)
    reading = _Reading(_read_ini(text), allowed)
    settings = reading.read()
    faults = reading.faults
    if settings is not None:
        faults = (*faults, *inconsistencies(settings))
    if settings is None or faults:
        raise SettingsFaults(faults)
    return settings


def _read_ini(text: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        allow_no_value=True,
        # No header can name this section, so no key applies to all.
        default_section='',
        delimiters=('=',),
        empty_lines_in_values=False,
        interpolation=None,
    )
    parser.optionxform = str  # type: ignore[assignment, method-assign]
    try:
        parser.read_string(text)
    except configparser.Error as error:
        got = ' '.join(error.message.split())
        fault = UnreadableFile('', '', 'sections of key = value lines', got)
        raise SettingsFaults((fault,)) from error
    return parser


class _Reading:
    """One pass over a file that goes on after a fault."""

    def __init__(
        self,
        parser: configparser.ConfigParser,
        policies: tuple[str, ...],
    ) -> None:
        self._parser = parser
        self._policies = policies
        self._faults: list[SettingsFault] = []

    @property
    def faults(self) -> tuple[SettingsFault, ...]:
        """Everything found so far."""
        return tuple(self._faults)

    def read(self) -> Settings | None:
        """Read all sections; None if a section could not be built."""
        self._check_sections()
        parts = {
            name: self._read_section(name, section_type)
            for name, section_type in _SECTIONS.items()
        }
        peers = self._read_peers()
        if self._faults:
            return None
        return Settings(**parts, peers=peers)

    def _check_sections(self) -> None:
        known = (*_SECTIONS, _PEERS)
        for name in self._parser.sections():
            if name not in known:
                expected = _one_of(known)
                hint = _near(name, known)
                fault = UnknownSection(name, '', expected, name, hint)
                self._faults.append(fault)

    def _read_section(self, name: str, section_type: type[Any]) -> Any:
        texts = self._texts(name)
        hints = get_type_hints(section_type, include_extras=True)
        self._check_keys(name, texts, hints)
        values: dict[str, Any] = {}
        if section_type is DispatchSettings:
            values['policy'] = self._default_policy()
        for key, text in texts.items():
            hint = hints.get(key)
            if hint is not None:
                values[key] = self._read_key(name, key, hint, text)
        if self._lacks_keys(name, section_type, values):
            return None
        return section_type(**values)

    def _texts(self, name: str) -> dict[str, str | None]:
        if not self._parser.has_section(name):
            return {}
        return dict(self._parser.items(name))

    def _check_keys(
        self,
        name: str,
        texts: Iterable[str],
        known: Mapping[str, Any],
    ) -> None:
        for key in texts:
            if key not in known:
                expected = _one_of(known)
                hint = _near(key, known)
                fault = UnknownKey(name, key, expected, key, hint)
                self._faults.append(fault)

    def _default_policy(self) -> str:
        if _PREFERRED_POLICY in self._policies:
            return _PREFERRED_POLICY
        return _PLAIN_POLICY

    def _read_key(
        self,
        section: str,
        key: str,
        hint: Any,
        text: str | None,
    ) -> Any:
        try:
            found = read_value(hint, text or '')
        except NotReadable as error:
            self._reject(section, key, error.expected, text)
            return None
        if key == 'policy' and found not in self._policies:
            self._reject(section, key, _one_of(self._policies), text)
        return found

    def _reject(
        self,
        section: str,
        key: str,
        expected: str,
        text: str | None,
    ) -> None:
        self._faults.append(BadValue(section, key, expected, text or ''))

    def _lacks_keys(
        self,
        name: str,
        section_type: type[Any],
        values: Mapping[str, Any],
    ) -> bool:
        lacking = [
            spec
            for spec in dataclasses.fields(section_type)
            if spec.default is dataclasses.MISSING and spec.name not in values
        ]
        for spec in lacking:
            self._faults.append(MissingKey(name, spec.name, 'a value', ''))
        return bool(lacking)

    def _read_peers(self) -> tuple[PeerSettings, ...]:
        peers = []
        for name, text in self._texts(_PEERS).items():
            try:
                peers.append(read_peer(name, text or ''))
            except NotReadable as error:
                self._reject(_PEERS, name, error.expected, text)
        return tuple(peers)


def _one_of(names: Iterable[str]) -> str:
    listed = ', '.join(names)
    return f'one of {listed}'


def _near(name: str, known: Iterable[str]) -> str:
    matches = difflib.get_close_matches(name.lower(), list(known), n=1)
    return matches[0] if matches else ''


def _registered_policies() -> tuple[str, ...]:
    """List the dispatch policies; programs without one don't import them."""
    slots = import_module('cuminstack.slots')
    names: tuple[str, ...] = slots.policy_names()
    return names
