"""Passes over the tests that KNOWN-RED.txt names, and over no others."""

from pathlib import Path

import pytest

KNOWN_RED = Path(__file__).parents[1] / 'KNOWN-RED.txt'


def known_red() -> frozenset[str]:
    """Give the node ids in lines like `test: NODE_ID`."""
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text().splitlines()
    marked = (line.partition('test: ') for line in lines)
    return frozenset(after for _, mark, after in marked if mark)


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Expect that the known ones may fail."""
    red = known_red()
    for test in items:
        if test.nodeid in red:
            test.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))
