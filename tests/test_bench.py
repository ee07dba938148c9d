"""The bench's own decisions: workloads, the bound and the oracle."""

import pytest
from bench.arrivals import Job, Stream, generate, mean_run_time
from bench.bound import central_queue
from bench.oracle import Oracle, OutcomeKind, Told

STREAM = Stream('tkemali', 'order-desk', 0.5, 4)


class TestWorkload:
    """Jobs are those of their seed, and carry the load that was asked for."""

    def test_seed(self) -> None:
        first = generate((STREAM,), slots=8, seconds=20, seed=1)
        again = generate((STREAM,), slots=8, seconds=20, seed=1)
        other = generate((STREAM,), slots=8, seconds=20, seed=2)
        assert first == again
        assert first != other

    def test_load(self) -> None:
        jobs = generate((STREAM,), slots=8, seconds=2000, seed=1)
        busy = sum(sum(job.run_times) for job in jobs)
        assert busy == pytest.approx(0.5 * 8 * 2000, rel=0.05)
        assert mean_run_time() == pytest.approx(0.345, rel=0.02)


class TestBound:
    """The central queue waits only when every slot is taken."""

    def test_wait(self) -> None:
        jobs = [
            Job(0, STREAM, 'a', (1, 2)),
            Job(0.5, STREAM, 'b', (1,)),
        ]
        assert central_queue(jobs, slots=2, hop=0) == (2, 1.5)
        assert central_queue(jobs, slots=3, hop=0) == (2, 1)


class TestOracle:
    """Each broken promise is seen."""

    def told(self, kind: OutcomeKind, *, whole: bool = True) -> Told:
        return Told('m', 'k', 1, kind, whole)

    @pytest.mark.parametrize(
        ('starts', 'duplicates', 'kind', 'promise'),
        [
            (
                ['m~k~0~1', 'm~k~0~2'],
                [],
                OutcomeKind.failed,
                'at most one start',
            ),
            (
                ['m~k~0~1'],
                ['m~k~0~1'],
                OutcomeKind.complete,
                'no task id sent twice',
            ),
            (
                ['m~k~0~1'],
                [],
                OutcomeKind.refused,
                'not run means no start',
            ),
            ([], [], OutcomeKind.complete, 'complete means each task ran'),
        ],
    )
    def test_violation(
        self,
        starts: list[str],
        duplicates: list[str],
        kind: OutcomeKind,
        promise: str,
    ) -> None:
        oracle = Oracle([{'starts': starts, 'duplicates': duplicates}])
        (found,) = oracle.check([self.told(kind)])  # noqa: WPS460
        assert found.promise == promise

    def test_partial(self) -> None:
        oracle = Oracle([{'starts': ['m~k~0~1'], 'duplicates': []}])
        told = self.told(OutcomeKind.complete, whole=False)
        (found,) = oracle.check([told])  # noqa: WPS460
        assert found.promise == 'whole answers'

    def test_all_kept(self) -> None:
        oracle = Oracle([{'starts': ['m~k~0~1'], 'duplicates': []}])
        assert not oracle.check([self.told(OutcomeKind.complete)])
        assert not oracle.check([self.told(OutcomeKind.failed)])
