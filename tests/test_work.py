"""Tests of the counters of a process's work."""

from typing import cast

import pytest

from cuminstack.links import Mesh
from cuminstack.roles._work import WorkKind, WorkLog


class _FakeMesh:
    """A mesh with given frame counts."""

    frames_sent = 3
    frames_received = 2


class TestWorkLog:
    """The log record of each second, and the totals."""

    def test_record_holds_work_since_last_record(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        records: list[dict[str, object]] = []
        monkeypatch.setattr(
            'cuminstack.roles._work.log_event',
            lambda event, level, **values: records.append(values),
        )
        mesh = _FakeMesh()
        log = WorkLog(cast(Mesh, mesh))
        log.add(WorkKind.starts_decided, 5)
        log.tick(0.02, now=0)
        log.tick(0.02, now=0.32)
        log.tick(0.02, now=1)
        log.add(WorkKind.starts_decided)
        mesh.frames_sent = 4
        log.tick(0.02, now=2)
        first_record, second_record = records
        assert first_record['starts_decided'] == 5
        assert first_record['frames_sent'] == 3
        assert first_record['latest_turn'] == pytest.approx(0.66)
        assert second_record['starts_decided'] == 1
        assert second_record['frames_sent'] == 1
        assert not second_record['frames_received']
        assert log.totals['starts_decided'] == 6
