"""How the tool ends."""

import enum

from cuminstack.client import (
    BadAddress,
    ClientError,
    RequestRefused,
)


class ExitCode(enum.IntEnum):
    """Exit codes, for scripts."""

    #: Done as asked.
    ok = 0
    #: An instance, or a check, said no.
    refused = 1
    #: The command line can't be understood; nothing was sent.
    usage = 2
    #: No instance gave a usable answer; what was sent may have been done.
    unreachable = 3


def exit_code_of(error: ClientError) -> ExitCode:
    """Tell how the tool ends after an error."""
    if isinstance(error, BadAddress):
        return ExitCode.usage
    if isinstance(error, RequestRefused) and error.problem.not_run:
        return ExitCode.refused
    # A sheet without a quorum may be accepted after all.
    return ExitCode.unreachable


def describe(error: ClientError) -> str:
    """Give an error as text for people, a line for each fault of a sheet."""
    lines = [str(error)]
    if isinstance(error, RequestRefused):
        lines.extend(map(str, error.problem.faults))
    return '\n'.join(lines)
