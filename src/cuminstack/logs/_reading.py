"""From a line of the log back to its fields."""

import json
from dataclasses import dataclass
from typing import Final

_DECODER: Final = json.JSONDecoder()


@dataclass(eq=False)
class BadLine(Exception):
    """A line that no instance wrote, or that was cut short."""

    line: str


def read_fields(line: str) -> dict[str, str]:
    """Give the fields of a line that `format_line` gave, by name.

    Raises:
        BadLine: It is something else.
    """
    fields: dict[str, str] = {}
    rest = line.strip()
    while rest:
        key, found, rest = rest.partition('=')
        if not found or ' ' in key:
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
