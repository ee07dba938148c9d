"""What can be wrong with a settings file."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SettingsFault:
    """One thing that must be mended before an instance can start.

    Args:
        section: Section of the file; empty where the fault is in none.
        key: Key in the section; empty where the section is at fault.
        expected: What may stand there, as a phrase.
        got: What stands there; empty where nothing does.
        hint: A known name that is close to an unknown one, or empty.
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
    """The file can't be opened, or a line of it is no INI."""


class UnknownSection(SettingsFault):
    """No section of this name exists."""


class UnknownKey(SettingsFault):
    """The section has no key of this name."""


class MissingKey(SettingsFault):
    """A key without a default is absent."""


class BadValue(SettingsFault):
    """The value is of another type, or out of range."""


class Inconsistent(SettingsFault):
    """The value contradicts another one."""


@dataclass(eq=False)
class SettingsFaults(Exception):
    """A settings file is at fault.

    Args:
        faults: Everything that is wrong with it, in the order of the file's
            sections.
    """

    faults: tuple[SettingsFault, ...]

    def __str__(self) -> str:
        return '\n'.join(map(str, self.faults))
