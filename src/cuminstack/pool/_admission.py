"""Which jobs are refused at once, as they can't be served."""

from collections.abc import Collection, Iterable
from typing import Final

from cuminstack.pool._endpoint import Endpoint, Phase
from cuminstack.pool._jobs import Job, Submission
from cuminstack.pool._records import JobRefused, RefusalReason, Step

#: When a caller may come back if no endpoint is known; they send a
#: heartbeat each 1.5 s.
_NO_ENDPOINT_SECONDS: Final = 1.5
#: When it may come back if no endpoint is large enough; one may join.
_NO_ROOM_SECONDS: Final = 5.0


def refusal_of(
    submission: Submission,
    endpoints: Collection[Endpoint],
    jobs: Iterable[Job],
    *,
    now: float,
) -> JobRefused | None:
    """Give the refusal of a job that can't be served.

    Args:
        submission: The job.
        endpoints: Those of its service.
        jobs: The jobs that were taken before.
        now: The present time.
    """
    key = submission.request.key
    entry = submission.entry
    alive = [each for each in endpoints if each.phase is not Phase.gone]
    if not alive:
        reason = RefusalReason.not_serving
        return JobRefused(key, entry, reason, _NO_ENDPOINT_SECONDS)
    steps = submission.request.steps
    if not all(_fits_anywhere(step, alive) for step in steps):
        reason = RefusalReason.no_room
        return JobRefused(key, entry, reason, _NO_ROOM_SECONDS)
    return None


def _fits_anywhere(step: Step, endpoints: Iterable[Endpoint]) -> bool:
    return any(
        endpoint.report.room.holds(step.needs)
        and (not step.label or step.label in endpoint.report.labels)
        for endpoint in endpoints
    )
