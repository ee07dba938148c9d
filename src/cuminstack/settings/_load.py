"""Loading and validation of an INI file of settings."""

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
_FALLBACK_POLICY: Final = 'local'


def load_settings(
    path: Path | str,
    *,
    policies: Sequence[str] | None = None,
) -> Settings:
    """Load and validate a settings file.

    Args:
        path: The file, encoded in UTF-8.
        policies: Valid names of a dispatch policy; if None, those of the
            registered policies.

    Raises:
        SettingsFaults: The file is invalid; holds all faults.
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
    """Parse and validate the text of a settings file.

    Args:
        text: The content of the file.
        policies: See `load_settings`.

    Raises:
        SettingsFaults: The text is invalid; holds all faults.
    """
    allowed = _registered_policies() if policies is None else tuple(policies)
    reader = _SettingsReader(_read_ini(text), allowed)
    settings = reader.read()
    faults = reader.faults
    if settings is not None:
        faults = (*faults, *inconsistencies(settings))
    if settings is None or faults:
        raise SettingsFaults(faults)
    return settings


def _read_ini(text: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        allow_no_value=True,
        # No section header can have an empty name, so there are no
        # defaults that apply to all sections.
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
        fault = UnreadableFile('', '', 'INI sections of key = value lines', got)
        raise SettingsFaults((fault,)) from error
    return parser


class _SettingsReader:
    """Builds settings from a parsed file, and collects all faults."""

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
        """The faults found so far."""
        return tuple(self._faults)

    def read(self) -> Settings | None:
        """Return the settings, or None if any fault was found."""
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
                hint = _closest_name(name, known)
                fault = UnknownSection(name, '', expected, name, hint)
                self._faults.append(fault)

    def _read_section(self, name: str, section_type: type[Any]) -> Any:
        texts = self._section_texts(name)
        hints = get_type_hints(section_type, include_extras=True)
        self._check_keys(name, texts, hints)
        values: dict[str, Any] = {}
        if section_type is DispatchSettings:
            values['policy'] = self._default_policy()
        for key, text in texts.items():
            hint = hints.get(key)
            if hint is not None:
                values[key] = self._read_setting(name, key, hint, text)
        if self._report_missing_keys(name, section_type, values):
            return None
        return section_type(**values)

    def _section_texts(self, name: str) -> dict[str, str | None]:
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
                hint = _closest_name(key, known)
                fault = UnknownKey(name, key, expected, key, hint)
                self._faults.append(fault)

    def _default_policy(self) -> str:
        if _PREFERRED_POLICY in self._policies:
            return _PREFERRED_POLICY
        return _FALLBACK_POLICY

    def _read_setting(
        self,
        section: str,
        key: str,
        hint: Any,
        text: str | None,
    ) -> Any:
        try:
            found = read_value(hint, text or '')
        except NotReadable as error:
            self._add_bad_value(section, key, error.expected, text)
            return None
        if key == 'policy' and found not in self._policies:
            self._add_bad_value(section, key, _one_of(self._policies), text)
        return found

    def _add_bad_value(
        self,
        section: str,
        key: str,
        expected: str,
        text: str | None,
    ) -> None:
        self._faults.append(BadValue(section, key, expected, text or ''))

    def _report_missing_keys(
        self,
        name: str,
        section_type: type[Any],
        values: Mapping[str, Any],
    ) -> bool:
        missing = [
            spec
            for spec in dataclasses.fields(section_type)
            if spec.default is dataclasses.MISSING and spec.name not in values
        ]
        for spec in missing:
            self._faults.append(MissingKey(name, spec.name, 'a value', ''))
        return bool(missing)

    def _read_peers(self) -> tuple[PeerSettings, ...]:
        peers = []
        for name, text in self._section_texts(_PEERS).items():
            try:
                peers.append(read_peer(name, text or ''))
            except NotReadable as error:
                self._add_bad_value(_PEERS, name, error.expected, text)
        return tuple(peers)


def _one_of(names: Iterable[str]) -> str:
    listed = ', '.join(names)
    return f'one of {listed}'


def _closest_name(name: str, known: Iterable[str]) -> str:
    matches = difflib.get_close_matches(name.lower(), list(known), n=1)
    return matches[0] if matches else ''


def _registered_policies() -> tuple[str, ...]:
    """Return the names of the registered dispatch policies.

    The policies are imported here and not at module level, so that callers
    that pass the names do not load the policy modules.
    """
    slots = import_module('cuminstack.slots')
    names: tuple[str, ...] = slots.policy_names()
    return names
