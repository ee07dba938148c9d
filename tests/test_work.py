"""What a process says of the work that it has done."""

from typing import cast

import pytest

from cuminstack.links import Mesh
from cuminstack.roles._work import Work, WorkLog


class _Links:
    """Links that have carried some frames."""

    frames_sent = 3
    frames_received = 2


class TestWorkLog:
    """The line of each second, and the totals."""

    def test_line_tells_what_came_since_the_last(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        lines: list[dict[str, object]] = []
        monkeypatch.setattr(
            'cuminstack.roles._work.log_event',
            lambda event, level, **values: lines.append(values),
        )
        links = _Links()
        log = WorkLog(cast(Mesh, links))
        log.add(Work.starts_decided, 5)
        log.turn(0.02, now=0)
        log.turn(0.02, now=0.32)
        log.turn(0.02, now=1)
        log.add(Work.starts_decided)
        links.frames_sent = 4
        log.turn(0.02, now=2)
        first, second = lines
        assert first['starts_decided'] == 5
        assert first['frames_sent'] == 3
        assert first['latest_turn'] == pytest.approx(0.66)
        assert second['starts_decided'] == 1
        assert second['frames_sent'] == 1
        assert not second['frames_received']
        assert log.totals['starts_decided'] == 6
