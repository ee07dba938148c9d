"""A pool without a network: workers, time and faults around a dispatcher."""

from bench.pool._worker import SERVICE, FakeWorker, check_once_at_a_time
from bench.pool._world import ENTRY, JobPlan, PoolWorld

__all__ = (
    'ENTRY',
    'SERVICE',
    'FakeWorker',
    'JobPlan',
    'PoolWorld',
    'check_once_at_a_time',
)
