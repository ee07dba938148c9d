"""The omniscient central queue: first come, first served, no messages."""

import heapq
from collections.abc import Sequence

from bench.policies._load import Arrival


def central_responses(
    jobs: Sequence[Arrival],
    *,
    slots: int,
    hop: float,
) -> tuple[float, ...]:
    """Give each job's response time over its ideal."""
    free_at = [float(0) for _ in range(slots)]
    ratios = []
    for job in jobs:
        last = job.at
        for run in job.runs:
            begin = max(job.at, heapq.heappop(free_at))
            heapq.heappush(free_at, begin + run)
            last = max(last, begin + run)
        ideal = max(job.runs) + 2 * hop
        ratios.append((last + 2 * hop - job.at) / ideal)
    return tuple(ratios)
