"""Tests of what a dispatcher learns from the run times of tasks."""

from bench.pool import ENTRY, SERVICE

from cuminstack.core import EndpointId, JobKey, ZoneName
from cuminstack.pool import (
    Dispatcher,
    Effects,
    EndKind,
    EndpointReport,
    EndpointView,
    Hold,
    JobEnded,
    JobRequest,
    JobState,
    QueueTerms,
    Resources,
    RunEnd,
    RunKey,
    RunProgress,
    Step,
    Submission,
    TaskKey,
    find_order,
)

_NOW = 1000.0


def _hold_of(effects: Effects) -> Hold:
    return next(effect for effect in effects if isinstance(effect, Hold))


class TestShortRuns:
    """Runs whose measured time is 0."""

    # A successor that claims a run and hears of its end at the same clock
    # reading divided by the run time of 0, and the rest of the batch of
    # answers was lost.
    def test_claimed_run_ends_at_once(self) -> None:
        dispatcher = Dispatcher(
            term=2, instance=2, order=find_order('useful-first')
        )
        report = EndpointReport(
            endpoint=EndpointId('w0'),
            lifetime=1,
            sequence=1,
            address='w0',
            zone=ZoneName('zone'),
            service=SERVICE,
            room=Resources(16000, 32768),
        )
        step = Step(1, Resources(6800, 64), estimate=0.2)
        request = JobRequest(JobKey('a'), 'queue', 'payload', (step,))
        run = RunKey(TaskKey(request.key, 0, 0), 1)
        dispatcher.record_entry_contact(ENTRY, _NOW)
        hold = _hold_of(dispatcher.observe(report, now=_NOW))
        listed = EndpointView(1, 1, (RunProgress(run, 90),), ())
        hold = _hold_of(
            dispatcher.hold_answered(hold, listed, asked_at=_NOW, now=_NOW)
        )
        submission = Submission(
            request=request,
            terms=QueueTerms('queue', SERVICE),
            entry=ENTRY,
            arrived_at=_NOW,
            deadline=_NOW + 5,
            held_until=_NOW + 1,
            is_resumed=True,
        )
        dispatcher.submit(submission, now=_NOW)
        ended = EndpointView(1, 2, (), (RunEnd(1, run, EndKind.done),))
        effects = dispatcher.hold_answered(hold, ended, asked_at=_NOW, now=_NOW)
        assert JobEnded(request.key, ENTRY, JobState.completed) in effects
