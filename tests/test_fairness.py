"""Tests of fair queueing: shares of members and order of their jobs."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminstack.fairness import (
    Demand,
    FairQueue,
    Share,
    get_job_order,
    job_order_names,
)


def _queue(**shares: float) -> FairQueue[str]:
    queue: FairQueue[str] = FairQueue()
    queue.apply_shares(
        {member: Share(weight) for member, weight in shares.items()},
    )
    return queue


def _put(
    queue: FairQueue[str],
    key: str,
    waiting: int = 1000,
    *,
    since: float = 0,
    lane: str = 'any',
) -> None:
    member = key.split('/')[0]
    queue.put(Demand(key, member, lane, waiting, since))


def _run_tasks(
    queue: FairQueue[str],
    turns: int,
    seconds: dict[str, float],
) -> Counter[str]:
    """Run tasks one after another.

    Args:
        queue: The queue.
        turns: The number of tasks to run.
        seconds: The run time of each task, by member.

    Returns:
        The used slot-milliseconds by member.
    """
    used: Counter[str] = Counter()
    for _ in range(turns):
        turn = queue.take()
        assert turn is not None
        queue.settle(turn, seconds[turn.member])
        used[turn.member] += int(1000 * seconds[turn.member])
    return used


class TestShares:
    """Members receive slot-seconds in proportion to their weights."""

    def test_slot_seconds_follow_weights(self) -> None:
        queue = _queue(a=2, b=1)
        _put(queue, 'a/1')
        _put(queue, 'b/1')
        used = _run_tasks(queue, 900, {'a': 0.1, 'b': 0.5})
        assert used['a'] / used['b'] == pytest.approx(2, rel=0.1)

    def test_sole_member_gets_all_turns(self) -> None:
        queue = _queue(a=1, b=1)
        _put(queue, 'a/1')
        assert _run_tasks(queue, 100, {'a': 1})['a'] == 100_000

    def test_idle_member_saves_up_little_credit(self) -> None:
        queue = _queue(a=1, b=1)
        _put(queue, 'a/1')
        _run_tasks(queue, 500, {'a': 1})
        _put(queue, 'b/1')
        used = _run_tasks(queue, 200, {'a': 1, 'b': 1})
        assert 0 < used['b'] - used['a'] <= 65_000
        used = _run_tasks(queue, 200, {'a': 1, 'b': 1})
        assert abs(used['b'] - used['a']) <= 2_000

    def test_concurrent_turns_are_shared(self) -> None:
        queue = _queue(a=1, b=1)
        _put(queue, 'a/1')
        _put(queue, 'b/1')
        taken: Counter[str] = Counter()
        for _ in range(40):
            turn = queue.take()
            assert turn is not None
            taken[turn.member] += 1
        assert taken == {'a': 20, 'b': 20}

    def test_capped_member_is_skipped(self) -> None:
        queue: FairQueue[str] = FairQueue()
        queue.apply_shares({'a': Share(100, max_slots=2), 'b': Share(1)})
        _put(queue, 'a/1')
        _put(queue, 'b/1', 3)
        turns = [queue.take() for _ in range(6)]
        members = [turn.member for turn in turns if turn is not None]
        assert sorted(members) == ['a', 'a', 'b', 'b', 'b']
        assert turns[0] is not None
        queue.settle(turns[0], 1)
        assert queue.take() is not None

    def test_slots_elsewhere_count_towards_cap(self) -> None:
        queue: FairQueue[str] = FairQueue()
        queue.apply_shares({'a': Share(1, max_slots=5)})
        _put(queue, 'a/1')
        queue.set_running_elsewhere('a', 3)
        assert [queue.take() is None for _ in range(3)] == [False, False, True]
        queue.set_running_elsewhere('a', 0)
        assert queue.take() is not None

    def test_use_elsewhere_is_charged(self) -> None:
        queue = _queue(a=1, b=1)
        _put(queue, 'a/1')
        _put(queue, 'b/1')
        queue.charge('a', 50)
        assert _run_tasks(queue, 50, {'a': 1, 'b': 1})['a'] < 5000

    def test_member_without_fitting_lane_is_skipped(self) -> None:
        queue = _queue(a=1, b=1)
        _put(queue, 'a/1', lane='large')
        _put(queue, 'b/1', lane='small')
        for _ in range(5):
            turn = queue.take(fits='small'.__eq__)
            assert turn is not None
            assert turn.member == 'b'

    @settings(derandomize=True, deadline=None, max_examples=30)
    @given(
        weights=st.lists(st.integers(1, 10), min_size=2, max_size=5),
        data=st.data(),
    )
    def test_used_shares_match_weights(
        self, weights: list[int], data: st.DataObject
    ) -> None:
        members = {f'm{number}': each for number, each in enumerate(weights)}
        queue = _queue(**members)
        seconds = {}
        for member in members:
            _put(queue, f'{member}/1', 100_000)
            seconds[member] = data.draw(st.floats(0.05, 2))
        used = _run_tasks(queue, 4000, seconds)
        total = sum(used.values())
        for member, weight in members.items():
            part = used[member] / total
            assert part == pytest.approx(weight / sum(weights), rel=0.15)


class TestOrder:
    """The order of the jobs of one member."""

    def test_small_job_goes_before_large_job(self) -> None:
        queue = _queue()
        _put(queue, 'a/plan', 1800)
        for _ in range(50):
            queue.take()
        _put(queue, 'a/quote', 1, since=1)
        turn = queue.take()
        assert turn is not None
        assert turn.key == 'a/quote'

    @pytest.mark.parametrize('name', job_order_names())
    def test_large_job_is_not_starved(self, name: str) -> None:
        queue: FairQueue[str] = FairQueue(order=get_job_order(name))
        _put(queue, 'a/plan', 400)
        served = 0
        for second in range(400):
            _put(queue, f'a/quote{second}', 2, since=second)
            for _ in range(2):
                turn = queue.take()
                assert turn is not None
                served += turn.key == 'a/plan'
                queue.settle(turn, 0.5)
        assert served > 200

    def test_equal_jobs_run_in_order_of_arrival(self) -> None:
        queue = _queue()
        _put(queue, 'a/1', 20)
        _put(queue, 'a/2', 20, since=0.01)
        turns = [queue.take() for _ in range(20)]
        assert {turn.key for turn in turns if turn} == {'a/1'}


class TestBookkeeping:
    """Adding, changing and removing demands."""

    def test_drop(self) -> None:
        queue = _queue()
        _put(queue, 'a/1', 10)
        queue.drop('a/1', 4)
        assert len(queue) == 6
        queue.drop('a/1')
        queue.drop('a/1')
        assert len(queue) == 0
        assert queue.take() is None

    def test_put_replaces(self) -> None:
        queue = _queue()
        _put(queue, 'a/1', 10)
        _put(queue, 'a/1', 3)
        assert len(queue) == 3
        demand = queue.demand('a/1')
        assert demand is not None
        assert demand.waiting == 3

    def test_released_turn_is_not_charged(self) -> None:
        queue = _queue(a=1, b=1)
        _put(queue, 'a/1')
        _put(queue, 'b/1')
        for _ in range(10):
            turn = queue.take()
            assert turn is not None
            assert turn.member == 'a'
            queue.release(turn)
        assert queue.running('a') == 0
