"""Errors as exceptions: they pass through everything that handles them."""

import contextlib
from collections.abc import Iterator

import pytest

from cuminstack import wire
from cuminstack.settings import SettingsFaults


@contextlib.contextmanager
def passing() -> Iterator[None]:
    yield


class TestRaise:
    """A context manager sets the traceback of what it lets through."""

    @pytest.mark.parametrize(
        'error',
        [wire.MalformedFrame('frame'), SettingsFaults(())],
    )
    def test_through_a_context_manager(self, error: Exception) -> None:
        with pytest.raises(type(error)), passing():
            raise error
