"""Exit codes and error output of the command-line tool."""

import enum

from cuminstack.client import (
    BadAddress,
    ClientError,
    RequestRefused,
)


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
