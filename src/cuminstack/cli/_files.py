"""Files named on the command line."""

from pathlib import Path

from cuminstack.cli._exit import CheckExitCode, ExitCode, exit_with_error


def read_file(path: str) -> bytes:
    """Read a file, or end the program if that fails."""
    return _read(path, ExitCode.usage)


def read_checked_file(path: str) -> bytes:
    """Read a file for `check`, or end the program if that fails."""
    # Sheets keep the exit code that they had before other kinds of files.
    is_sheet = path.endswith('.csv')
    return _read(path, ExitCode.usage if is_sheet else CheckExitCode.unreadable)


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


def _read(path: str, failure: ExitCode | CheckExitCode) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        exit_with_error(failure, str(error))
