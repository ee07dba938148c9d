"""Real processes of the platform that hostile clients connect to."""

import asyncio
import json
import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import aiohttp
from bench._polling import until
from bench._ports import free_ports

from cuminstack.core import InstanceId
from cuminstack.document import Ballot, Chosen, Value
from cuminstack.fleet import EntryBeat, LeaderBeat, Submit, Taken
from cuminstack.links import Mesh
from cuminstack.platform._settings import SETTINGS_VARIABLE
from cuminstack.roles import steady_now
from cuminstack.settings import Address
from processes.hostile_clients import (
    STATE_BODY_BYTES,
    ProcessFigures,
    Target,
)

TIMEOUT_SECONDS: Final = 15
#: Limits of the machine in the settings of a process.
MEMORY_MB: Final = 160
MAX_FDS: Final = 400
#: Loopback addresses of the process, and of control instances that it knows.
#: All instances have the same peer port, so they differ in their address.
_OWN_HOST: Final = '127.0.0.1'
_PEER_HOSTS: Final = ('127.0.0.2', '127.0.0.3')
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


def _make_targets(role: str, ports: tuple[int, ...]) -> dict[str, Target]:
    first, second, metrics = (Address(_OWN_HOST, port) for port in ports)
    page = Target(metrics, '/metrics')
    if role == 'control':
        control = Target(
            first,
            '/api/Instances.Heartbeat/w',
            submission=_post('/api/Config.Replace', STATE),
            upload='/api/Config.Replace',
            upload_bytes=STATE_BODY_BYTES,
        )
        return {'control': control, 'metrics': page}
    front = Target(
        first,
        '/q/',
        submission=_post(f'/q/{_KEY}', _JOB),
        upload=f'/q/{_KEY}',
    )
    ready = Target(second, '/api/readiness')
    return {'front': front, 'ready': ready, 'metrics': page}


def _write_settings(
    role: str, targets: dict[str, Target], peer_port: int, folder: Path
) -> Path:
    listeners = ''.join(
        f'{name} = "{target.address}"\n'
        for name, target in targets.items()
        if name != 'metrics'
    )
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
    """Run an entry or a control instance, and end it on exit."""
    *ports, peer_port = free_ports(4)
    targets = _make_targets(role, tuple(ports))
    path = _write_settings(role, targets, peer_port, folder)
    dispatcher = _Dispatcher(InstanceId(f'{_PEER_HOSTS[0]}:{peer_port}'))
    if role == 'entry':
        await dispatcher.mesh.start()
    try:
        async with _run_process(role, targets, path) as running:
            yield running
    finally:
        await dispatcher.mesh.stop()


@asynccontextmanager
async def _run_process(
    role: str, targets: dict[str, Target], path: Path
) -> AsyncIterator[RunningProgram]:
    program = Path(__file__).parents[2] / 'deploy' / 'instance.py'
    metrics_port = targets['metrics'].address.port
    with path.with_suffix('.log').open('wb') as log:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(program),
            role,
            f'--metrics-port={metrics_port}',
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
    name = 'ready' if 'ready' in running.targets else 'control'
    try:
        return await running.request(name) == 200
    except aiohttp.ClientError:
        return False
