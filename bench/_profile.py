"""Where a profiled process spent its time."""

import pstats
import re
from collections import Counter
from pathlib import Path
from typing import Final

_LINES: Final = 20

#: The part of the project, or the library, that a file belongs to.
_OWNERS: Final = (
    re.compile(r'/(cuminstack/[^/]+)'),
    re.compile('/site-packages/([^/]+)'),
    re.compile(r'/python3[.][0-9]+/([^/]+)'),
)

#: What the process did before it was ready, or while it waited.
_NOT_WORK: Final = frozenset(
    (
        "<method 'poll' of 'select.epoll' objects>",
        '<built-in method builtins.compile>',
        '<built-in method builtins.exec>',
        '<built-in method marshal.loads>',
        '<built-in method builtins.__build_class__>',
        "<method 'set_default_verify_paths' of '_ssl._SSLContext' objects>",
    ),
)


def describe_profile(path: Path) -> str:
    """Give the functions and the owners that took most of the time.

    Args:
        path: A file that cProfile wrote.
    """
    spent = _time_spent(path)
    owners: Counter[str] = Counter()
    functions: Counter[str] = Counter()
    for (file, line, name), seconds in spent.items():
        owner = _owner(file)
        owners[owner] += seconds
        functions[f'{owner} {name}:{line}'] += seconds
    total = sum(spent.values())
    return '\n'.join(
        (*_lines(owners, total), '', *_lines(functions, total), ''),
    )


def _time_spent(path: Path) -> Counter[tuple[str, int, str]]:
    stats = getattr(pstats.Stats(str(path)), 'stats')  # noqa: B009
    spent: Counter[tuple[str, int, str]] = Counter()
    for function, (_, _, own_seconds, _, _) in stats.items():
        if function[2] not in _NOT_WORK:
            spent[function] += own_seconds
    return spent


def _owner(file: str) -> str:
    matches = (pattern.search(file) for pattern in _OWNERS)
    found = next(filter(None, matches), None)
    return found[1] if found else 'built in'


def _lines(shares: Counter[str], total: float) -> list[str]:
    most = shares.most_common(_LINES)
    return [_line(name, seconds / total) for name, seconds in most]


def _line(name: str, share: float) -> str:
    percent = round(100 * share)
    return f'{percent}% {name}'
