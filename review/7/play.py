"""A restarted control instance reuses a ballot, and an acked change is lost."""

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common2 import (  # noqa: E402
    TROUBLE,
    Cluster,
    CouldNotRun,
    call,
    desired_state,
    run_case,
    wait_for,
)

#: Latest start of another try; the script may take 120 seconds.
LAST_TRY_SECONDS = 92
CONFIG_APPLY_SECONDS = 2.0
HOST = 'nony24.example'
#: When the operator sends the next change, after the instance listens again.
SEND_AFTER_SECONDS = 0.075
#: How long the instance stays down, by try.
DOWN_SECONDS = (0, 0.05, 0.1, 0.15, 0.2)


def state_of(version):
    prefix = f'/v{version}/'
    return desired_state(version, routes=[('r-1', HOST, prefix, 'huvo11a')])


class Operator:
    """Sends desired states, and reads them back."""

    def __init__(self, cluster, record):
        self.cluster = cluster
        self.record = record
        self.acked = 0
        self.acked_at = 0

    def replace(self, control, version, seconds=1.0):
        status, answer = call(
            control.control,
            'POST',
            '/api/Config.Replace',
            state_of(version),
            seconds=seconds,
        )
        self.record.write(f'{control.name} replace version {version}: {status}')
        if status == 200:
            self.acked = max(self.acked, version)
            self.acked_at = time.monotonic()
        return status

    def read(self, control):
        status, answer = call(control.control, 'GET', '/api/Config.Read')
        version = answer['version'] if status == 200 else None
        self.record.write(f'{control.name} read: {status} version {version}')
        return version


def refuse_writes(control):
    """Have the disk of an instance take no more bytes."""
    control.data.rename(control.folder / 'data.full')
    control.data.write_text('')


def accept_writes(control):
    control.data.unlink()
    (control.folder / 'data.full').rename(control.data)


def is_open(control):
    status, _ = call(control.control, 'GET', '/api/none', seconds=0.3)
    return status == 404


def play_try(cluster, operator, record, number, version):
    first = cluster.controls[0]
    # All three hold the newest version, and it is on their disks.
    for control in cluster.controls:
        wait_for(
            lambda: operator.read(control) == operator.acked, 8, 'no steady state'
        )
    time.sleep(0.25)
    if TROUBLE:
        refuse_writes(first)
        record.write(f'{first.name}: its disk takes no more bytes')
    if operator.replace(first, version) != 200:
        record.write('this change was not acknowledged')
    if TROUBLE:
        first.kill()
        record.write(f'{first.name}: SIGKILL')
        accept_writes(first)
        time.sleep(DOWN_SECONDS[number % len(DOWN_SECONDS)])
        first.start()
        record.write(f'{first.name}: started, its disk takes bytes again')
        wait_for(lambda: is_open(first), 5, 'no restart', interval=0.004)
        record.write(f'{first.name}: listens')
        time.sleep(SEND_AFTER_SECONDS)
    wait_for(
        lambda: operator.replace(first, version + 1) == 200,
        8,
        'no acknowledgement',
        interval=0.2,
    )
    acked = operator.acked
    time.sleep(0.2)
    others = cluster.controls[1:]
    if all(operator.read(control) == acked for control in others):
        return True
    time.sleep(CONFIG_APPLY_SECONDS + 0.5)
    held = True
    for control in cluster.controls:
        found = operator.read(control)
        if found is not None and found < acked:
            record.write(f'BROKEN: {control.name} reads {found} after {acked}')
            held = False
    entry = cluster.entries[0]
    status, _ = call(entry.front, 'GET', f'/v{acked}/', host=HOST)
    record.write(f'{entry.name} GET /v{acked}/: {status}')
    return held


def play(record):
    cluster = Cluster(controls=3, entries=1)
    try:
        cluster.start()
        operator = Operator(cluster, record)
        wait_for(
            lambda: operator.replace(cluster.controls[0], 1) == 200,
            15,
            'no first state',
            interval=0.3,
        )
        time.sleep(2.0)
        number = 0
        while record.seconds < LAST_TRY_SECONDS:
            if not play_try(cluster, operator, record, number, 2 + 2 * number):
                end = time.monotonic() + 4.0
                while time.monotonic() < end:
                    for control in cluster.controls:
                        operator.read(control)
                    time.sleep(1.0)
                return False
            number += 1
        if not number:
            raise CouldNotRun('no try')
        return True
    finally:
        cluster.close()


if __name__ == '__main__':
    run_case(HERE, play)
