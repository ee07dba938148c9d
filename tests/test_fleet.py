"""Who dispatches, and how entries keep their jobs with the dispatcher."""

from itertools import product
from typing import Any

from cuminstack.core import InstanceId, JobKey, Send
from cuminstack.fleet import (
    Answered,
    Completed,
    ControlBeat,
    DeputyElection,
    Dropped,
    Election,
    Ended,
    EntryBeat,
    EntryDesk,
    Failure,
    JobDesk,
    LeaderBeat,
    MayHaveRun,
    NotRun,
    Refused,
    Submit,
    Taken,
    Unknown,
    choose_deputies,
)
from cuminstack.fleet._entry_desk import LEADERLESS_SECONDS
from cuminstack.pool import (
    Dispatcher,
    JobRequest,
    JobState,
    QueueTerms,
    RefusalReason,
    Resources,
    Step,
    find_order,
)

ONE, TWO, ENTRY = (InstanceId(name) for name in ('c1', 'c2', 'entry'))
KEY = JobKey('job')
TERMS = QueueTerms('queue', 'desk')
REQUEST = JobRequest(KEY, 'queue', '', (Step(1, Resources(1000, 64)),))


def _beat(term: int, *, leads: bool, weight: int = 1) -> ControlBeat:
    return ControlBeat(term, leads, weight, 0, (ONE, TWO))


def _only(effects: tuple[Any, ...]) -> Any:
    assert len(effects) == 1
    return effects[0]


def _elect(own: InstanceId, seconds: float = 1) -> Election:
    election = Election(own, now=0)
    for moment in range(int(seconds * 50)):
        election.tick(weight=1, now=moment / 50)
    return election


class TestElection:
    """Which control instance leads."""

    def test_lone_instance_leads(self) -> None:
        assert _elect(ONE).term == 1

    def test_first_by_name_leads(self) -> None:
        election = Election(TWO, now=0)
        for moment in range(100):
            election.hear(ONE, _beat(0, leads=False), now=moment / 50)
            election.tick(weight=1, now=moment / 50)
        assert not election.term

    def test_restarted_instance_keeps_the_leader(self) -> None:
        election = Election(ONE, now=0)
        for moment in range(100):
            election.hear(TWO, _beat(7, leads=True), now=moment / 50)
            election.tick(weight=1, now=moment / 50)
        assert not election.term

    def test_silent_leader_is_succeeded(self) -> None:
        election = Election(ONE, now=0)
        election.hear(TWO, _beat(7, leads=True), now=1)
        for moment in range(100, 150):
            election.tick(weight=1, now=moment / 50)
        assert election.term == 8

    def test_leaving_leader_is_not_waited_for(self) -> None:
        election = Election(ONE, now=0)
        left = ControlBeat(
            7, leads=False, weight=1, revision=0, controls=(), leaves=True
        )
        for moment in range(100, 110):
            election.hear(TWO, left, now=moment / 50)
            election.tick(weight=1, now=moment / 50)
        assert election.term == 8

    def test_lighter_leader_resigns(self) -> None:
        election = _elect(ONE)
        election.hear(TWO, _beat(1, leads=True, weight=9), now=1)
        election.tick(weight=3, now=1)
        assert not election.term

    def test_heavier_leader_rises_above(self) -> None:
        election = _elect(ONE)
        election.hear(TWO, _beat(5, leads=True, weight=1), now=1)
        election.tick(weight=3, now=1)
        assert election.term == 6

    def test_entries_vouch_for_a_leader_out_of_sight(self) -> None:
        election = Election(ONE, now=0)
        for moment in range(100):
            election.hear_entry(ENTRY, TWO, now=moment / 50)
            election.tick(weight=1, now=moment / 50)
        assert not election.term

    def test_lost_terms_are_risen_above(self) -> None:
        election = _elect(ONE)
        election.hear_entry(ENTRY, ONE, now=2)
        election.fenced(now=2)
        election.hear_entry(ENTRY, ONE, now=2.5)
        election.fenced(now=2.5)
        assert election.term == 1
        election.fenced(now=3)
        assert election.term > 1

    def test_nobody_rises_for_no_entry(self) -> None:
        # Cut off from all entries, it would only take endpoints away from
        # the dispatcher that they have.
        election = _elect(ONE)
        election.hear_entry(ENTRY, TWO, now=2)
        for moment in range(20, 50):
            election.fenced(now=moment / 10)
        assert election.term == 1

    def test_term_of_an_entry_is_heard(self) -> None:
        election = _elect(ONE)
        election.hear_entry(ENTRY, None, term=7, now=2)
        assert election.highest_term == 7


ENTRIES = tuple(InstanceId(f'10.0.0.{number}:1') for number in range(1, 7))


class _Deputies:
    """Entries of a deployment whose control instances come and go."""

    def __init__(self, *, reach: int = 6) -> None:
        self.now: float = 0
        self.deputies = choose_deputies(ENTRIES)
        self.elections = {name: DeputyElection(name, now=0) for name in ENTRIES}
        self.controls = True
        self._reach = ENTRIES[:reach]

    @property
    def leaders(self) -> list[InstanceId]:
        return [name for name, one in self.elections.items() if one.term]

    def run(self, seconds: float, *, term: int = 3) -> None:
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            if self.controls:
                self._beat(term)
            self._exchange()
            for election in self.elections.values():
                election.tick(weight=1, now=self.now)

    def _beat(self, term: int) -> None:
        beat = LeaderBeat(
            term=term,
            stamp=self.now,
            controls=(ONE,),
            waiting={},
            deputies=self.deputies,
            entries=len(ENTRIES),
        )
        for election in self.elections.values():
            election.hear_leader(beat, now=self.now)

    def _exchange(self) -> None:
        leader = next(iter(self.leaders), None)
        for one, name in product(self._reach, self._reach):
            if one == name:
                continue
            self.elections[one].hear_entry(name, leader, now=self.now)
            if self.elections[name].misses_controls(now=self.now):
                beat = _beat(self.elections[name].term, leads=name == leader)
                self.elections[one].hear(name, beat, now=self.now)


class TestDeputies:
    """All control instances are lost, and the endpoints are not."""

    def test_they_are_spread_over_the_entries(self) -> None:
        assert choose_deputies(reversed(ENTRIES)) == ENTRIES[::2]
        assert choose_deputies(ENTRIES[:2]) == ENTRIES[:2]

    def test_none_leads_beside_control_instances(self) -> None:
        world = _Deputies()
        world.run(5)
        world.run(5, term=0)
        assert not world.leaders

    def test_one_leads_before_entries_refuse(self) -> None:
        world = _Deputies()
        world.run(2)
        world.controls = False
        world.run(LEADERLESS_SECONDS)
        assert world.leaders == [ENTRIES[0]]
        assert world.elections[ENTRIES[0]].term > 3
        world.run(5)
        assert world.leaders == [ENTRIES[0]]

    def test_one_that_is_cut_off_does_not_lead(self) -> None:
        world = _Deputies(reach=2)
        world.run(2)
        world.controls = False
        world.run(5)
        assert not world.leaders

    def test_control_instances_get_time_to_come_back(self) -> None:
        world = _Deputies()
        world.run(2)
        world.controls = False
        world.run(3)
        world.controls = True
        world.run(1, term=0)
        assert world.leaders == [ENTRIES[0]]
        world.run(1, term=0)
        assert not world.leaders

    def test_leading_control_instance_is_yielded_to(self) -> None:
        world = _Deputies()
        world.run(2)
        world.controls = False
        world.run(3)
        world.controls = True
        world.run(0.2, term=9)
        assert not world.leaders


class TestEntryDesk:
    """The entry's side of a job."""

    def _desk(self) -> EntryDesk:
        desk = EntryDesk(now=0)
        desk.hear_leader(ONE, LeaderBeat(1, 5, (), {}), now=0)
        return desk

    def _submit(self, desk: EntryDesk) -> tuple[Send | Answered, ...]:
        return desk.submit(REQUEST, TERMS, deadline=2, now=0)

    def test_job_goes_to_the_dispatcher(self) -> None:
        effect = _only(self._submit(self._desk()))
        assert isinstance(effect, Send)
        assert effect.to == ONE
        assert isinstance(effect.message, Submit)
        assert not effect.message.resumed

    def test_unanswered_submission_is_sent_again(self) -> None:
        desk = self._desk()
        self._submit(desk)
        assert desk.tick(now=0.2)
        desk.receive(ONE, Taken(KEY), now=0.2)
        assert not desk.tick(now=0.3)

    def test_answer(self) -> None:
        desk = self._desk()
        self._submit(desk)
        effects = desk.receive(ONE, Ended(KEY, JobState.completed), now=1)
        assert effects == (Answered(KEY, Completed(JobState.completed)),)
        assert not desk.waiting

    def test_refusal_is_not_run(self) -> None:
        desk = self._desk()
        self._submit(desk)
        refused = Refused(KEY, RefusalReason.overload, 1)
        effect = _only(desk.receive(ONE, refused, now=0.1))
        assert isinstance(effect, Answered)
        assert isinstance(effect.answer, NotRun)

    def test_refusal_after_a_change_may_have_run(self) -> None:
        desk = self._desk()
        self._submit(desk)
        desk.hear_leader(TWO, LeaderBeat(2, 5, (), {}), now=0.5)
        refused = Refused(KEY, RefusalReason.overload, 1)
        effect = _only(desk.receive(TWO, refused, now=0.6))
        assert isinstance(effect, Answered)
        assert isinstance(effect.answer, MayHaveRun)

    def test_forgotten_job_is_marked_as_resumed(self) -> None:
        desk = self._desk()
        self._submit(desk)
        desk.hear_leader(ONE, LeaderBeat(3, 6, (), {}), now=0.1)
        effect = _only(desk.receive(ONE, Unknown((KEY,)), now=0.2))
        assert isinstance(effect, Send)
        assert effect.message.resumed
        assert effect.message.held > 1

    def test_live_leader_is_kept_until_it_resigns(self) -> None:
        desk = self._desk()
        desk.hear_leader(TWO, LeaderBeat(9, 5, (), {}), now=0.1)
        assert desk.leader == ONE
        desk.hear_leader(ONE, LeaderBeat(0, 6, (), {}), now=0.2)
        desk.hear_leader(TWO, LeaderBeat(9, 6, (), {}), now=0.25)
        assert desk.leader == TWO

    def test_deadline_of_what_was_handed_over(self) -> None:
        desk = self._desk()
        self._submit(desk)
        answers = [
            effect
            for effect in desk.tick(now=2)
            if isinstance(effect, Answered)
        ]
        assert isinstance(answers[0].answer, MayHaveRun)

    def test_without_dispatcher_jobs_are_refused(self) -> None:
        desk = EntryDesk(now=0)
        assert not desk.submit(REQUEST, TERMS, deadline=9, now=0.5)
        late = _only(desk.tick(now=1.5))
        other = JobRequest(JobKey('other'), 'queue', '', REQUEST.steps)
        at_once = _only(desk.submit(other, TERMS, deadline=9, now=1.5))
        for effect in (late, at_once):
            assert isinstance(effect, Answered)
            assert isinstance(effect.answer, NotRun)


class TestLeavingEntry:
    """The entry was told to end, and its callers still wait."""

    # Guards against jobs that an entry takes and gives up without an answer
    # when it ends.
    def test_running_job_is_answered(self) -> None:
        desk = EntryDesk(now=0)
        desk.hear_leader(ONE, LeaderBeat(1, 5, (), {}), now=0)
        desk.submit(REQUEST, TERMS, deadline=60, now=0)
        desk.receive(ONE, Taken(KEY), now=0)
        desk.leave(answers_until=0.3)
        assert not desk.tick(now=0.2)
        dropped, answered = desk.tick(now=0.3)
        assert dropped == Send(ONE, Dropped(KEY))
        assert answered == Answered(KEY, MayHaveRun(Failure.leaving))

    def test_job_that_never_left_is_not_run(self) -> None:
        desk = EntryDesk(now=0)
        desk.submit(REQUEST, TERMS, deadline=60, now=0)
        desk.leave(answers_until=0.3)
        answer = _only(desk.tick(now=0.3)).answer
        assert isinstance(answer, NotRun)
        assert answer.reason == Failure.leaving.value

    def test_late_job_is_handed_over_with_time_left(self) -> None:
        desk = EntryDesk(now=0)
        desk.hear_leader(ONE, LeaderBeat(1, 5, (), {}), now=0)
        desk.leave(answers_until=0.3)
        sent = _only(desk.submit(REQUEST, TERMS, deadline=60, now=0.1))
        remaining_ms = sent.message.remaining * 1000
        assert round(remaining_ms) == 200

    # Guards against a caller that is told that its job has not run, as it
    # comes again to an entry that gave the job up before.
    def test_job_that_was_given_up_may_have_run(self) -> None:
        desk = EntryDesk(now=0)
        desk.hear_leader(ONE, LeaderBeat(1, 5, (), {}), now=0)
        desk.submit(REQUEST, TERMS, deadline=60, now=0)
        desk.leave(answers_until=0.3)
        desk.tick(now=0.3)
        again = _only(desk.submit(REQUEST, TERMS, deadline=60, now=0.35))
        assert again.answer == MayHaveRun(Failure.leaving)

    def test_job_without_time_left_is_refused_at_once(self) -> None:
        desk = EntryDesk(now=0)
        desk.hear_leader(ONE, LeaderBeat(1, 5, (), {}), now=0)
        desk.leave(answers_until=0.3)
        refused = _only(desk.submit(REQUEST, TERMS, deadline=60, now=0.3))
        assert isinstance(refused.answer, NotRun)
        assert not desk.waiting


class TestJobDesk:
    """The dispatcher's side of a job."""

    def _desk(self) -> JobDesk:
        order = find_order('useful-first')
        return JobDesk(Dispatcher(term=1, instance=1, order=order))

    def _submit(self, desk: JobDesk, *, resumed: bool) -> tuple[object, ...]:
        submit = Submit(
            REQUEST,
            TERMS,
            waited=0,
            remaining=2,
            stamp=10,
            resumed=resumed,
        )
        return desk.submit(ENTRY, submit, is_warm=True, now=10)

    def test_held_up_hand_over_is_not_taken(self) -> None:
        # Sent over a link that was cut, and delivered when the cut healed:
        # the entry may have told its caller since that the job was refused.
        desk = self._desk()
        desk.hear(ENTRY, EntryBeat(16, 1, ONE, ()), now=16)
        submit = Submit(REQUEST, TERMS, 0, 2, stamp=10, resumed=True)
        effects = desk.submit(ENTRY, submit, is_warm=True, now=16)
        assert not any(isinstance(effect, Send) for effect in effects)
        assert not desk.dispatcher.has_active_job(KEY)

    def test_no_endpoint_is_refused_at_once(self) -> None:
        (send, _) = self._submit(self._desk(), resumed=False)
        assert isinstance(send, Send)
        assert isinstance(send.message, Refused)

    def test_resumed_job_is_never_refused(self) -> None:
        desk = self._desk()
        send = _only(self._submit(desk, resumed=True))
        assert send == Send(ENTRY, Taken(KEY))

    def test_unlisted_job_is_dropped(self) -> None:
        desk = self._desk()
        self._submit(desk, resumed=True)
        desk.hear(ENTRY, EntryBeat(10.1, 1, ONE, ()), now=10.1)
        assert not desk.dispatcher.has_active_job(KEY)

    def test_unknown_job_is_asked_for(self) -> None:
        desk = self._desk()
        beat = EntryBeat(10.1, 1, ONE, (KEY,))
        assert desk.hear(ENTRY, beat, now=10.1) == (
            Send(ENTRY, Unknown((KEY,))),
        )

    def test_held_up_heartbeat_renews_nothing(self) -> None:
        desk = self._desk()
        self._submit(desk, resumed=True)
        desk.hear(ENTRY, EntryBeat(10.1, 1, ONE, (KEY,)), now=14)
        desk.tick(now=14)
        assert not desk.dispatcher.has_active_job(KEY)

    def test_other_entry_keeps_the_job(self) -> None:
        desk = self._desk()
        self._submit(desk, resumed=True)
        submit = Submit(REQUEST, TERMS, 0, 2, stamp=10, resumed=True)
        desk.submit(TWO, submit, is_warm=True, now=10)
        desk.drop(ENTRY, Dropped(KEY), now=10)
        assert desk.dispatcher.has_active_job(KEY)
