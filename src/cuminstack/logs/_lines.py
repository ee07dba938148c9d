"""From an eliot message to one line of text."""

import enum
import json
import re
from collections.abc import Iterator, Mapping
from datetime import UTC, datetime
from typing import Any, Final

#: Longest value of a field, in characters; the rest of it is cut off.
MAX_VALUE_CHARACTERS: Final = 2048

_ELLIPSIS: Final = '...'
_BARE: Final = re.compile(r'[A-Za-z0-9_.:/@+,~*\[\]-]+')
_KEY: Final = re.compile('[A-Za-z][A-Za-z0-9_]*')

# Fields that eliot adds; the time and the event stand first in a line.
_TIMESTAMP: Final = 'timestamp'
_LEADING: Final = ('level', 'message_type')
_OMITTED: Final = frozenset(
    (_TIMESTAMP, *_LEADING, 'task_uuid', 'task_level', 'action_status'),
)


def format_line(message: Mapping[str, Any]) -> str:
    """Give the line of a message, without a newline.

    A value stands bare if it is of plain characters, and otherwise as a
    JSON string of ASCII characters, so that a line never breaks and always
    splits in one way.

    Args:
        message: Fields of an eliot message, by name.
    """
    pairs = (f'{key}={_format(found)}' for key, found in _fields(message))
    return ' '.join(pairs)


def _fields(message: Mapping[str, Any]) -> Iterator[tuple[str, Any]]:
    moment = datetime.fromtimestamp(message.get(_TIMESTAMP, 0), UTC)
    yield 'time', moment.isoformat(timespec='microseconds')
    # Only eliot's own reports of trouble have no level.
    yield 'level', message.get('level', 'error')
    yield 'event', message.get('message_type', 'eliot')
    for key, found in message.items():
        if key not in _OMITTED and found is not None:
            yield _format_key(key), found


def _format_key(key: str) -> str:
    if _KEY.fullmatch(key):
        return key
    return re.sub('[^A-Za-z0-9_]', '_', f'x{key}')


def _format(found: Any) -> str:
    text = _text_of(found)
    if len(text) > MAX_VALUE_CHARACTERS:
        kept = text[: MAX_VALUE_CHARACTERS - len(_ELLIPSIS)]
        text = f'{kept}{_ELLIPSIS}'
    if _BARE.fullmatch(text):
        return text
    return json.dumps(text).replace('\x7f', r'\u007f')


def _text_of(found: Any) -> str:
    if isinstance(found, enum.Enum):
        return str(found.value)
    if isinstance(found, bool):
        return str(found).lower()
    if isinstance(found, BaseException):
        name = found.__class__.__name__
        return f'{name}: {found}'
    return str(found)
