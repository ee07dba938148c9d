"""Faults of a settings file."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """A fault that must be corrected before an instance can start.

    Args:
        section: Section of the file; empty if the fault is outside of all
            sections.
        key: Key in the section; empty if the fault is that of the section.
        expected: Noun phrase that describes the valid values.
        got: The invalid text; empty if there is none.
        hint: Known name that resembles an unknown one; empty if there is none.
    """

    section: str
    key: str
    expected: str
    got: str
    hint: str = ''

    def __str__(self) -> str:
        parts = [
            f'[{self.section}] {self.key}'.strip(),
            f'expected {self.expected}',
            f'got {self.got!r}' if self.got else 'got nothing',
        ]
        if self.hint:
            parts.append(f'did you mean {self.hint!r}?')
        return ': '.join((parts[0], ', '.join(parts[1:])))


class UnreadableFile(SettingsFault):
    """The file cannot be read, or is not valid INI."""


class UnknownSection(SettingsFault):
    """There is no section of this name."""


class UnknownKey(SettingsFault):
    """The section has no key of this name."""


class MissingKey(SettingsFault):
    """A key without a default value is absent."""


class BadValue(SettingsFault):
    """The value has another type, or is out of range."""


class Inconsistent(SettingsFault):
    """The value contradicts another one."""


@dataclass(eq=False)
class SettingsFaults(Exception):
    """A settings file is invalid.

    Args:
        faults: All faults of the file, in the order in which the sections
            are checked.
    """

    faults: tuple[SettingsFault, ...]

    def __str__(self) -> str:
        return '\n'.join(map(str, self.faults))
