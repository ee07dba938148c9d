"""Settings of an instance, read from an INI file.

The whole file is validated before any setting is used, and all of its faults
are reported together.
"""

from cuminstack.settings._faults import (
    BadValue,
    Inconsistent,
    MissingKey,
    SettingsFault,
    SettingsFaults,
    UnknownKey,
    UnknownSection,
    UnreadableFile,
)
from cuminstack.settings._load import load_settings, parse_settings
from cuminstack.settings._model import (
    DispatchSettings,
    InstanceSettings,
    LimitSettings,
    ListenSettings,
    LogLevel,
    LogSettings,
    PeerSettings,
    Settings,
    TimeoutSettings,
)
from cuminstack.settings._values import Address, NotReadable

__all__ = (
    'Address',
    'BadValue',
    'DispatchSettings',
    'Inconsistent',
    'InstanceSettings',
    'LimitSettings',
    'ListenSettings',
    'LogLevel',
    'LogSettings',
    'MissingKey',
    'NotReadable',
    'PeerSettings',
    'Settings',
    'SettingsFault',
    'SettingsFaults',
    'TimeoutSettings',
    'UnknownKey',
    'UnknownSection',
    'UnreadableFile',
    'load_settings',
    'parse_settings',
)
