"""Exit codes and error output of the command-line tool."""

import enum
import sys
from typing import NoReturn

from cuminstack.client import (
    BadAddress,
    ClientError,
    RequestRefused,
)
from cuminstack.queries import CheckReport, Severity


class ExitCode(enum.IntEnum):
    """Exit codes of the tool, which scripts can rely on."""

    #: The command succeeded.
    ok = 0
    #: An instance refused the request without effect, a sheet is invalid, or
    #: no log line mentions the job.
    refused = 1
    #: The command line is invalid or a file can't be read; nothing was sent.
    usage = 2
    #: No instance gave a usable response; the request may have taken effect.
    unreachable = 3


class CheckExitCode(enum.IntEnum):
    """Exit codes of `check` for desired states and settings."""

    #: Nothing was found, or only differences from the version in force.
    ok = 0
    #: There are warnings, but no errors.
    warnings = 1
    #: There are errors, or the command line is invalid.
    errors = 2
    #: The file, or the version in force, can't be read.
    unreadable = 3


def exit_code_of(error: ClientError) -> ExitCode:
    """Return the exit code for an error of a request."""
    if isinstance(error, BadAddress):
        return ExitCode.usage
    if isinstance(error, RequestRefused) and error.problem.not_run:
        return ExitCode.refused
    # The effect is unknown: a sheet without a quorum may still be accepted.
    return ExitCode.unreachable


def describe(error: ClientError) -> str:
    """Format an error for people, with one line for each fault of a sheet."""
    lines = [str(error)]
    if isinstance(error, RequestRefused):
        lines.extend(map(str, error.problem.faults))
    return '\n'.join(lines)


def exit_code_of_report(report: CheckReport) -> CheckExitCode:
    """Return the exit code for the findings in a file."""
    if report.has(Severity.error):
        return CheckExitCode.errors
    if report.has(Severity.warning):
        return CheckExitCode.warnings
    return CheckExitCode.ok


def exit_with_error(code: ExitCode | CheckExitCode, text: str) -> NoReturn:
    """Print an error and end the program."""
    sys.stderr.write(f'{text}\n')
    sys.exit(code)
