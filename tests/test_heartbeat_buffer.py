"""Tests of the buffering of endpoint heartbeats."""

from dataclasses import replace

from bench.pool import FakeWorker

from cuminstack.fleet import EndpointReports, HeartbeatBuffer

ENDPOINTS = 30


class TestHeartbeatBuffer:
    """Heartbeats are sent one by one only if something has changed."""

    # Guards against frames that grow with endpoints times instances although
    # nothing happens.
    def test_unchanged_heartbeats_share_a_frame(self) -> None:
        workers = [
            FakeWorker(f'w{number}', 1, rate=1) for number in range(ENDPOINTS)
        ]
        buffer = HeartbeatBuffer()
        assert all(buffer.add(each.report()) for each in workers)
        assert buffer.flush() is None
        for _ in range(2):
            assert not any(buffer.add(each.report()) for each in workers)
        reports = buffer.flush()
        assert reports is not None
        assert len(reports.reports) == ENDPOINTS
        # The latest heartbeat of each endpoint.
        assert {report.sequence for report in reports.reports} == {3}
        assert buffer.flush() is None

    # Guards against starts at an endpoint that has announced to leave.
    def test_change_is_sent_at_once(self) -> None:
        worker = FakeWorker('w0', 1, rate=1)
        buffer = HeartbeatBuffer()
        buffer.add(worker.report())
        buffer.add(worker.report())
        draining = replace(worker.report(), draining=True)
        assert buffer.add(draining) == EndpointReports((draining,))
        assert buffer.flush() is None

    def test_new_lifetime_is_sent_at_once(self) -> None:
        worker = FakeWorker('w0', 1, rate=1)
        buffer = HeartbeatBuffer()
        buffer.add(worker.report())
        worker.crash(now=0)
        assert buffer.add(worker.report())

    def test_silent_endpoints_are_removed(self) -> None:
        worker = FakeWorker('w0', 1, rate=1)
        buffer = HeartbeatBuffer()
        buffer.add(worker.report())
        buffer.add(worker.report())
        buffer.keep_only(())
        assert buffer.flush() is None
        assert buffer.add(worker.report())
