"""Tests of the leader election, and of jobs between entry and dispatcher."""

from dataclasses import replace
from itertools import product
from typing import Any

import pytest

from cuminstack.core import InstanceId, JobKey, Send
from cuminstack.fleet import (
    Answered,
    Completed,
    ControlBeat,
    DeputyElection,
    DispatcherClient,
    DispatcherService,
    Dropped,
    Election,
    Ended,
    EntryBeat,
    Failure,
    HeardDispatcher,
    LeaderBeat,
    MayHaveRun,
    NotRun,
    Refused,
    Submit,
    Taken,
    UnknownJobs,
    choose_deputies,
)
from cuminstack.fleet._dispatcher_client import LEADERLESS_SECONDS
from cuminstack.pool import (
    MAX_TERM,
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


#: Terms with an objective shortly after the run time of a job.
PROMPT = QueueTerms('queue', 'desk', stretch=1.6, slack=0.06)


def _declare(seconds: float, *, key: str = KEY) -> JobRequest:
    """Return a job with a declared run time."""
    step = Step(1, Resources(1000, 64), estimate=seconds)
    return JobRequest(JobKey(key), 'queue', '', (step,))


def _control_beat(term: int, *, leads: bool, weight: int = 1) -> ControlBeat:
    return ControlBeat(term, leads, weight, 0, (ONE, TWO))


def _only(effects: tuple[Any, ...]) -> Any:
    assert len(effects) == 1
    return effects[0]


def _run_alone(
    own: InstanceId, seconds: float = 1, *, highest_term: int = 0
) -> Election:
    election = Election(own, highest_term=highest_term, now=0)
    for moment in range(int(seconds * 50)):
        election.tick(weight=1, now=moment / 50)
    return election


def _start_among(*, leaderless: tuple[bool, ...], seconds: float) -> Election:
    """Start an instance that hears others which know no dispatcher, or do."""
    election = Election(ONE, now=0)
    for step in range(1, int(seconds * 50) + 1):
        now = step / 50
        for number, knows_none in enumerate(leaderless):
            beat = replace(_control_beat(0, leads=False), leaderless=knows_none)
            election.receive_beat(InstanceId(f'{TWO}{number}'), beat, now=now)
        election.tick(weight=1, now=now)
    return election


class TestElection:
    """Election among control instances."""

    def test_lone_instance_leads(self) -> None:
        assert _run_alone(ONE).term == 1

    def test_first_by_name_leads(self) -> None:
        election = Election(TWO, now=0)
        for moment in range(100):
            election.receive_beat(
                ONE, _control_beat(0, leads=False), now=moment / 50
            )
            election.tick(weight=1, now=moment / 50)
        assert not election.term

    def test_restarted_instance_follows_the_leader(self) -> None:
        election = Election(ONE, now=0)
        for moment in range(100):
            election.receive_beat(
                TWO, _control_beat(7, leads=True), now=moment / 50
            )
            election.tick(weight=1, now=moment / 50)
        assert not election.term

    def test_silent_leader_is_succeeded(self) -> None:
        election = Election(ONE, now=0)
        election.receive_beat(TWO, _control_beat(7, leads=True), now=1)
        for moment in range(100, 150):
            election.tick(weight=1, now=moment / 50)
        assert election.term == 8

    def test_leaving_leader_is_succeeded_at_once(self) -> None:
        election = Election(ONE, now=0)
        left = ControlBeat(
            7, leads=False, weight=1, revision=0, controls=(), leaves=True
        )
        for moment in range(100, 110):
            election.receive_beat(TWO, left, now=moment / 50)
            election.tick(weight=1, now=moment / 50)
        assert election.term == 8

    def test_leader_with_less_weight_resigns(self) -> None:
        election = _run_alone(ONE)
        election.receive_beat(
            TWO, _control_beat(1, leads=True, weight=9), now=1
        )
        election.tick(weight=3, now=1)
        assert not election.term

    def test_leader_with_more_weight_begins_new_term(self) -> None:
        election = _run_alone(ONE)
        election.receive_beat(
            TWO, _control_beat(5, leads=True, weight=1), now=1
        )
        election.tick(weight=3, now=1)
        assert election.term == 6

    # Guards against a candidate that was paused and leads beside an instance
    # whose heartbeats it hasn't read yet.
    def test_paused_candidate_reads_before_it_leads(self) -> None:
        election = Election(ONE, now=0)
        for moment in range(28):
            election.tick(weight=1, now=moment / 50)
        assert not election.term
        election.tick(weight=1, now=2)
        assert not election.term
        election.receive_beat(TWO, _control_beat(3, leads=True), now=2.01)
        election.tick(weight=1, now=2.2)
        assert not election.term

    # Guards against a dispatcher that was paused and outranks its successor,
    # as the heartbeats that came meanwhile are from before entries followed it.
    def test_paused_leader_without_entries_resigns(self) -> None:
        election = _run_alone(ONE, seconds=3)
        term = election.term
        election.receive_beat(
            TWO, _control_beat(term + 1, leads=True, weight=1), now=3.8
        )
        for entry in ('e1', 'e2'):
            election.record_leader_report(
                InstanceId(entry), TWO, term=term + 1, now=3.81
            )
        election.tick(weight=2, now=3.82)
        assert not election.term

    def test_leader_that_entries_report_is_kept(self) -> None:
        election = Election(ONE, now=0)
        for moment in range(100):
            election.record_leader_report(ENTRY, TWO, now=moment / 50)
            election.tick(weight=1, now=moment / 50)
        assert not election.term

    # Guards against half a second without a dispatcher after a loss of power of
    # all instances, in which each waits for a dispatcher that there isn't.
    def test_restart_of_all_elects_early(self) -> None:
        election = _start_among(leaderless=(True, True), seconds=0.36)
        assert election.term == 1

    # Guards against a restarted instance that leads beside a dispatcher whose
    # heartbeats have not arrived yet.
    @pytest.mark.parametrize('leaderless', [(True, False), (True,), ()])
    def test_possible_dispatcher_is_waited_for(
        self, leaderless: tuple[bool, ...]
    ) -> None:
        assert not _start_among(leaderless=leaderless, seconds=0.46).term
        assert _start_among(leaderless=leaderless, seconds=0.7).term

    # Guards against control instances that are back after they were all lost,
    # and leave the endpoints to slower deputies for seconds.
    def test_informed_control_relieves_deputies(self) -> None:
        election = Election(ONE, now=0)
        for step in range(20):
            now = step / 10
            for name in ENTRIES:
                election.record_leader_report(name, ENTRIES[0], now=now)
            knows_endpoints = now > 1
            election.tick(weight=1, now=now, relieves_deputies=knows_endpoints)
            assert not election.term or knows_endpoints
        assert election.term

    # Guards against a second in which endpoints of a zone refuse all orders
    # after its partition has healed: the zone's dispatcher resigned before its
    # first heartbeat arrived, so the other one never knew it as a rival.
    def test_term_of_a_resigned_leader_is_outranked(self) -> None:
        election = _run_alone(ONE)
        resigned = replace(_control_beat(4, leads=False), resigned_term=4)
        election.receive_beat(TWO, resigned, now=1)
        assert election.term == 5
        election.receive_beat(TWO, resigned, now=1.1)
        election.tick(weight=3, now=1.1)
        assert election.term == 5

    def test_fenced_leader_begins_later_term(self) -> None:
        election = _run_alone(ONE)
        election.record_leader_report(ENTRY, ONE, now=2)
        election.handle_fenced(1, has_obeyed=False, now=2)
        election.record_leader_report(ENTRY, ONE, now=2.5)
        election.handle_fenced(1, has_obeyed=False, now=2.5)
        assert election.term == 1
        election.handle_fenced(1, has_obeyed=False, now=3)
        assert election.term > 1

    # Guards against run numbers and tokens that leave their range: while two
    # dispatchers outranked each other in turn, the term doubled each time.
    def test_rivals_out_of_reach_raise_terms_slowly(self) -> None:
        rivals = (_run_alone(ONE), _run_alone(TWO, highest_term=1))
        obeyed = 0
        for moment in range(10, 610):
            now = moment / 10
            for own, election in zip((ONE, TWO), rivals, strict=True):
                election.record_leader_report(ENTRY, own, now=now)
                if election.term >= obeyed:
                    obeyed = election.term
                else:
                    election.handle_fenced(
                        election.term, has_obeyed=True, now=now
                    )
        # Each of them outranks the other at most once a second.
        assert 30 <= obeyed <= 62

    # Guards against two dispatchers that take the endpoints from each other for
    # as long as they can't talk, though entries hear both.
    @pytest.mark.parametrize(
        ('change', 'leads'),
        [
            ({}, False),
            ({'reach': 3}, False),
            ({'reach': 2}, True),
            ({'term': 1}, True),
        ],
    )
    def test_outreached_leader_resigns(
        self, change: dict[str, Any], leads: bool
    ) -> None:
        election = _run_alone(ONE)
        heard = replace(HeardDispatcher(TWO, term=2, reach=9), **change)
        for entry in ENTRIES[:3]:
            election.record_leader_report(entry, ONE, heard=(heard,), now=1)
        election.tick(weight=3, now=1)
        assert bool(election.term) is leads
        assert election.highest_term == max(1, heard.term)

    # Guards against entries without a dispatcher: only some of them hear the
    # other one.
    def test_leader_that_only_few_could_leave_is_kept(self) -> None:
        election = _run_alone(ONE)
        heard = HeardDispatcher(TWO, term=2, reach=9)
        for entry in ENTRIES[:4]:
            election.record_leader_report(entry, ONE, now=1)
        for entry in ENTRIES[:2]:
            election.record_leader_report(entry, ONE, heard=(heard,), now=1)
        election.tick(weight=3, now=1)
        assert election.term

    # Guards against a dispatcher that has resigned and leads again before its
    # entries follow the other one.
    def test_outreached_instance_does_not_lead(self) -> None:
        election = Election(ONE, now=0)
        heard = HeardDispatcher(TWO, term=2, reach=9)
        for moment in range(100):
            now = moment / 50
            election.record_leader_report(ENTRY, None, heard=(heard,), now=now)
            election.tick(weight=1, now=now)
        assert not election.term

    def test_rival_in_touch_is_weighed_directly(self) -> None:
        election = _run_alone(ONE)
        heard = HeardDispatcher(TWO, term=2, reach=9)
        election.record_leader_report(ENTRY, ONE, heard=(heard,), now=1)
        beat = _control_beat(2, leads=True, weight=1)
        election.receive_beat(TWO, beat, now=1)
        election.tick(weight=3, now=1)
        assert election.term == 3

    # Guards against terms whose tokens no endpoint can read: an instance of an
    # earlier version may still tell them.
    @pytest.mark.parametrize('term', [MAX_TERM + 1, 2**300])
    def test_term_out_of_range_is_not_followed(self, term: int) -> None:
        election = _run_alone(ONE, highest_term=term)
        beat = replace(_control_beat(term, leads=True), resigned_term=term)
        for moment in range(1, 20):
            now = 1 + moment / 50
            election.receive_beat(TWO, beat, now=now)
            election.record_leader_report(ENTRY, ONE, term=term, now=now)
            election.tick(weight=3, now=now)
        assert election.term == 1

    def test_term_is_renewed_while_leading(self) -> None:
        election = _run_alone(ONE)
        election.renew_term(1, now=1)
        assert election.term == 2
        election.renew_term(1, now=1)
        assert election.term == 2
        election.leave()
        election.renew_term(0, now=1)
        assert not election.term

    def test_terms_end_at_the_last_one(self) -> None:
        election = _run_alone(ONE, highest_term=MAX_TERM - 1)
        election.receive_beat(
            TWO, _control_beat(MAX_TERM, leads=True, weight=1), now=1
        )
        election.tick(weight=3, now=1)
        assert election.term == MAX_TERM

    def test_lost_term_is_found_soon(self) -> None:
        election = _run_alone(ONE)
        lost_term = 1_000_000
        for moment in range(10, 250):
            election.record_leader_report(ENTRY, ONE, now=moment / 10)
            if election.term <= lost_term:
                election.handle_fenced(
                    election.term, has_obeyed=False, now=moment / 10
                )
        assert lost_term < election.term < 3 * lost_term

    # Guards against a dispatcher that outranks its successor at once, as an
    # endpoint had refused an order long before.
    def test_fencing_has_to_last(self) -> None:
        election = _run_alone(ONE)
        for now in (2, 2.5, 9, 9.5):
            election.record_leader_report(ENTRY, ONE, now=now)
            election.handle_fenced(1, has_obeyed=True, now=now)
        assert election.term == 1

    # Guards against a second term right after the first one, by refusals that
    # endpoints had sent before it began.
    def test_refusals_of_an_ended_term_are_ignored(self) -> None:
        election = _run_alone(ONE)
        for now in (2, 2.5, 3, 3.01, 4.1):
            election.record_leader_report(ENTRY, ONE, now=now)
            election.handle_fenced(1, has_obeyed=True, now=now)
        term = election.term
        assert term > 1
        election.handle_fenced(term, has_obeyed=True, now=4.2)
        assert election.term == term

    # Guards against a dispatcher that no entry follows and that takes
    # endpoints away from the one that entries have.
    def test_leader_without_entries_begins_no_term(self) -> None:
        election = _run_alone(ONE)
        election.record_leader_report(ENTRY, TWO, now=2)
        for moment in range(20, 50):
            election.handle_fenced(1, has_obeyed=False, now=moment / 10)
        assert election.term == 1

    def test_term_that_an_entry_reports_is_recorded(self) -> None:
        election = _run_alone(ONE)
        election.record_leader_report(ENTRY, None, term=7, now=2)
        assert election.highest_term == 7


ENTRIES = tuple(InstanceId(f'10.0.0.{number}:1') for number in range(1, 7))


class _DeputyHarness:
    """Elections of all entries, with control instances that can be lost.

    Args:
        connected: Number of entries that are in touch with one another.
    """

    def __init__(self, *, connected: int = 6) -> None:
        self.now: float = 0
        self.deputies = choose_deputies(ENTRIES)
        self.elections = {name: DeputyElection(name, now=0) for name in ENTRIES}
        self.controls_live = True
        self._connected = ENTRIES[:connected]

    @property
    def leaders(self) -> list[InstanceId]:
        return [name for name, one in self.elections.items() if one.term]

    def run(self, seconds: float, *, term: int = 3) -> None:
        for _ in range(round(seconds * 10)):
            self.now += 0.1
            if self.controls_live:
                self._send_leader_beats(term)
            self._exchange_beats()
            for election in self.elections.values():
                election.tick(weight=1, now=self.now)

    def _send_leader_beats(self, term: int) -> None:
        beat = LeaderBeat(
            term=term,
            stamp=self.now,
            controls=(ONE,),
            waiting={},
            deputies=self.deputies,
            entries=len(ENTRIES),
        )
        for election in self.elections.values():
            election.receive_leader_beat(beat, now=self.now)

    def _exchange_beats(self) -> None:
        leader = next(iter(self.leaders), None)
        for one, name in product(self._connected, self._connected):
            if one == name:
                continue
            self.elections[one].record_leader_report(name, leader, now=self.now)
            if self.elections[name].has_lost_controls(now=self.now):
                beat = _control_beat(
                    self.elections[name].term, leads=name == leader
                )
                self.elections[one].receive_beat(name, beat, now=self.now)


class TestDeputies:
    """Deputies lead while all control instances are lost."""

    def test_deputies_are_spread_over_the_entries(self) -> None:
        assert choose_deputies(reversed(ENTRIES)) == ENTRIES[::2]
        assert choose_deputies(ENTRIES[:2]) == ENTRIES[:2]

    def test_no_deputy_leads_beside_control_instances(self) -> None:
        harness = _DeputyHarness()
        harness.run(5)
        harness.run(5, term=0)
        assert not harness.leaders

    def test_deputy_leads_before_entries_refuse_jobs(self) -> None:
        harness = _DeputyHarness()
        harness.run(2)
        harness.controls_live = False
        harness.run(LEADERLESS_SECONDS)
        assert harness.leaders == [ENTRIES[0]]
        assert harness.elections[ENTRIES[0]].term > 3
        harness.run(5)
        assert harness.leaders == [ENTRIES[0]]

    def test_deputy_that_is_cut_off_does_not_lead(self) -> None:
        harness = _DeputyHarness(connected=2)
        harness.run(2)
        harness.controls_live = False
        harness.run(5)
        assert not harness.leaders

    def test_deputy_leads_until_controls_are_settled(self) -> None:
        harness = _DeputyHarness()
        harness.run(2)
        harness.controls_live = False
        harness.run(3)
        harness.controls_live = True
        harness.run(1, term=0)
        assert harness.leaders == [ENTRIES[0]]
        harness.run(1, term=0)
        assert not harness.leaders

    def test_deputy_resigns_for_leading_control(self) -> None:
        harness = _DeputyHarness()
        harness.run(2)
        harness.controls_live = False
        harness.run(3)
        harness.controls_live = True
        harness.run(0.2, term=9)
        assert not harness.leaders


class TestDispatcherClient:
    """The entry's side of jobs."""

    def _client(self) -> DispatcherClient:
        client = DispatcherClient(now=0)
        client.receive_leader_beat(ONE, LeaderBeat(1, 5, (), {}), now=0)
        return client

    def _submit(self, client: DispatcherClient) -> tuple[Send | Answered, ...]:
        return client.submit(REQUEST, TERMS, deadline=2, now=0)

    def test_job_is_submitted_to_the_dispatcher(self) -> None:
        effect = _only(self._submit(self._client()))
        assert isinstance(effect, Send)
        assert effect.to == ONE
        assert isinstance(effect.message, Submit)
        assert not effect.message.resumed

    def test_unanswered_submission_is_sent_again(self) -> None:
        client = self._client()
        self._submit(client)
        assert client.tick(now=0.2)
        client.receive(ONE, Taken(KEY), now=0.2)
        assert not client.tick(now=0.3)

    # Guards against a late dispatcher that is kept late by copies of what it
    # has not read yet.
    def test_resends_become_rarer(self) -> None:
        client = self._client()
        sent = len(self._submit(client))
        for tick in range(1, 20):
            now = tick / 10
            client.receive_leader_beat(ONE, LeaderBeat(1, now, (), {}), now=now)
            sent += len(client.tick(now=now))
        assert sent <= 5

    def test_ended_job_is_answered(self) -> None:
        client = self._client()
        self._submit(client)
        effects = client.receive(ONE, Ended(KEY, JobState.completed), now=1)
        assert effects == (Answered(KEY, Completed(JobState.completed)),)
        assert not client.waiting

    def test_refused_job_has_not_run(self) -> None:
        client = self._client()
        self._submit(client)
        refused = Refused(KEY, RefusalReason.overload, 1)
        effect = _only(client.receive(ONE, refused, now=0.1))
        assert isinstance(effect, Answered)
        assert isinstance(effect.answer, NotRun)

    def test_job_refused_after_a_change_may_have_run(self) -> None:
        client = self._client()
        self._submit(client)
        client.receive_leader_beat(TWO, LeaderBeat(2, 5, (), {}), now=0.5)
        refused = Refused(KEY, RefusalReason.overload, 1)
        effect = _only(client.receive(TWO, refused, now=0.6))
        assert isinstance(effect, Answered)
        assert isinstance(effect.answer, MayHaveRun)

    def test_unknown_job_is_sent_again_as_resumed(self) -> None:
        client = self._client()
        self._submit(client)
        client.receive_leader_beat(ONE, LeaderBeat(3, 6, (), {}), now=0.1)
        effect = _only(client.receive(ONE, UnknownJobs((KEY,)), now=0.2))
        assert isinstance(effect, Send)
        assert effect.message.resumed
        assert effect.message.held > 1

    # Guards against jobs that are handed over after a stop though they can't be
    # useful any more: the next dispatcher ran them before those that could.
    def test_useless_job_is_not_handed_over(self) -> None:
        client = self._client()
        client.submit(_declare(0.05), PROMPT, deadline=9, now=0)
        client.submit(_declare(1, key='long'), PROMPT, deadline=9, now=0)
        effects = client.receive_leader_beat(
            TWO, LeaderBeat(2, 5, (), {}), now=0.8
        )
        ended = [each for each in effects if isinstance(each, Answered)]
        assert ended == [Answered(KEY, MayHaveRun(Failure.useless))]
        assert client.waiting == 1

    # Guards against jobs that are held for a takeover until they are refused
    # with all others, though their callers can't use an answer any more.
    def test_unsent_job_is_refused_once_it_is_useless(self) -> None:
        client = self._client()
        client.submit(_declare(0.05), PROMPT, deadline=9, now=0.4)
        client.submit(_declare(1, key='long'), PROMPT, deadline=9, now=0.4)
        assert not client.tick(now=0.6)
        ended = _only(client.tick(now=0.95))
        assert ended.job == KEY
        assert isinstance(ended.answer, NotRun)

    # Guards against jobs without an objective, or with longer run times than
    # declared, that are refused too early.
    @pytest.mark.parametrize('terms', [TERMS, PROMPT])
    def test_job_that_may_be_useful_is_held(self, terms: QueueTerms) -> None:
        client = self._client()
        seconds = 0.05 if terms == TERMS else 1
        client.submit(_declare(seconds), terms, deadline=9, now=0.4)
        assert not client.tick(now=0.95)

    def test_live_leader_is_kept_until_it_resigns(self) -> None:
        client = self._client()
        client.receive_leader_beat(TWO, LeaderBeat(9, 5, (), {}), now=0.1)
        assert client.leader == ONE
        client.receive_leader_beat(ONE, LeaderBeat(0, 6, (), {}), now=0.2)
        client.receive_leader_beat(TWO, LeaderBeat(9, 6, (), {}), now=0.25)
        assert client.leader == TWO

    # Guards against jobs that wait after a planned hand-over as long as after
    # the silence of a dispatcher, which may order runs for a while.
    # Guards against a dispatcher that can't know of a rival that its entries
    # hear.
    def test_other_live_dispatchers_are_reported(self) -> None:
        client = self._client()
        other = LeaderBeat(2, 5, (), {}, reach=9)
        client.receive_leader_beat(TWO, other, now=0.1)
        deputy = LeaderBeat(3, 5, (), {}, from_deputy=True)
        client.receive_leader_beat(ENTRY, deputy, now=0.1)
        beat = client.make_beat(ONE, version=1, now=0.2)
        assert beat.heard == (HeardDispatcher(TWO, 2, 9),)
        assert not client.make_beat(ONE, version=1, now=0.5).heard
        client.receive_leader_beat(TWO, replace(other, term=0), now=0.6)
        assert not client.make_beat(ONE, version=1, now=0.6).heard

    def test_runs_of_a_resigned_leader_expire_earlier(self) -> None:
        client = self._client()
        self._submit(client)
        client.receive_leader_beat(ONE, LeaderBeat(1, 6, (), {}), now=0.5)
        client.receive_leader_beat(ONE, LeaderBeat(0, 6, (), {}), now=0.52)
        client.receive_leader_beat(ONE, LeaderBeat(0, 7, (), {}), now=0.6)
        beat = LeaderBeat(2, 5, (), {})
        effect = _only(client.receive_leader_beat(TWO, beat, now=0.7))
        held_ms = round(effect.message.held * 1000)
        # 0.68 s from the resignation, of which 0.18 s have passed.
        assert held_ms == 500

    def test_sent_job_past_its_deadline_may_have_run(self) -> None:
        client = self._client()
        self._submit(client)
        answers = [
            effect
            for effect in client.tick(now=2)
            if isinstance(effect, Answered)
        ]
        assert isinstance(answers[0].answer, MayHaveRun)

    def test_without_dispatcher_jobs_are_refused(self) -> None:
        client = DispatcherClient(now=0)
        assert not client.submit(REQUEST, TERMS, deadline=9, now=0.5)
        late = _only(client.tick(now=1.5))
        other = JobRequest(JobKey('other'), 'queue', '', REQUEST.steps)
        at_once = _only(client.submit(other, TERMS, deadline=9, now=1.5))
        for effect in (late, at_once):
            assert isinstance(effect, Answered)
            assert isinstance(effect.answer, NotRun)


class TestLeavingEntry:
    """An entry that is about to end while its callers wait."""

    # Guards against jobs that an entry accepts and leaves without an answer
    # when it ends.
    def test_running_job_is_answered(self) -> None:
        client = DispatcherClient(now=0)
        client.receive_leader_beat(ONE, LeaderBeat(1, 5, (), {}), now=0)
        client.submit(REQUEST, TERMS, deadline=60, now=0)
        client.receive(ONE, Taken(KEY), now=0)
        client.leave(answers_until=0.3)
        assert not client.tick(now=0.2)
        dropped, answered = client.tick(now=0.3)
        assert dropped == Send(ONE, Dropped(KEY))
        assert answered == Answered(KEY, MayHaveRun(Failure.leaving))

    def test_unsent_job_has_not_run(self) -> None:
        client = DispatcherClient(now=0)
        client.submit(REQUEST, TERMS, deadline=60, now=0)
        client.leave(answers_until=0.3)
        answer = _only(client.tick(now=0.3)).answer
        assert isinstance(answer, NotRun)
        assert answer.reason == Failure.leaving.value

    def test_late_job_is_submitted_with_time_left(self) -> None:
        client = DispatcherClient(now=0)
        client.receive_leader_beat(ONE, LeaderBeat(1, 5, (), {}), now=0)
        client.leave(answers_until=0.3)
        sent = _only(client.submit(REQUEST, TERMS, deadline=60, now=0.1))
        remaining_ms = sent.message.remaining * 1000
        assert round(remaining_ms) == 200

    # Guards against the answer that a job has not run when its caller
    # submits it again to an entry that abandoned it before.
    def test_abandoned_job_may_have_run(self) -> None:
        client = DispatcherClient(now=0)
        client.receive_leader_beat(ONE, LeaderBeat(1, 5, (), {}), now=0)
        client.submit(REQUEST, TERMS, deadline=60, now=0)
        client.leave(answers_until=0.3)
        client.tick(now=0.3)
        again = _only(client.submit(REQUEST, TERMS, deadline=60, now=0.35))
        assert again.answer == MayHaveRun(Failure.leaving)

    def test_job_without_time_left_is_refused_at_once(self) -> None:
        client = DispatcherClient(now=0)
        client.receive_leader_beat(ONE, LeaderBeat(1, 5, (), {}), now=0)
        client.leave(answers_until=0.3)
        refused = _only(client.submit(REQUEST, TERMS, deadline=60, now=0.3))
        assert isinstance(refused.answer, NotRun)
        assert not client.waiting


class TestDispatcherService:
    """The dispatcher's side of jobs."""

    def _service(self) -> DispatcherService:
        order = find_order('useful-first')
        return DispatcherService(Dispatcher(term=1, instance=1, order=order))

    def _submit(
        self, service: DispatcherService, *, resumed: bool
    ) -> tuple[object, ...]:
        submit = Submit(
            REQUEST,
            TERMS,
            waited=0,
            remaining=2,
            stamp=10,
            resumed=resumed,
        )
        return service.submit(ENTRY, submit, is_warm=True, now=10)

    # Guards against a job that runs after its caller had a refusal: the
    # submission was sent over a link that was cut, and was delivered when the
    # link recovered.
    def test_delayed_submission_is_not_taken(self) -> None:
        service = self._service()
        service.receive_beat(ENTRY, EntryBeat(16, 1, ONE, ()), now=16)
        submit = Submit(REQUEST, TERMS, 0, 2, stamp=10, resumed=True)
        effects = service.submit(ENTRY, submit, is_warm=True, now=16)
        assert not any(isinstance(effect, Send) for effect in effects)
        assert not service.dispatcher.has_active_job(KEY)

    def test_job_without_endpoints_is_refused_at_once(self) -> None:
        (send, _) = self._submit(self._service(), resumed=False)
        assert isinstance(send, Send)
        assert isinstance(send.message, Refused)

    def test_resumed_job_is_never_refused(self) -> None:
        service = self._service()
        send = _only(self._submit(service, resumed=True))
        assert send == Send(ENTRY, Taken(KEY))

    def test_unlisted_job_is_dropped(self) -> None:
        service = self._service()
        self._submit(service, resumed=True)
        service.receive_beat(ENTRY, EntryBeat(10.1, 1, ONE, ()), now=10.1)
        assert not service.dispatcher.has_active_job(KEY)

    def test_unknown_job_is_reported(self) -> None:
        service = self._service()
        beat = EntryBeat(10.1, 1, ONE, (KEY,))
        assert service.receive_beat(ENTRY, beat, now=10.1) == (
            Send(ENTRY, UnknownJobs((KEY,))),
        )

    def test_delayed_heartbeat_renews_no_lease(self) -> None:
        service = self._service()
        self._submit(service, resumed=True)
        service.receive_beat(ENTRY, EntryBeat(10.1, 1, ONE, (KEY,)), now=14)
        service.tick(now=14)
        service.tick(now=14.02)
        assert not service.dispatcher.has_active_job(KEY)

    # Guards against jobs that are given up in the first turn of a dispatcher
    # that was late, before it reads the heartbeats that came meanwhile.
    def test_late_dispatcher_keeps_jobs(self) -> None:
        service = self._service()
        self._submit(service, resumed=True)
        for late in (11, 12, 13):
            service.tick(now=late)
            assert service.dispatcher.has_active_job(KEY)
            beat = EntryBeat(late - 0.01, 1, ONE, (KEY,))
            service.receive_beat(ENTRY, beat, now=late)

    # Guards against tasks that run twice: a dispatcher was paused, its entries
    # followed its successor, and then answered its first heartbeat.
    def test_entry_of_another_has_no_jobs_here(self) -> None:
        service = self._service()
        self._submit(service, resumed=True)
        service.tick(now=11)
        service.receive_beat(ENTRY, EntryBeat(11, 1, TWO, None), now=11.01)
        assert not service.dispatcher.has_active_job(KEY)
        assert not service.leased_entries(now=11.02)

    def test_returned_job_is_taken_again(self) -> None:
        service = self._service()
        self._submit(service, resumed=True)
        service.receive_beat(ENTRY, EntryBeat(10.1, 1, TWO, None), now=10.1)
        send = _only(self._submit(service, resumed=True))
        assert send == Send(ENTRY, Taken(KEY))

    def test_silent_entry_loses_its_jobs(self) -> None:
        service = self._service()
        self._submit(service, resumed=True)
        service.tick(now=10.39)
        service.tick(now=10.41)
        assert service.dispatcher.has_active_job(KEY)
        service.tick(now=10.43)
        assert not service.dispatcher.has_active_job(KEY)

    def test_job_of_another_entry_is_kept(self) -> None:
        service = self._service()
        self._submit(service, resumed=True)
        submit = Submit(REQUEST, TERMS, 0, 2, stamp=10, resumed=True)
        service.submit(TWO, submit, is_warm=True, now=10)
        service.drop(ENTRY, Dropped(KEY), now=10)
        assert service.dispatcher.has_active_job(KEY)
