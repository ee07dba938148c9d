"""Tests of claims over an in-memory network."""

from collections.abc import Sequence

import pytest

from cuminstack import wire
from cuminstack.claims import (
    AlreadyClaimed,
    Answer,
    Claim,
    Claimed,
    Claims,
    ClaimView,
    Limits,
    NoMajority,
    Settled,
    replicas,
)
from cuminstack.claims._outbox import Outbox
from cuminstack.core import InstanceId, Send
from fakes_claims import (
    LIMITS,
    ClaimDeployment,
    holder_of,
    is_given_up,
    make_job,
)
from fakes_network import make_instance, make_instances

A1 = InstanceId('a1')
NINE = ClaimView(1, make_instances(3, 3))
THREE = ClaimView(1, make_instances(3, 1))

FORMER = make_instances(3, 2)
NEXT = tuple(make_instance(name) for name in 'a1 a3 b1 b3 c1 c3'.split())
JOINT = ClaimView(2, NEXT, FORMER)
AFTER = ClaimView(3, NEXT)


def rolling_restart(
    deployment: ClaimDeployment,
    names: str,
    view: ClaimView,
) -> None:
    """Restart instances in turn, with time for each to recover."""
    for name in names.split():
        deployment.services.pop(name, None)
        deployment.start(name, view)
        deployment.run(2, step=0.25)


def claim_all(
    deployment: ClaimDeployment,
    name: str,
    keys: Sequence[str],
) -> None:
    """Claim all jobs at one instance and wait for the results."""
    for key in keys:
        deployment.claim(name, key)
    deployment.run(3, step=0.02)
    deployment.check_granted_once()


@pytest.fixture
def three() -> ClaimDeployment:
    return ClaimDeployment(THREE)


@pytest.fixture
def nine() -> ClaimDeployment:
    return ClaimDeployment(NINE)


class TestReplicas:
    """Choice of the instances that vote."""

    def test_one_in_each_zone(self) -> None:
        for number in range(50):
            chosen = replicas(make_job(f'j{number}'), NINE.instances)
            assert sorted(name[0] for name in chosen) == ['a', 'b', 'c']

    @pytest.mark.parametrize(
        ('zones', 'each', 'count'),
        [(1, 1, 1), (1, 2, 2), (1, 5, 3), (2, 2, 3), (5, 2, 3)],
    )
    def test_count_with_few_zones_or_instances(
        self,
        zones: int,
        each: int,
        count: int,
    ) -> None:
        chosen = replicas(make_job('j'), make_instances(zones, each))
        assert len(set(chosen)) == count
        assert len({name[0] for name in chosen}) == min(zones, count)

    def test_order_of_instances_does_not_matter(self) -> None:
        job = make_job('j')
        turned = tuple(reversed(NINE.instances))
        assert replicas(job, turned) == replicas(job, NINE.instances)


class TestClaim:
    """Claims without competing claimants."""

    def test_claimed_in_one_round_trip(self, nine: ClaimDeployment) -> None:
        nine.claim('a1', 'j')
        nine.run(0.01)
        assert nine.last_result('a1') == Claimed(make_job('j'))

    def test_resend_elsewhere_returns_the_holder(
        self,
        nine: ClaimDeployment,
    ) -> None:
        nine.claim('a1', 'j')
        nine.run(0.01)
        nine.claim('b2', 'j', b'other')
        nine.run(0.01)
        expected = AlreadyClaimed(make_job('j'), A1, 1, b'body', None)
        assert nine.last_result('b2') == expected

    def test_resend_returns_the_outcome(self, nine: ClaimDeployment) -> None:
        nine.claim('a1', 'j')
        nine.run(0.01)
        nine.finish('a1', 'j')
        nine.run(0.1)
        nine.kill('a1')
        nine.claim('c3', 'j')
        nine.run(0.01)
        expected = AlreadyClaimed(make_job('j'), A1, 1, b'body', b'done')
        assert nine.last_result('c3') == expected

    def test_outcome_is_resent_after_message_loss(
        self,
        three: ClaimDeployment,
    ) -> None:
        three.claim('a1', 'j')
        three.run(0.01)
        three.network.partition('a1', 'b1 c1')
        three.finish('a1', 'j')
        three.run(0.5)
        three.network.heal()
        three.run(1)
        three.kill('a1')
        three.claim('b1', 'j')
        three.run(0.01)
        assert three.last_result('b1').outcome == b'done'

    def test_second_claim_at_the_holder(self, three: ClaimDeployment) -> None:
        three.claim('a1', 'j')
        three.run(0.01)
        three.claim('a1', 'j')
        three.run(0.01)
        assert holder_of(three.last_result('a1')) == 'a1'
        three.check_granted_once()

    @pytest.mark.parametrize('count', [1, 2])
    def test_small_deployments(self, count: int) -> None:
        small = ClaimDeployment(ClaimView(1, make_instances(1, count)))
        small.claim('a1', 'j')
        small.run(0.01)
        assert small.last_result('a1') == Claimed(make_job('j'))


class TestRace:
    """Several claimants at the same time."""

    @pytest.mark.parametrize('seed', range(40))
    def test_three_claimants(self, seed: int) -> None:
        racers = ClaimDeployment(NINE, seed=seed)
        racers.network.jitter = 0.01
        for name in ('a1', 'b2', 'c3'):
            racers.claim(name, 'j')
        racers.run(0.5)
        racers.check_granted_once()
        assert len(racers.claimed) == 1
        assert len(racers.results) == 3
        losers = [
            holder_of(effect)
            for _, effect in racers.results
            if not isinstance(effect, Claimed)
        ]
        winner = racers.claimed[0][0]
        assert losers == [winner, winner]

    def test_split_vote_with_a_replica_down(
        self,
        three: ClaimDeployment,
    ) -> None:
        three.kill('c1')
        three.network.delay = 0.02
        three.claim('a1', 'j')
        three.claim('b1', 'j')
        three.run(3)
        assert not three.claimed
        assert is_given_up(three.last_result('a1'))
        assert is_given_up(three.last_result('b1'))


class TestNoMajority:
    """Replicas that can't be reached or don't vote."""

    def test_cut_off_zone(self, three: ClaimDeployment) -> None:
        three.network.partition('a1', 'b1 c1')
        three.claim('a1', 'j')
        three.run(3)
        assert is_given_up(three.last_result('a1'))
        three.claim('b1', 'j')
        three.run(0.1)
        assert three.last_result('b1') == Claimed(make_job('j'))

    def test_given_up_claim_is_never_granted_later(
        self,
        three: ClaimDeployment,
    ) -> None:
        three.network.cut('b1 c1', 'a1')
        three.claim('a1', 'j')
        three.run(3)
        assert is_given_up(three.last_result('a1'))
        three.network.heal()
        three.claim('b1', 'j')
        three.run(1)
        assert holder_of(three.last_result('b1')) == 'a1'
        assert not three.claimed
        three.claim('a1', 'j')
        three.run(1)
        assert three.claimed == [('a1', make_job('j'))]

    def test_late_votes_do_not_grant(self, three: ClaimDeployment) -> None:
        three.network.delay = 5
        three.claim('a1', 'j')
        three.run(30, step=0.1)
        assert is_given_up(three.last_result('a1'))
        assert not three.claimed

    def test_one_of_two_down(self) -> None:
        pair = ClaimDeployment(ClaimView(1, make_instances(1, 2)))
        pair.kill('a2')
        pair.claim('a1', 'j')
        pair.run(3)
        assert is_given_up(pair.last_result('a1'))

    def test_full_replicas_refuse(self) -> None:
        own = make_instance('a1', 1)
        claims = Claims(
            own,
            ClaimView(1, (own,)),
            limits=Limits(jobs=1),
            now=0,
        )
        claims.assume_fresh()
        claims.claim(make_job('j1'), b'', now=0)
        assert not claims.claim(make_job('j2'), b'', now=0)
        expected = NoMajority(make_job('j2'), (Answer.full,))
        assert claims.tick(now=3) == (expected,)


class TestMemoryLoss:
    """Replicas that restart with empty memory."""

    def test_two_failures_in_turn_lose_no_claim(
        self,
        three: ClaimDeployment,
    ) -> None:
        three.network.cut('a1', 'c1')
        three.claim('a1', 'j')
        three.run(0.01)
        three.network.heal()
        for name in ('a1', 'b1', 'a1', 'c1'):
            three.kill(name)
            three.start(name, THREE)
            three.run(2)
            assert three.services[name].votes_on_all_jobs
        three.claim('c1', 'j')
        three.run(1)
        assert holder_of(three.last_result('c1')) == 'a1'
        three.check_granted_once()

    def test_two_restarted_replicas_do_not_vote(
        self,
        three: ClaimDeployment,
    ) -> None:
        three.claim('a1', 'j')
        three.run(0.01)
        three.kill('a1', 'b1')
        three.start('a1', THREE)
        three.start('b1', THREE)
        three.run(3)
        three.claim('c1', 'k')
        three.run(3)
        given_up = three.last_result('c1')
        assert isinstance(given_up, NoMajority)
        assert Answer.not_ready in given_up.answers
        three.run(LIMITS.lifetime, step=0.5)
        three.claim('c1', 'k')
        three.run(1)
        assert three.last_result('c1') == Claimed(make_job('k'))

    def test_votes_from_before_a_restart_are_void(self) -> None:
        deployment = ClaimDeployment(NINE)
        first, second, third = replicas(make_job('j'), NINE.instances)
        early_claimant, late_claimant = sorted(
            set(deployment.services) - {first, second, third}
        )[:2]
        deployment.network.cut(early_claimant, f'{second} {third}')
        deployment.claim(early_claimant, 'j')
        deployment.run(0.01)
        deployment.kill(first)
        deployment.start(first, NINE)
        deployment.run(1)
        assert deployment.services[first].votes_on_all_jobs
        deployment.network.heal()
        deployment.network.cut(early_claimant, f'{first} {third}')
        deployment.network.cut(late_claimant, second)
        deployment.claim(late_claimant, 'j')
        deployment.run(3)
        deployment.check_granted_once()
        assert deployment.claimed == [(late_claimant, make_job('j'))]

    def test_knowledge_of_restarts_outlives_restarts(self) -> None:
        deployment = ClaimDeployment(NINE)
        first, second, third = replicas(make_job('j'), NINE.instances)
        early_claimant, late_claimant = sorted(
            set(deployment.services) - {first, second, third}
        )[:2]
        deployment.network.cut(early_claimant, f'{second} {third}')
        deployment.claim(early_claimant, 'j')
        deployment.run(0.01)
        for name in (first, second):
            deployment.kill(name)
            deployment.start(name, NINE)
            deployment.run(0.2)
        deployment.network.heal()
        deployment.network.cut(early_claimant, f'{first} {third}')
        deployment.network.cut(late_claimant, second)
        deployment.claim(late_claimant, 'j')
        deployment.run(3)
        deployment.check_granted_once()
        assert deployment.claimed == [(late_claimant, make_job('j'))]

    def test_restart_while_another_replica_is_down(
        self,
        nine: ClaimDeployment,
    ) -> None:
        jobs = [f'j{number}' for number in range(100)]
        voters = {key: replicas(make_job(key), NINE.instances) for key in jobs}
        mine = [key for key in jobs if 'a1' in voters[key]]
        apart = next(key for key in mine if 'c3' not in voters[key])
        shared = next(key for key in mine if 'c3' in voters[key])
        nine.kill('c3')
        nine.run(0.1)
        nine.kill('a1')
        nine.start('a1', NINE)
        nine.run(3)
        assert not nine.services['a1'].votes_on_all_jobs
        nine.claim('a2', shared)
        nine.run(3)
        assert is_given_up(nine.last_result('a2'))
        third = next(name for name in voters[apart] if name[0] == 'c')
        nine.kill(third)
        nine.claim('a2', apart)
        nine.run(1)
        assert nine.last_result('a2') == Claimed(make_job(apart))

    def test_lone_replica_waits_for_the_lifetime(self) -> None:
        view = ClaimView(1, make_instances(1, 1))
        lone = ClaimDeployment(view)
        lone.claim('a1', 'j')
        lone.kill('a1')
        lone.start('a1', view)
        lone.claim('a1', 'j')
        lone.run(3)
        assert is_given_up(lone.last_result('a1'))
        lone.check_granted_once()
        lone.run(LIMITS.lifetime, step=0.5)
        lone.claim('a1', 'k')
        assert lone.last_result('a1') == Claimed(make_job('k'))

    def test_large_handover_takes_several_pages(
        self,
        three: ClaimDeployment,
    ) -> None:
        for number in range(1201):
            three.claim('b1', f'j{number}')
        three.run(0.1)
        three.kill('a1')
        three.start('a1', THREE)
        three.run(1)
        assert three.services['a1'].votes_on_all_jobs
        assert len(three.services['a1']) == 1201


class TestLifetime:
    """Bounds on the memory of a replica, by time and by size."""

    def test_expiry_from_the_outcome(self, three: ClaimDeployment) -> None:
        three.claim('a1', 'j')
        three.run(LIMITS.lifetime / 2, step=0.5)
        three.finish('a1', 'j')
        three.run(LIMITS.lifetime * 0.75, step=0.5)
        assert len(three.services['b1']) == 1
        three.run(LIMITS.lifetime / 2, step=0.5)
        assert not len(three.services['b1'])

    def test_outcome_beyond_the_limit_is_discarded(self) -> None:
        own = make_instance('a1', 1)
        claims = Claims(
            own,
            ClaimView(1, (own,)),
            limits=Limits(outcome_bytes=3),
            now=0,
        )
        claims.assume_fresh()
        claims.claim(make_job('j'), b'', now=0)
        claims.record_outcome(make_job('j'), b'long')
        claims.tick(now=1)
        again = claims.claim(make_job('j'), b'', now=1)
        expected = AlreadyClaimed(make_job('j'), own.instance, 1, b'', None)
        assert again == (expected,)


class TestViewChange:
    """Change of the configured instances while claims are valid."""

    def test_claims_survive_the_change(self) -> None:
        keys = [f'j{number}' for number in range(40)]
        deployment = ClaimDeployment(ClaimView(1, FORMER))
        for key in keys:
            deployment.claim('a1', key)
        deployment.run(0.1)
        rolling_restart(deployment, 'a3 b3 c3', JOINT)
        deployment.run(LIMITS.lifetime / 2, step=0.25)
        for key in keys:
            deployment.finish('a1', key)
        deployment.run(LIMITS.lifetime / 2 + 2, step=0.25)
        rolling_restart(deployment, 'a1 a2 b1 b2 c1 c2', JOINT)
        claim_all(deployment, 'c3', keys)
        assert len(deployment.claimed) == len(keys)
        assert isinstance(deployment.last_result('c3'), AlreadyClaimed)

    def test_claims_of_the_joint_view_survive_its_end(self) -> None:
        keys = [f'j{number}' for number in range(40)]
        deployment = ClaimDeployment(JOINT)
        for extra in ('a2', 'b2', 'c2'):
            deployment.start(extra, JOINT)
            deployment.services[extra].assume_fresh()
        deployment.run(LIMITS.lifetime - 10, step=0.25)
        claim_all(deployment, 'a1', keys)
        deployment.run(11, step=0.25)
        deployment.kill('a2', 'b2', 'c2')
        rolling_restart(deployment, 'a1 a3 b1 b3 c1 c3', AFTER)
        claim_all(deployment, 'b3', keys)
        assert len(deployment.claimed) == len(keys)
        assert isinstance(deployment.last_result('b3'), AlreadyClaimed)

    def test_end_of_a_change_waits_for_the_lifetime(self) -> None:
        deployment = ClaimDeployment(JOINT)
        deployment.kill('a1')
        deployment.start('a1', ClaimView(3, NEXT))
        deployment.run(3)
        assert not deployment.services['a1'].votes_on_all_jobs

    def test_claimant_two_views_behind_is_refused(self) -> None:
        deployment = ClaimDeployment(ClaimView(3, FORMER))
        deployment.start('a1', ClaimView(1, FORMER))
        deployment.claim('a1', 'j')
        deployment.run(3)
        given_up = deployment.last_result('a1')
        assert isinstance(given_up, NoMajority)
        assert Answer.stale_view in given_up.answers


class TestMessageCount:
    """Network cost of a claim."""

    def test_six_frames_per_claim(self, nine: ClaimDeployment) -> None:
        own = next(
            name
            for name in nine.services
            if name not in replicas(make_job('j'), NINE.instances)
        )
        effects = nine.services[own].claim(make_job('j'), bytes(16), now=0)
        assert len([one for one in effects if isinstance(one, Send)]) == 3
        nine.apply(own, effects, 0)
        nine.run(0.01)
        assert nine.network.frames == 6


class TestOutbox:
    """Batched delivery of outcomes to the replicas."""

    def make_settled(self, size: int) -> Settled:
        claim = Claim(InstanceId('a1'), 1, b'digest', 1)
        return Settled(make_job('k'), claim, bytes(size), ())

    def test_outcomes_are_batched(self) -> None:
        outbox = Outbox()
        peer = InstanceId('b1')
        outbox.put(self.make_settled(10), [peer])
        assert len(outbox.flush(now=0)) == 1
        outbox.put(self.make_settled(10), [peer])
        outbox.put(self.make_settled(10), [peer])
        assert not outbox.flush(now=0.4)
        sends = outbox.flush(now=0.5)
        assert [len(each.message.settled) for each in sends] == [2]

    def test_stop_batching_sends_immediately(self) -> None:
        outbox = Outbox()
        outbox.put(self.make_settled(10), [InstanceId('b1')])
        outbox.flush(now=0)
        outbox.stop_batching()
        outbox.put(self.make_settled(10), [InstanceId('b1')])
        assert len(outbox.flush(now=0.01)) == 1

    def test_batches_fit_into_a_frame(self) -> None:
        outbox = Outbox()
        for _ in range(200):
            outbox.put(self.make_settled(65_536), [InstanceId('b1')])
        sizes = [len(wire.encode(each.message)) for each in outbox.flush(now=0)]
        assert len(sizes) > 1
        assert max(sizes) < wire.MAX_FRAME_BYTES
