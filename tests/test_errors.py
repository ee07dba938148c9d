"""Tests that the error dataclasses can be raised through context managers.

`contextlib` assigns `__traceback__` to an exception that passes through a
context manager, which fails for a frozen dataclass.
"""

import contextlib
from collections.abc import Iterator

import pytest

from cuminstack import wire
from cuminstack.settings import SettingsFaults


@contextlib.contextmanager
def null_context() -> Iterator[None]:
    yield


class TestPropagation:
    """Errors that pass through a context manager keep their type."""

    @pytest.mark.parametrize(
        'error',
        [wire.MalformedFrame('frame'), SettingsFaults(())],
    )
    def test_through_a_context_manager(self, error: Exception) -> None:
        with pytest.raises(type(error)), null_context():
            raise error
