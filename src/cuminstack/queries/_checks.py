"""Checks of configuration files, by kind of file.

A kind is registered by the module that knows its format.  The package that
reads desired states imports this one, so it can't be imported from here.
"""

import enum
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

_Subject = TypeVar('_Subject')

#: Location and message of what a check has found.
Place = tuple[str, str]


class Severity(enum.Enum):
    """How serious a finding is, most serious first."""

    #: An instance would refuse the file.
    error = 'error'
    #: An instance would accept the file, but part of it has no effect or
    #: contradicts another part.
    warning = 'warning'
    #: The file differs from the version in force.
    difference = 'difference'


@dataclass(frozen=True, slots=True)
class Finding:
    """What a check has found in a file.

    Args:
        severity: How serious it is.
        check: Name of the check.
        location: JSON path, or section and key of an INI file.
        message: What is wrong, and what to change.
    """

    severity: Severity
    check: str
    location: str
    message: str

    def __str__(self) -> str:
        severity = self.severity.value
        return f'{severity} {self.location}: {self.message} ({self.check})'


@dataclass(frozen=True, slots=True)
class CheckReport:
    """The findings in a file.

    Args:
        kind: Name of the kind of file.
        findings: All findings, the most serious first.
    """

    kind: str
    findings: tuple[Finding, ...] = ()

    def has(self, severity: Severity) -> bool:
        """Return whether there is a finding of a severity."""
        return any(each.severity is severity for each in self.findings)


class NotComparable(Exception):
    """The version in force is malformed."""


class FileKind(Protocol):
    """A kind of configuration file that can be checked."""

    @property
    def name(self) -> str:
        """Name of the kind, for people."""

    @property
    def suffix(self) -> str:
        """Suffix of the names of such files, with the dot."""

    @property
    def openings(self) -> tuple[str, ...]:
        """Characters with which the text of such files can begin."""

    @property
    def live_path(self) -> str:
        """Path of the version in force at an instance; empty if none."""

    def find(self, text: str) -> Iterable[Finding]:
        """Return the findings in the text of a file."""

    def compare(self, text: str, in_force: str) -> Iterable[Finding]:
        """Return what changes with a file.

        Args:
            text: The text of the file.
            in_force: The text of the version in force.

        Raises:
            NotComparable: The version in force is malformed.
        """


_kinds: list[FileKind] = []
_KindClass = TypeVar('_KindClass', bound=type[FileKind])


def file_kind(kind: _KindClass) -> _KindClass:
    """Register the decorated class as a kind of file that can be checked."""
    _kinds.append(kind())
    return kind


def find_file_kind(path: str, text: str) -> FileKind | None:
    """Return the kind of a file by its suffix, else by its first character.

    Args:
        path: Path of the file.
        text: Its text.

    Returns:
        The kind; None if no kind of this form is registered.
    """
    for by_suffix in _kinds:
        if path.endswith(by_suffix.suffix):
            return by_suffix
    for by_opening in _kinds:
        if text.lstrip().startswith(by_opening.openings):
            return by_opening
    return None


def check_file(
    kind: FileKind, text: str, *, in_force: str | None = None
) -> CheckReport:
    """Check the text of a file.

    Args:
        kind: The kind of the file.
        text: The text.
        in_force: Text of the version in force; None to compare with none.

    Raises:
        NotComparable: The version in force is malformed.
    """
    findings = list(kind.find(text))
    if in_force is not None:
        findings.extend(kind.compare(text, in_force))
    order = list(Severity)
    findings.sort(key=lambda finding: order.index(finding.severity))
    return CheckReport(kind.name, tuple(findings))


class CheckRegistry(Generic[_Subject]):
    """The checks of one kind of file, each a function of its content."""

    def __init__(self) -> None:
        self._checks: list[_NamedCheck[_Subject]] = []

    def register(
        self, name: str, severity: Severity
    ) -> Callable[['_Check[_Subject]'], '_Check[_Subject]']:
        """Register the decorated function as a check.

        Args:
            name: Name that its findings show.
            severity: Severity of its findings.
        """

        def decorator(check: '_Check[_Subject]') -> '_Check[_Subject]':
            self._checks.append(_NamedCheck(name, severity, check))
            return check

        return decorator

    def run(self, subject: _Subject) -> Iterator[Finding]:
        """Yield the findings of all checks, in the order of registration."""
        for each in self._checks:
            for location, message in each.check(subject):
                yield Finding(each.severity, each.name, location, message)


_Check = Callable[[_Subject], Iterable[Place]]


@dataclass(frozen=True, slots=True)
class _NamedCheck(Generic[_Subject]):
    name: str
    severity: Severity
    check: '_Check[_Subject]'
