"""A change of replicas is left unfinished, and one lost disk loses the state."""

import shutil
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common2 import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    Cluster,
    call,
    desired_state,
    run_case,
    wait_for,
)

FREEZE_SECONDS = 1.6
TRIES = 4
#: Calm after each disturbance, longer than `catchUpS`.
RECOVERY_SECONDS = BOUNDS['recoveryS']
DOWN_SECONDS = 0.3
LAST_VERSION = 2
#: What an instance logs once both the old and the new replicas vote.
BOTH_VOTE = b'incoming=3'


class Operator:
    """Sends desired states, and reads them back at the end."""

    def __init__(self, cluster, record):
        self.cluster = cluster
        self.record = record

    def replace(self, control, version, seconds=1.0):
        state = desired_state(
            version, routes=[('r-1', 'nony24.example', '/lohu930/', 'huvo11a')]
        )
        status, _ = call(
            control.control, 'POST', '/api/Config.Replace', state, seconds=seconds
        )
        self.record.write(f'{control.name} replace version {version}: {status}')
        return status

    def read(self, control):
        status, answer = call(
            control.control, 'GET', '/api/Config.Read', seconds=4.0
        )
        version = answer['version'] if status == 200 else None
        self.record.write(f'{control.name} read: {status} version {version}')
        return version


def lose_disk(control, record):
    """Kill an instance, and start it again with an empty disk."""
    control.kill()
    shutil.rmtree(control.data)
    control.data.mkdir()
    record.write(f'{control.name}: is down and loses its disk')
    time.sleep(DOWN_SECONDS)
    control.start()
    record.write(f'{control.name}: started with an empty disk')


def freeze_as_it_joins(frozen, log_size, record):
    """Freeze an instance as another one joins; return whether it was in time."""
    log = (frozen.folder / 'log').open('rb')
    log.seek(log_size)
    text = b''
    end = time.monotonic() + 6
    while BOTH_VOTE not in text and time.monotonic() < end:
        text += log.read()
    frozen.send(signal.SIGSTOP)
    record.write(f'{frozen.name}: frozen')
    time.sleep(FREEZE_SECONDS)
    frozen.send(signal.SIGCONT)
    record.write(f'{frozen.name}: continues')
    time.sleep(2.0)
    text += log.read()
    return text.rfind(BOTH_VOTE) > text.rfind(b'incoming=0')


def disturb(cluster, record):
    first, second, third = cluster.controls
    for _ in range(TRIES):
        log_size = (third.folder / 'log').stat().st_size
        lose_disk(first, record)
        if freeze_as_it_joins(third, log_size, record):
            break
        time.sleep(5.0)
    record.write('all machines are back; calm')
    time.sleep(RECOVERY_SECONDS)
    lose_disk(second, record)
    time.sleep(RECOVERY_SECONDS + 1)


def play(record):
    cluster = Cluster(controls=3, entries=1)
    try:
        cluster.start()
        operator = Operator(cluster, record)
        first = cluster.controls[0]
        for version in range(1, LAST_VERSION + 1):
            wait_for(
                lambda: operator.replace(first, version) == 200,
                15,
                'a change was not acknowledged',
                interval=0.3,
            )
            time.sleep(2.0)
        if TROUBLE:
            disturb(cluster, record)
        held = True
        for _ in range(3):
            found = [operator.read(each) for each in cluster.controls]
            held = LAST_VERSION in found
            if held:
                break
            time.sleep(1.0)
        if not held:
            record.write(f'BROKEN: version {LAST_VERSION}, acknowledged, is gone')
        operator.replace(cluster.controls[2], LAST_VERSION + 1, seconds=4.0)
        return held
    finally:
        cluster.close()


if __name__ == '__main__':
    run_case(HERE, play)
