"""Parses a log line into its fields."""

import json
from dataclasses import dataclass
from typing import Final

_DECODER: Final = json.JSONDecoder()


@dataclass(eq=False)
class BadLine(Exception):
    """A line that isn't in the format of the log, or is truncated."""

    line: str


def read_fields(line: str) -> dict[str, str]:
    """Parse a line that `format_line` formatted.

    Returns:
        The text of each field, by name.

    Raises:
        BadLine: The line isn't in this format.
    """
    fields: dict[str, str] = {}
    rest = line.strip()
    while rest:
        key, separator, rest = rest.partition('=')
        if not separator or ' ' in key:
            raise BadLine(line)
        if rest.startswith('"'):
            text, rest = _read_quoted(line, rest)
        else:
            text, _, rest = rest.partition(' ')
        fields[key] = text
    return fields


def _read_quoted(line: str, rest: str) -> tuple[str, str]:
    try:
        text, end = _DECODER.raw_decode(rest)
    except ValueError as error:
        raise BadLine(line) from error
    return str(text), rest[end:].lstrip(' ')
