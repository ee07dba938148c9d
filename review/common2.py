"""Helpers of the scripts in `review/6` and later: processes, calls, a record.

Uses the standard library only.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
DEPLOY = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
BROKEN, HELD, COULD_NOT_RUN = 1, 0, 2

#: Bounds of both small sites (SYSTEM.md).
BOUNDS = {
    'seedLagS': 3,
    'addrReuseS': 2,
    'contactMs': 3000,
    'ackMs': 4000,
    'catchUpS': 4,
    'drainMs': 2000,
    'graceS': 6,
    'lossSlackMs': 200,
    'configApplyMs': 2000,
    'rollbackSlackMs': 250,
    'maxStretchMs': 5000,
    'recoveryS': 12,
    'maxHoldMs': 1000,
    'stopGraceMs': 50,
    'cancel_ms': 3000,
    'visible_ms': 3000,
    'leaseMs': 3000,
    'retransmitMs': 1300,
}


class CouldNotRun(Exception):
    """The case could not be played; no statement about the rule."""


class Record:
    """The file `record.txt` of a case, with seconds since its start."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._began = time.monotonic()

    def write(self, text):
        seconds = time.monotonic() - self._began
        self._file.write(f'{seconds:8.3f} {text}\n')
        self._file.flush()

    @property
    def seconds(self):
        return time.monotonic() - self._began


class Instance:
    """One process of a deployment, started by the deploy file's command."""

    def __init__(self, cluster, name, role, ip, zone):
        self.cluster = cluster
        self.name = name
        self.role = role
        self.ip = ip
        self.zone = zone
        self.folder = cluster.folder / name
        self.folder.mkdir()
        self.data = self.folder / 'data'
        self.process = None
        if role == 'control':
            self.data.mkdir()

    @property
    def control(self):
        return f'{self.ip}:{self.cluster.control_port}'

    @property
    def front(self):
        return f'{self.ip}:{self.cluster.front_port}'

    @property
    def ready(self):
        return f'{self.ip}:{self.cluster.ready_port}'

    def start(self, *, bootstrap=False):
        spec = DEPLOY['roles'][self.role]
        settings = self.folder / 'settings.toml'
        settings.write_text(self._settings(bootstrap))
        env = {
            key: os.environ[key] for key in ('PATH', 'HOME') if key in os.environ
        }
        env['LANG'] = 'C.UTF-8'
        env['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['CUMINSTACK_SETTINGS'] = str(settings)
        with (self.folder / 'log').open('ab') as log:
            self.process = subprocess.Popen(
                spec['run'].split(),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def send(self, number):
        self.process.send_signal(number)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()

    @property
    def is_running(self):
        return self.process is not None and self.process.poll() is None

    def _settings(self, bootstrap):
        cluster = self.cluster
        if self.role == 'control':
            listen = f'control = "{self.control}"'
            serves, machine_class = 'control', 'core'
        else:
            listen = f'front = "{self.front}"\nready = "{self.ready}"'
            serves, machine_class = 'edge', 'edge'
        seeds = ', '.join(f'"{each.control}"' for each in cluster.controls[:3])
        bounds = '\n'.join(f'{key} = {value}' for key, value in BOUNDS.items())
        data = f'dataDir = "{self.data}"' if self.role == 'control' else ''
        disk = 128 if self.role == 'control' else 0
        return f"""node = "{self.name}"
role = "{self.role}"
machineClass = "{machine_class}"
serves = ["{serves}"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "kakheti"
ephemeralPorts = [{cluster.peer_port}, {cluster.peer_port + 15}]
seeds = [{seeds}]
bootstrap = {str(bootstrap).lower()}
faultCounted = {str(self.role == 'control').lower()}
discovery = "registry"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched"]
config_mode = "highest"
controlMode = "call"
{data}
[zones]
telavi = "kakheti"
gurjaani = "kakheti"
sighnaghi = "kakheti"
[listenAddrs]
{listen}
[limits]
cpuShare = 0.717
cores = 3
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = {disk}
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
{bounds}
"""


class Cluster:
    """A small deployment on loopback addresses, in a temporary folder."""

    ZONES = ('telavi', 'gurjaani', 'sighnaghi')

    def __init__(self, *, controls=3, entries=1):
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        net = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        self.net = net
        self.peer_port, self.control_port, self.front_port, self.ready_port = (
            _free_ports(net)
        )
        self.controls = [
            Instance(self, f'control-{n}', 'control', f'{net}.{n + 11}', zone)
            for n, zone in zip(range(controls), self.ZONES, strict=False)
        ]
        self.entries = [
            Instance(self, f'entry-{n}', 'entry', f'{net}.{n + 31}', zone)
            for n, zone in zip(range(entries), self.ZONES, strict=False)
        ]

    @property
    def instances(self):
        return (*self.controls, *self.entries)

    def start(self):
        for each in self.instances:
            each.start(bootstrap=True)

    def close(self):
        for each in self.instances:
            if each.is_running:
                each.send(signal.SIGCONT)
                each.send(signal.SIGKILL)
        for each in self.instances:
            if each.process is not None:
                each.process.wait()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)


def _free_ports(net):
    first = random.randint(15000, 28000)
    for base in range(first, first + 2000, 40):
        try:
            for offset in (0, 20, 21, 22):
                with socket.socket() as probe:
                    probe.bind((f'{net}.11', base + offset))
        except OSError:
            continue
        return base, base + 20, base + 21, base + 22
    raise CouldNotRun('no free ports')


def call(address, method, path, body=None, *, host=None, seconds=1.0, **headers):
    """Make a request; return status and decoded body, or (0, reason)."""
    ip, port = address.rsplit(':', 1)
    connection = http.client.HTTPConnection(ip, int(port), timeout=seconds)
    fields = {key.replace('_', '-'): str(value) for key, value in headers.items()}
    if host:
        fields['Host'] = host
    data = None
    if body is not None:
        data = json.dumps(body).encode()
        fields['Content-Type'] = 'application/json'
    try:
        connection.request(method, path, data, fields)
        response = connection.getresponse()
        content = response.read()
    except (OSError, http.client.HTTPException) as error:
        return 0, repr(error)
    finally:
        connection.close()
    try:
        return response.status, json.loads(content) if content else None
    except ValueError:
        return response.status, content


def desired_state(version, *, routes, service='huvo11a', **limits):
    """Return a desired state; `routes` has (name, host, prefix, service)."""
    return {
        'version': version,
        'routes': [
            {
                'name': name,
                'host': host,
                'pathPrefix': prefix,
                'routeType': 'non_idempotent',
                'timeoutMs': 1500,
                'sloMs': 60,
                'priority': 0,
                'service': of,
                'attempts': 4,
                'stretch': 1.6,
            }
            for name, host, prefix, of in routes
        ],
        'services': [
            {
                'name': service,
                'healthPath': '/health',
                'maxConns': 64,
                'protocol': 'h1',
                'tls': False,
                'admissionControl': False,
                'standby': False,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 262144,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
    }


def wait_for(condition, seconds, what, interval=0.05):
    """Wait until a condition holds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        found = condition()
        if found:
            return found
        time.sleep(interval)
    raise CouldNotRun(what)


def run_case(folder, play):
    """Run `play(record)`, which returns whether the rule held; exit."""
    record = Record(folder)
    record.write(f'TROUBLE={int(TROUBLE)}')
    try:
        status = HELD if play(record) else BROKEN
    except CouldNotRun as error:
        record.write(f'could not run: {error}')
        status = COULD_NOT_RUN
    except Exception:
        # A fault of the script says nothing about the rule.
        record.write(f'could not run: {traceback.format_exc()}')
        status = COULD_NOT_RUN
    record.write(f'exit {status}')
    sys.exit(status)
