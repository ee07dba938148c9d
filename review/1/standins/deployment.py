"""Starts the project's programs with the commands of the deploy file.

Every machine is a loopback address of its own; all machines use the same
ports, as on the platform.
"""

import asyncio
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

import aiohttp

ROOT = Path(__file__).resolve().parents[3]
BOUNDS = """
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
recoveryS = 12
maxHoldMs = 1000
stopGraceMs = 50
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
retransmitMs = 1300
"""
#: Metrics port of control instances in the deploy file.
METRICS_PORT = 8192
#: Variables that a process of the platform receives from its caller.
PASSED_VARIABLES = ('PATH', 'HOME', 'LANG')


class Record:
    """Writes what happens to `record.txt`, with seconds since the start."""

    def __init__(self, path):
        self._file = path.open('w', encoding='utf-8')
        self.started_at = time.monotonic()

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def add(self, event, **fields):
        """Write one line."""
        pairs = ' '.join(f'{key}={field}' for key, field in fields.items())
        self._file.write(f'{self.now():9.3f} {event} {pairs}\n')
        self._file.flush()


class Machine:
    """One machine: an address, a settings file and at most one process."""

    def __init__(self, deployment, name, *, role, ip, zone):
        self.deployment = deployment
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.process = None
        self.folder = deployment.folder / name
        self.data = self.folder / 'data'
        self.data.mkdir(parents=True)

    def address(self, service):
        """Return the address of a service as `host:port`."""
        return f'{self.ip}:{self.deployment.ports[service]}'

    def start(self, *, first_start):
        """Start the program of this machine's role."""
        settings = self.folder / 'settings.toml'
        settings.write_text(self._settings(first_start), 'utf-8')
        command = self.deployment.commands[self.role].split()
        environment = {
            name: os.environ[name]
            for name in PASSED_VARIABLES
            if name in os.environ
        }
        environment['CUMINSTACK_SETTINGS'] = str(settings)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        log = (self.folder / 'log.txt').open('ab')
        self.deployment.spawn(self, command, environment, log)

    def signal(self, number):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def _settings(self, first_start):
        deployment = self.deployment
        seeds = ', '.join(
            f'"{machine.address("control")}"'
            for machine in deployment.controls[:3]
        )
        is_control = self.role == 'control'
        listeners = (
            f'control = "{self.address("control")}"'
            if is_control
            else f'front = "{self.address("front")}"\n'
            f'ready = "{self.address("ready")}"'
        )
        data = f'dataDir = "{self.data}"\n' if is_control else ''
        first = deployment.ports['peer']
        return (
            f'node = "{self.name}"\nrole = "{self.role}"\n'
            f'ip = "{self.ip}"\nzone = "{self.zone}"\n{data}'
            f'ephemeralPorts = [{first}, {first}]\nseeds = [{seeds}]\n'
            f'bootstrap = {str(first_start).lower()}\n'
            f'faultCounted = {str(is_control).lower()}\n'
            'heartbeatMs = 1500\ncontrolMode = "call"\n'
            f'[listenAddrs]\n{listeners}\n'
            '[limits]\ncpuShare = 0.537\ncores = 2\nmemoryMb = 300\n'
            '[faultTolerance]\nmachines = 1\nzones = 1\nregions = 0\n'
            f'{BOUNDS}'
        )


class Deployment:
    """A small deployment: three control instances and some entries."""

    def __init__(self, record, *, entries=2):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='cuminstack-review-'))
        roles = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text('utf-8')
        )['roles']
        self.commands = {name: role['run'] for name, role in roles.items()}
        # A network of its own, so that several scripts can run at once.
        network = f'127.{random.randint(1, 250)}.{random.randint(0, 250)}'
        self.ports = _free_ports(f'{network}.1')
        self.controls = [
            Machine(
                self,
                f'core-{number}',
                role='control',
                ip=f'{network}.{number}',
                zone=f'zone-{number}',
            )
            for number in range(1, 4)
        ]
        self.entries = [
            Machine(
                self,
                f'edge-{number}',
                role='entry',
                ip=f'{network}.{100 + number}',
                zone=f'zone-{1 + (number - 1) % 3}',
            )
            for number in range(1, entries + 1)
        ]
        self.network = network
        self._children = []

    @property
    def machines(self):
        """All machines."""
        return [*self.controls, *self.entries]

    def spawn(self, machine, command, environment, log):
        """Start the process of a machine."""
        machine.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        self._children.append(machine.process)
        self.record.add(
            'process_started', machine=machine.name, pid=machine.process.pid
        )

    def start_all(self, *, first_start):
        """Start the programs of all machines."""
        for machine in self.machines:
            machine.start(first_start=first_start)

    def kill_all(self, machines=None):
        """Kill processes at the same moment."""
        for machine in self.machines if machines is None else machines:
            machine.signal(signal.SIGKILL)
        self.record.add('processes_killed')

    async def wait_until_ready(self, http, *, seconds=20):
        """Wait until all entries are ready; return whether they are."""
        ends_at = time.monotonic() + seconds
        for machine in self.entries:
            url = f'http://{machine.address("ready")}/api/readiness'
            while await _status(http, url) != 200:
                if time.monotonic() > ends_at:
                    return False
                await asyncio.sleep(0.1)
        return True

    async def find_dispatcher(self, http):
        """Return the control instance that dispatches, by its metrics."""
        while True:
            for machine in self.controls:
                url = f'http://{machine.ip}:{METRICS_PORT}/metrics'
                async with http.get(url) as answer:
                    text = await answer.text()
                for line in text.splitlines():
                    name, _, count = line.rpartition(' ')
                    is_term = name.startswith('cuminstack_dispatcher_term')
                    if is_term and float(count) > 0:
                        return machine
            await asyncio.sleep(0.1)

    async def wait_until_listening(self, machine):
        """Wait until a control instance accepts channels."""
        while True:
            try:
                _, writer = await asyncio.open_connection(
                    machine.ip, self.ports['control']
                )
            except OSError:
                await asyncio.sleep(0.005)
                continue
            writer.close()
            return

    def close(self, *, keep_logs_in=None):
        """End all processes that were started, and remove the folder."""
        for child in self._children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
        for child in self._children:
            child.wait()
        if keep_logs_in is not None:
            for machine in self.machines:
                log = machine.folder / 'log.txt'
                if log.exists():
                    shutil.copy(log, keep_logs_in / f'{machine.name}.log')
        shutil.rmtree(self.folder, ignore_errors=True)


async def _status(http, url):
    try:
        async with http.get(url, timeout=aiohttp.ClientTimeout(total=1)) as got:
            return got.status
    except (aiohttp.ClientError, TimeoutError, OSError):
        return 0


def _free_ports(ip):
    sockets = []
    ports = {}
    for service in ('front', 'ready', 'control', 'peer'):
        opened = socket.socket()
        opened.bind((ip, 0))
        ports[service] = opened.getsockname()[1]
        sockets.append(opened)
    for opened in sockets:
        opened.close()
    return ports
