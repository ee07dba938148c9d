"""What an omniscient central first-come queue does with the same jobs."""

import heapq
from collections.abc import Sequence
from typing import Final

from bench.arrivals import Job

#: One-way delay between the queue and a slot, in seconds.
HOP_SECONDS: Final = 0.0005


def central_queue(
    jobs: Sequence[Job],
    *,
    slots: int,
    hop: float = HOP_SECONDS,
) -> tuple[float, ...]:
    """Give the response time of each job, in seconds.

    One queue knows every slot at once, and starts tasks in the order in
    which they arrived.

    Args:
        jobs: In the order of their arrival.
        slots: Slots of the whole deployment.
        hop: One-way delay between the queue and a slot, in seconds.
    """
    free_at = [float(0) for _ in range(slots)]
    responses = []
    for job in jobs:
        ends = [
            _run(free_at, job.arrival + hop, run_time)
            for run_time in job.run_times
        ]
        responses.append(max(ends) + hop - job.arrival)
    return tuple(responses)


def _run(free_at: list[float], arrival: float, run_time: float) -> float:
    end = max(arrival, free_at[0]) + run_time
    heapq.heapreplace(free_at, end)
    return end
