"""Real processes that hostile clients connect to."""

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from itertools import repeat
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import aiohttp
from bench._children import program
from bench._plan import InstancePlan, write_settings
from bench._polling import until
from bench._ports import free_ports

from cuminstack.core import InstanceId
from cuminstack.document import Ballot, Chosen, Value
from cuminstack.fleet import EntryBeat, LeaderBeat, Submit, Taken
from cuminstack.links import Mesh
from cuminstack.platform._settings import SETTINGS_VARIABLE
from cuminstack.roles import steady_now
from cuminstack.settings import Address, LimitSettings
from processes.hostile_clients import (
    STATE_BODY_BYTES,
    ProcessFigures,
    Target,
)
from processes.hostile_peers import PEER_NAME, send_over_link

TIMEOUT_SECONDS: Final = 15
#: Limits of the machine in the settings of a process.
MEMORY_MB: Final = 160
MAX_FDS: Final = 400
#: Loopback addresses of the process, and of control instances that it knows.
#: All instances have the same peer port, so they differ in their address.
_OWN_HOST: Final = '127.0.0.1'
_PEER_HOSTS: Final = ('127.0.0.2', '127.0.0.3')
#: Listeners whose ordinary request succeeds once the process is ready.
_READY_NAMES: Final = ('ready', 'control', 'endpoints')
#: Largest desired state that a control instance with this memory accepts.
_MAX_STATE_BYTES: Final = MEMORY_MB * 16_384
#: Largest body of a job that the desired state allows.
_MAX_JOB_BYTES: Final = 262_144
_KEY: Final = '5c0e7a21d94b36f8'
_JOB: Final = b"""{
    "bestEffort": true, "spec": "s",
    "steps": [{"count": 1, "cpu": 1000, "memMb": 64, "estRuntimeMs": 900}]
}"""
STATE: Final = b"""{
    "version": 7, "services": [{"name": "s"}],
    "limits": {
        "maxHeaderBytes": 16384, "maxBodyBytes": 262144,
        "headerTimeoutMs": 3000, "idleTimeoutMs": 15000
    },
    "routes": [{
        "name": "r", "host": "h.example", "pathPrefix": "/q/",
        "timeoutMs": 60000, "service": "s"
    }]
}"""
HEARTBEAT: Final = b"""{
    "service": "s", "address": "127.0.0.1:9", "zone": "z", "state": "ready",
    "sequence": 4, "freeCapacity": {"cpu": 16000, "memMb": 32768},
    "labels": ["a"], "born": 1700000000000
}"""


class _Dispatcher:
    """Takes all jobs, and completes none."""

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self.mesh = Mesh(
            own,
            incarnation=1,
            receive=self._receive,
            reject=lambda sender, error: None,
        )

    def _receive(self, entry: InstanceId, message: Any) -> None:
        self.mesh.add_peers((entry,))
        match message:
            case EntryBeat():
                beat = LeaderBeat(1, steady_now(), (self._own,), {})
                self.mesh.send(entry, beat)
                chosen = Chosen(Ballot(1, self._own), Value(7, STATE, ()))
                self.mesh.send(entry, chosen)
            case Submit():
                self.mesh.send(entry, Taken(message.request.key))


@dataclass(frozen=True, slots=True)
class RunningProgram:
    """A process and its listeners.

    Args:
        process: The process.
        targets: Its listeners by name.
        figures: Its memory and descriptors.
    """

    process: asyncio.subprocess.Process
    targets: MappingProxyType[str, Target]
    figures: ProcessFigures

    async def request(self, name: str) -> int:
        """Send the ordinary request of a listener; return the status."""
        target = self.targets[name]
        if name == 'peers':
            async with asyncio.timeout(TIMEOUT_SECONDS):
                return await send_over_link(target)
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        method, sent = ('GET', None)
        if name == 'control':
            method, sent = ('POST', HEARTBEAT)
        async with (
            aiohttp.ClientSession(timeout=timeout) as session,
            session.request(
                method,
                f'http://{target.address}{target.path}',
                data=sent,
                headers={'Host': target.host},
            ) as response,
        ):
            await response.read()
            return response.status


def _post(target: str, body: bytes) -> bytes:
    head = (
        f'POST {target} HTTP/1.1\r\nHost: h.example\r\n'
        f'X-Deadline-Ms: 60000\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


def _fill_list(size: int, start: bytes, item: bytes, end: bytes) -> bytes:
    """Return a JSON document of a size with as many items as fit."""
    count = (size - len(start) - len(end)) // (len(item) + 1)
    return b'%s%s%s' % (start, b','.join(repeat(item, count)), end)


def _make_targets(role: str, ports: tuple[int, ...]) -> dict[str, Target]:
    first, second, metrics, peers = (Address(_OWN_HOST, port) for port in ports)
    others = {
        'metrics': Target(metrics, '/metrics'),
        'peers': Target(peers, '/', status=101),
    }
    if role == 'control':
        control = Target(
            first,
            '/api/Instances.Heartbeat/w',
            submission=_post('/api/Config.Replace', STATE),
            upload='/api/Config.Replace',
            upload_bytes=STATE_BODY_BYTES,
            dense_body=_fill_list(
                _MAX_STATE_BYTES,
                b'{"version":8,"services":[],"routes":[',
                b'{}',
                b']}',
            ),
        )
        return {'control': control, **others}
    front = Target(
        first,
        '/q/',
        submission=_post(f'/q/{_KEY}', _JOB),
        upload=f'/q/{_KEY}',
        dense_body=_fill_list(
            _MAX_JOB_BYTES, b'{"spec":"s","steps":[', b'{}', b']}'
        ),
    )
    ready = Target(second, '/api/readiness')
    return {'front': front, 'ready': ready, **others}


def _write_settings(
    role: str, targets: dict[str, Target], folder: Path
) -> Path:
    listeners = ''.join(
        f'{name} = "{target.address}"\n'
        for name, target in targets.items()
        if name not in {'metrics', 'peers'}
    )
    peer_port = targets['peers'].address.port
    # Two of three replicas never run, so a desired state that is submitted
    # to the control instance stays in progress for some seconds.
    hosts: tuple[str, ...] = _PEER_HOSTS[:1]
    if role == 'control':
        hosts = (_OWN_HOST, *_PEER_HOSTS)
    seeds = [f'{host}:{peer_port}' for host in hosts]
    path = folder / f'{role}.toml'
    path.write_text(
        f'ip = "{_OWN_HOST}"\nzone = "z"\nbootstrap = true\n'
        f'ephemeralPorts = [{peer_port}, {peer_port}]\n'
        f'seeds = {json.dumps(seeds)}\n'
        f'dataDir = "{folder}"\n'
        f'[listenAddrs]\n{listeners}'
        '[faultTolerance]\nmachines = 1\n'
        f'[limits]\nmemoryMb = {MEMORY_MB}\nmaxFds = {MAX_FDS}\n'
    )
    return path


@asynccontextmanager
async def run_program(role: str, folder: Path) -> AsyncIterator[RunningProgram]:
    """Run a program, and end it on exit.

    Args:
        role: `entry` or `control`, roles of the platform's program, or
            `daemon` for `cuminstackd`.
        folder: Folder for its settings, log and data.
    """
    if role == 'daemon':
        async with _run_daemon(folder) as running:
            yield running
        return
    targets = _make_targets(role, free_ports(4))
    path = _write_settings(role, targets, folder)
    peer_port = targets['peers'].address.port
    dispatcher = _Dispatcher(InstanceId(f'{_PEER_HOSTS[0]}:{peer_port}'))
    if role == 'entry':
        await dispatcher.mesh.start()
    instance = Path(__file__).parents[2] / 'deploy' / 'instance.py'
    metrics_port = targets['metrics'].address.port
    command = (
        sys.executable,
        str(instance),
        role,
        f'--metrics-port={metrics_port}',
    )
    try:
        async with _run_process(command, targets, path) as running:
            yield running
    finally:
        await dispatcher.mesh.stop()


@asynccontextmanager
async def _run_daemon(folder: Path) -> AsyncIterator[RunningProgram]:
    limits = LimitSettings()
    callers, endpoints, peers = (
        Address(_OWN_HOST, port) for port in free_ports(3)
    )
    plan = InstancePlan(
        'telavi-1',
        'telavi',
        callers=str(callers),
        endpoints=str(endpoints),
        peers=str(peers),
        replica=True,
    )
    # This instance never runs; hostile clients identify themselves as it.
    peer = InstancePlan(
        PEER_NAME,
        'telavi',
        callers='',
        endpoints='127.0.0.4:8',
        peers='127.0.0.4:9',
        replica=False,
    )
    extra = {
        'limits': {
            'memory_mb': str(MEMORY_MB),
            'max_descriptors': str(MAX_FDS),
        },
    }
    path = write_settings(plan, (plan, peer), folder=folder, extra=extra)
    targets = {
        'callers': Target(
            callers,
            f'/v1/members/m/jobs/{_KEY}',
            upload='/v1/members/m/services/s/jobs',
            upload_bytes=STATE_BODY_BYTES,
            dense_body=_fill_list(
                limits.max_body_bytes,
                b'{"tasks":[',
                b'{"payload":0}',
                b']}',
            ),
            status=404,
        ),
        'endpoints': Target(
            endpoints,
            '/v1/ready',
            upload='/v1/sheet',
            upload_method='PUT',
            upload_bytes=STATE_BODY_BYTES,
            dense_body=b'a\n' * (limits.max_sheet_bytes // 2),
        ),
        'peers': Target(peers, '/', status=101),
    }
    command = (program('cuminstackd'), '--settings', str(path))
    async with _run_process(command, targets, path) as running:
        yield running


@asynccontextmanager
async def _run_process(
    command: Sequence[str], targets: dict[str, Target], path: Path
) -> AsyncIterator[RunningProgram]:
    with path.with_suffix('.log').open('wb') as log:
        process = await asyncio.create_subprocess_exec(
            *command,
            env={**os.environ, SETTINGS_VARIABLE: str(path)},
            stdout=log,
            stderr=log,
        )
    running = RunningProgram(
        process, MappingProxyType(targets), ProcessFigures(process.pid)
    )
    try:
        await until(lambda: _is_up(running), seconds=TIMEOUT_SECONDS)
        yield running
    finally:
        await _end(process)


async def _end(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()


async def _is_up(running: RunningProgram) -> bool:
    name = next(name for name in _READY_NAMES if name in running.targets)
    try:
        return await running.request(name) == 200
    except aiohttp.ClientError:
        return False
