"""Tests of the durable file that stores a replica's state, with disk faults."""

import errno
import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from cuminstack.store import (
    Damaged,
    DurableFile,
    Loaded,
    Missing,
    Saved,
    StoreFailed,
)

_OLD = b'old' * 100
_NEW = b'new' * 100
_STEPS = ('open', 'write', 'fsync', 'replace')


def _fail_at(
    monkeypatch: pytest.MonkeyPatch,
    step: str,
    nth: int,
    error: BaseException,
) -> None:
    """Make the nth call of a function of `os` raise an error."""
    original: Callable[..., Any] = getattr(os, step)
    calls = iter(range(1, 100))

    def replacement(*args: Any, **options: Any) -> Any:
        if next(calls) == nth:
            raise error
        return original(*args, **options)

    monkeypatch.setattr(f'cuminstack.store._file.os.{step}', replacement)


@pytest.fixture
def file(tmp_path: Path) -> DurableFile:
    """Return a file that holds the old record."""
    durable = DurableFile(tmp_path / 'data')
    assert durable.save(_OLD) == Saved()
    return durable


class TestLoad:
    """Loading returns the saved record or reports damage."""

    def test_missing_file(self, tmp_path: Path) -> None:
        assert DurableFile(tmp_path / 'none').load() == Missing()

    def test_saved_record(self, file: DurableFile) -> None:
        assert file.load() == Loaded(_OLD)
        assert file.save(_NEW) == Saved()
        assert file.load() == Loaded(_NEW)

    @pytest.mark.parametrize('keep', [0, 5, 30, 60, 120])
    def test_truncated(
        self, file: DurableFile, tmp_path: Path, keep: int
    ) -> None:
        path = tmp_path / 'data' / 'register'
        path.write_bytes(path.read_bytes()[:keep])
        assert isinstance(file.load(), Damaged)

    def test_every_flipped_byte(
        self, file: DurableFile, tmp_path: Path
    ) -> None:
        path = tmp_path / 'data' / 'register'
        content = path.read_bytes()
        for index, byte in enumerate(content):
            flipped = bytearray(content)
            flipped[index] = byte ^ 1
            path.write_bytes(flipped)
            assert isinstance(file.load(), Damaged)

    def test_unreadable(self, tmp_path: Path) -> None:
        (tmp_path / 'register').mkdir()
        assert isinstance(DurableFile(tmp_path).load(), Damaged)


class TestSave:
    """A failed or interrupted save leaves either the old or the new record."""

    @pytest.mark.parametrize('step', _STEPS)
    @pytest.mark.parametrize('nth', [1, 2])
    def test_error_at_each_step(
        self,
        file: DurableFile,
        monkeypatch: pytest.MonkeyPatch,
        step: str,
        nth: int,
    ) -> None:
        reason = 'No space left on device'
        error = OSError(errno.ENOSPC, reason)
        with monkeypatch.context() as patch:
            _fail_at(patch, step, nth, error)
            outcome = file.save(_NEW)
        assert outcome in {Saved(), StoreFailed(errno.ENOSPC, reason)}
        after_rename = (step, nth) in {('open', 2), ('fsync', 2)}
        failed = isinstance(outcome, StoreFailed)
        newest = _NEW if after_rename or not failed else _OLD
        assert file.load() == Loaded(newest)
        assert file.save(_NEW) == Saved()

    @pytest.mark.parametrize('step', _STEPS)
    @pytest.mark.parametrize('nth', [1, 2])
    def test_interrupt_at_each_step(
        self,
        file: DurableFile,
        monkeypatch: pytest.MonkeyPatch,
        step: str,
        nth: int,
    ) -> None:
        with monkeypatch.context() as patch:
            _fail_at(patch, step, nth, KeyboardInterrupt())
            try:
                file.save(_NEW)
            except KeyboardInterrupt:
                assert file.load() in {Loaded(_OLD), Loaded(_NEW)}
        assert file.save(_NEW) == Saved()
        assert file.load() == Loaded(_NEW)

    def test_syncs_before_and_after_the_rename(
        self,
        file: DurableFile,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        calls: list[str] = []
        for step in ('fsync', 'replace'):
            original = getattr(os, step)

            def spy(
                *args: Any,
                _step: str = step,
                _original: Callable[..., Any] = original,
            ) -> Any:
                calls.append(_step)
                return _original(*args)

            monkeypatch.setattr(f'cuminstack.store._file.os.{step}', spy)
        file.save(_NEW)
        assert calls == ['fsync', 'replace', 'fsync']
