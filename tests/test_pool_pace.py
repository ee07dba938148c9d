"""The dispatcher while its own process is late."""

from bench.pool import JobPlan, PoolWorld

from cuminstack.pool import Hold, JobState, Noted, StartRun


class _Stalled(PoolWorld):
    """A world in which, once stalled, no order is carried out."""

    def __init__(self) -> None:
        self.is_stalled = False
        self.found: list[object] = []
        super().__init__()

    @property
    def fresh_holds(self) -> list[Hold]:
        return [
            each for each in self.found if isinstance(each, Hold) and each.fresh
        ]

    def perform(self, effects: tuple[object, ...]) -> None:
        if self.is_stalled:
            self.found.extend(effects)
        else:
            super().perform(effects)

    def tick(self, seconds: float) -> None:
        self.now += seconds
        self.perform(self.dispatcher.tick(now=self.now))


def _stall() -> _Stalled:
    world = _Stalled()
    world.is_stalled = True
    world.submit(JobPlan('a', 6, 0.1))
    assert any(isinstance(each, StartRun) for each in world.found)
    return world


class TestUnreadAnswers:
    """Answers have come, but the process has not read them yet."""

    # Guards against a metastable failure: a late process voids orders that
    # were answered, over new connections, which makes it later still.
    def test_late_process_voids_nothing(self) -> None:
        world = _stall()
        world.tick(0.5)
        assert not world.fresh_holds

    # A process that is always late must still notice orders without answers.
    def test_no_answer_is_noticed_by_a_late_process(self) -> None:
        world = _stall()
        for _ in range(5):
            world.tick(0.2)
        assert world.fresh_holds


class TestShedding:
    """The process gets more work than it can do."""

    # Guards against a process that takes ever more jobs while it falls
    # behind, until it serves none in time.
    def test_process_that_is_behind_refuses_at_once(self) -> None:
        world = PoolWorld()
        for _ in range(4):
            _tick(world, 0.2)
        world.submit(JobPlan('a', 1, 0.1))
        assert world.results['a'].state is None
        # One that may have run is never refused.
        world.submit(JobPlan('b', 1, 0.1), held=0.1)
        assert 'b' not in world.results

    def test_log_tells_of_it_once(self) -> None:
        world = _stall()
        for _ in range(8):
            world.tick(0.2)
        noted = [
            dict(each.values)
            for each in world.found
            if isinstance(each, Noted) and each.event == 'dispatcher.pace'
        ]
        assert [each['behind'] for each in noted] == [True]

    def test_process_that_has_caught_up_takes_jobs(self) -> None:
        world = PoolWorld()
        for _ in range(4):
            _tick(world, 0.2)
        world.run_for(0.5)
        world.submit(JobPlan('a', 1, 0.1))
        world.run_for(1)
        assert world.results['a'].state is JobState.completed

    # Guards against refusals after one pause of the process, from which it
    # catches up by itself.
    def test_one_pause_refuses_nobody(self) -> None:
        world = PoolWorld()
        world.run_for(0.5)
        _tick(world, 0.5)
        world.submit(JobPlan('a', 1, 0.1))
        assert 'a' not in world.results


def _tick(world: PoolWorld, seconds: float) -> None:
    world.now += seconds
    world.perform(world.dispatcher.tick(now=world.now))
