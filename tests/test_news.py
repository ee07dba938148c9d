"""What other instances are told of endpoints, and when."""

from dataclasses import replace

from bench.pool import FakeWorker

from cuminstack.fleet import EndpointGazette, EndpointNews

ENDPOINTS = 30


class TestEndpointGazette:
    """Heartbeats are told one by one only if something has changed."""

    # Guards against frames that grow with endpoints times instances, though
    # nothing happens.
    def test_one_frame_for_those_still_there(self) -> None:
        workers = [
            FakeWorker(f'w{number}', 1, rate=1) for number in range(ENDPOINTS)
        ]
        gazette = EndpointGazette()
        assert all(gazette.take(each.report()) for each in workers)
        assert gazette.issue() is None
        for _ in range(2):
            assert not any(gazette.take(each.report()) for each in workers)
        news = gazette.issue()
        assert news is not None
        assert len(news.reports) == ENDPOINTS
        # The newest of each.
        assert {report.sequence for report in news.reports} == {3}
        assert gazette.issue() is None

    # Guards against starts at an endpoint that has said that it leaves.
    def test_change_is_told_at_once(self) -> None:
        worker = FakeWorker('w0', 1, rate=1)
        gazette = EndpointGazette()
        gazette.take(worker.report())
        gazette.take(worker.report())
        draining = replace(worker.report(), draining=True)
        assert gazette.take(draining) == EndpointNews((draining,))
        assert gazette.issue() is None

    def test_new_lifetime_is_told_at_once(self) -> None:
        worker = FakeWorker('w0', 1, rate=1)
        gazette = EndpointGazette()
        gazette.take(worker.report())
        worker.crash(now=0)
        assert gazette.take(worker.report())

    def test_silent_endpoints_are_forgotten(self) -> None:
        worker = FakeWorker('w0', 1, rate=1)
        gazette = EndpointGazette()
        gazette.take(worker.report())
        gazette.take(worker.report())
        gazette.keep_only(())
        assert gazette.issue() is None
        assert gazette.take(worker.report())
