"""Tests of the dispatcher while its own process is late."""

from bench.pool import JobPlan, PoolWorld

from cuminstack.pool import Hold, LogEvent, StartRun


class _StallableWorld(PoolWorld):
    """A simulated pool that, once stalled, only records its orders."""

    def __init__(self) -> None:
        self.is_stalled = False
        self.recorded: list[object] = []
        super().__init__()

    @property
    def fresh_holds(self) -> list[Hold]:
        return [
            each
            for each in self.recorded
            if isinstance(each, Hold) and each.fresh
        ]

    def perform(self, effects: tuple[object, ...]) -> None:
        if self.is_stalled:
            self.recorded.extend(effects)
        else:
            super().perform(effects)

    def tick(self, seconds: float) -> None:
        self.now += seconds
        self.perform(self.dispatcher.tick(now=self.now))


def _stalled_world() -> _StallableWorld:
    world = _StallableWorld()
    world.is_stalled = True
    world.submit(JobPlan('a', 6, 0.1))
    assert any(isinstance(each, StartRun) for each in world.recorded)
    return world


class TestUnreadAnswers:
    """Answers that have arrived but that the process has not read yet."""

    # Guards against a metastable failure: a late process voids orders that
    # were answered, over new connections, which makes it even later.
    def test_late_process_voids_no_orders(self) -> None:
        world = _stalled_world()
        world.tick(0.5)
        assert not world.fresh_holds

    # A process that is always late must still detect orders without answers.
    def test_late_process_detects_missing_answers(self) -> None:
        world = _stalled_world()
        for _ in range(5):
            world.tick(0.2)
        assert world.fresh_holds


class TestLog:
    """Log events about the lateness of the process."""

    def test_lateness_is_logged_once(self) -> None:
        world = _stalled_world()
        for _ in range(8):
            world.tick(0.2)
        events = [
            dict(each.values)
            for each in world.recorded
            if isinstance(each, LogEvent) and each.event == 'dispatcher.pace'
        ]
        assert [each['behind'] for each in events] == [True]

    # A pause from which the process catches up by itself is not logged.
    def test_single_pause_is_not_logged(self) -> None:
        world = _stalled_world()
        world.tick(0.5)
        assert not any(isinstance(each, LogEvent) for each in world.recorded)
