"""Formats an eliot message as one line of text."""

import enum
import json
import re
from collections.abc import Iterator, Mapping
from datetime import UTC, datetime
from typing import Any, Final

#: Maximum length of a field's value; longer ones are truncated.
MAX_VALUE_CHARACTERS: Final = 2048

_ELLIPSIS: Final = '...'
_UNQUOTED: Final = re.compile(r'[A-Za-z0-9_.:/@+,~*\[\]-]+')
_KEY: Final = re.compile('[A-Za-z][A-Za-z0-9_]*')

# Fields that eliot adds; a line begins with the time, level and event.
_TIMESTAMP: Final = 'timestamp'
_LEADING: Final = ('level', 'message_type')
_OMITTED: Final = frozenset(
    (_TIMESTAMP, *_LEADING, 'task_uuid', 'task_level', 'action_status'),
)


def format_line(message: Mapping[str, Any]) -> str:
    """Return the log line of a message, without a newline.

    A value of plain characters is written without quotes, and any other as a
    JSON string of ASCII characters, so that the line contains no line break
    and can be parsed unambiguously.

    Args:
        message: Fields of an eliot message, by name.
    """
    pairs = (f'{key}={_format(value)}' for key, value in _fields(message))
    return ' '.join(pairs)


def _fields(message: Mapping[str, Any]) -> Iterator[tuple[str, Any]]:
    time = datetime.fromtimestamp(message.get(_TIMESTAMP, 0), UTC)
    yield 'time', time.isoformat(timespec='microseconds')
    # Only eliot's own error messages have no level.
    yield 'level', message.get('level', 'error')
    yield 'event', message.get('message_type', 'eliot')
    for key, value in message.items():
        if key not in _OMITTED and value is not None:
            yield _format_key(key), value


def _format_key(key: str) -> str:
    if _KEY.fullmatch(key):
        return key
    return re.sub('[^A-Za-z0-9_]', '_', f'x{key}')


def _format(value: Any) -> str:
    text = _to_text(value)
    if len(text) > MAX_VALUE_CHARACTERS:
        truncated = text[: MAX_VALUE_CHARACTERS - len(_ELLIPSIS)]
        text = f'{truncated}{_ELLIPSIS}'
    if _UNQUOTED.fullmatch(text):
        return text
    return json.dumps(text).replace('\x7f', r'\u007f')


def _to_text(value: Any) -> str:
    if isinstance(value, enum.Enum):
        return str(value.value)
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, BaseException):
        name = value.__class__.__name__
        return f'{name}: {value}'
    return str(value)
