"""Files named on the command line."""

from pathlib import Path

from cuminstack.cli._exit import CheckExitCode, ExitCode, exit_with_error


def read_file(
    path: str, *, failure: ExitCode | CheckExitCode = ExitCode.usage
) -> bytes:
    """Read a file, or end the program if that fails.

    Args:
        path: Path of the file.
        failure: Exit code if it can't be read.
    """
    try:
        return Path(path).read_bytes()
    except OSError as error:
        exit_with_error(failure, str(error))


def decode_text(path: str, body: bytes) -> str:
    """Decode the content of a checked file, or end the program.

    Args:
        path: Path of the file.
        body: Its content, encoded in UTF-8.
    """
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        exit_with_error(CheckExitCode.unreadable, f'{path}: {error}')
