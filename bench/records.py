"""What recording costs: processor time and memory of metrics and logs.

python -m bench.records
"""

import time
import tracemalloc
from collections.abc import Callable
from typing import Final

from cuminstack.core import (
    InstanceId,
    JobId,
    JobKey,
    MemberName,
    ServiceName,
    ServiceRef,
    TaskId,
)
from cuminstack.logs import LogOutput, configure_logs, log_event
from cuminstack.metrics import (
    Direction,
    MessageKind,
    Metrics,
    Tally,
    WasteCause,
)
from cuminstack.settings import LogLevel, LogSettings

_ROUNDS: Final = 50_000
_REPEATS: Final = 3
_SERVICES: Final = (1, 10, 100)
_SERVICE: Final = ServiceRef(MemberName('tkemali'), ServiceName('order-desk'))
_TASK: Final = TaskId(JobId(_SERVICE.member, JobKey('quote-7')), 3, 1)
_MICROSECONDS: Final = 1_000_000
_NAME_WIDTH: Final = 24


def cost_of(call: Callable[[int], None]) -> float:
    """Give the processor time of one call, in microseconds.

    The least of several runs, since other work only ever adds to it.
    """
    times = []
    for _ in range(_REPEATS):
        began = time.process_time()
        for index in range(_ROUNDS):
            call(index)
        times.append(time.process_time() - began)
    return min(times) / _ROUNDS * _MICROSECONDS


def recording_costs() -> dict[str, float]:
    """Give microseconds for each kind of record."""
    metrics = Metrics(InstanceId('a'))
    return {
        'wait': cost_of(
            lambda at: metrics.record_wait(_SERVICE, at * 37 % 5000 / 1000),
        ),
        'response and ratio': cost_of(
            lambda at: metrics.record_response(
                _SERVICE,
                at * 37 % 5000 / 1000,
                ideal=1,
            ),
        ),
        'tally': cost_of(
            lambda _: metrics.record_tally(_SERVICE, Tally.tasks_started),
        ),
        'message': cost_of(
            lambda _: metrics.record_message(
                MessageKind.start,
                Direction.sent,
                size=9,
            ),
        ),
        'waste': cost_of(
            lambda _: metrics.record_waste(WasteCause.probe),
        ),
    }


def logging_costs() -> dict[str, float]:
    """Give microseconds for an event below the level and one written."""
    with open('/dev/null', 'w', encoding='utf-8') as sink:
        output = configure_logs(LogSettings(LogLevel.info))
        output.close()
        output = LogOutput(sink)
        output.open()
        silent = cost_of(
            lambda at: log_event('task.sent', LogLevel.debug, task=_TASK, n=at),
        )
        written = cost_of(lambda at: log_event('task.sent', task=_TASK, n=at))
        output.close()
    return {'event below level': silent, 'event written': written}


def histogram_bytes(services: int) -> float:
    """Give the memory of all histograms of this many services, in bytes."""
    tracemalloc.start()
    metrics = Metrics(InstanceId('a'))
    for index in range(services):
        service = ServiceRef(MemberName(f'm{index}'), ServiceName('s'))
        metrics.record_wait(service, 1)
        metrics.record_run(service, 1)
        metrics.record_response(service, 1, ideal=1)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return used


def main() -> None:
    """Print the table."""
    for name, cost in {**recording_costs(), **logging_costs()}.items():
        print(name.ljust(_NAME_WIDTH), round(cost, 2), 'us')
    for services in _SERVICES:
        size = round(histogram_bytes(services) / services)
        print('histograms of services:', services, 'at', size, 'bytes')


if __name__ == '__main__':
    main()
