"""Deployment, stand-ins and records for the script cases of the third review.

A case starts the project's own programs with the commands of the deploy file,
on loopback addresses of its own.  Workers, operator and clients are small
stand-ins that speak the protocol of the platform.  Everything that they send
and answer is kept in one list of records, from which a case judges the rule.
"""

import asyncio
import contextlib
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
FRONT, READY, CONTROL, PEER, WORKER = 8161, 8167, 8166, 7720, 8080
BOUNDS = {
    'seedLagS': 3, 'addrReuseS': 2, 'contactMs': 3000, 'ackMs': 4000,
    'catchUpS': 4, 'drainMs': 2000, 'graceS': 6, 'lossSlackMs': 200,
    'configApplyMs': 2000, 'rollbackSlackMs': 250, 'maxStretchMs': 5000,
    'recoveryS': 12, 'maxHoldMs': 1000, 'stopGraceMs': 50,
    'gangWaitMs': 3000, 'cancel_ms': 3000, 'visible_ms': 3000,
    'early_ms': 250, 'finish_s': 14, 'status_s': 120, 'retransmitMs': 1300,
}
HOST = 'nony24.example'
SERVICE = 'order-desk'


class CannotRun(Exception):
    """The case could not be played, so it shows nothing."""


class Log:
    """Records of what was sent, answered and run, in order."""

    def __init__(self):
        self.began = time.monotonic()
        self.rows = []
        self._lock = threading.Lock()

    def add(self, what, **values):
        with self._lock:
            row = (time.monotonic() - self.began, what, values)
            self.rows.append(row)
        return row[0]

    def now(self):
        return time.monotonic() - self.began

    def of(self, what):
        return [row for row in list(self.rows) if row[1] == what]

    def write(self, folder, verdict):
        with open(Path(folder) / 'record.txt', 'w') as out:
            for at, what, values in self.rows:
                text = ' '.join(f'{key}={values[key]}' for key in values)
                out.write(f'{at:9.3f} {what} {text}\n')
            out.write(f'verdict: {verdict}\n')


def free_net():
    """Return a loopback network 127.A.B of which no address is in use."""
    for _ in range(50):
        net = f'127.{random.randint(64, 250)}.{random.randint(1, 250)}'
        with contextlib.suppress(OSError):
            for port in (FRONT, CONTROL, PEER):
                with socket.create_server((f'{net}.11', port)):
                    pass
            return net
    raise CannotRun('no free loopback network')


class Process:
    """A program of the project, started as the deploy file says."""

    #: All processes of this case, to end them whatever happens.
    known = []

    def __init__(self, name, role, settings, folder):
        self.name = name
        self._role = role
        self.settings = settings
        self._folder = Path(folder)
        self.child = None
        Process.known.append(self)

    def start(self):
        path = self._folder / f'{self.name}.toml'
        path.write_text(to_toml(self.settings))
        with open(ROOT / 'deploy/system.toml', 'rb') as source:
            run = tomllib.load(source)['roles'][self._role]['run']
        env = {
            key: os.environ[key]
            for key in ('PATH', 'HOME', 'LANG') if key in os.environ
        }
        env['CUMINSTACK_SETTINGS'] = str(path)
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        with open(self._folder / f'{self.name}.log', 'ab') as out:
            self.child = subprocess.Popen(
                run.split(), cwd=ROOT, env=env, stdout=out, stderr=out,
                stdin=subprocess.DEVNULL,
            )

    def signal(self, number):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(number)

    def end(self):
        if self.child is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.child.wait()


def to_toml(settings):
    lines, tables = [], []
    for key, value in settings.items():
        if isinstance(value, dict):
            tables.append(f'[{key}]')
            tables += [f'{k} = {json.dumps(v)}' for k, v in value.items()]
        else:
            lines.append(f'{key} = {json.dumps(value)}')
    return '\n'.join(lines + tables) + '\n'


class Deployment:
    """Control instances and entries, with settings like a small site's."""

    def __init__(self, log, controls=3, entries=3, zones=('telavi', 'gurjaani', 'sighnaghi')):
        self.log = log
        self.net = free_net()
        self._folder = tempfile.TemporaryDirectory()
        self.zones = zones
        self.folder = Path(self._folder.name)
        self.controls, self.entries = [], []
        addresses = [f'{self.net}.{11 + n}' for n in range(controls)]
        seeds = [f'{ip}:{CONTROL}' for ip in addresses[:3]]
        for number, ip in enumerate(addresses):
            settings = self._settings(f'core-{number}', ip, seeds, 'core')
            settings['dataDir'] = str(self.folder / f'data-{number}')
            settings['zone'] = zones[number % len(zones)]
            settings['listenAddrs'] = {'control': f'{ip}:{CONTROL}'}
            settings['limits'] = {
                'cpuShare': 0.717, 'cores': 3, 'memoryMb': 296,
                'maxFds': 1000, 'linkMbps': 1000.0, 'diskMb': 128,
            }
            self.controls.append(
                Process(f'core-{number}', 'control', settings, self.folder)
            )
        for number in range(entries):
            ip = f'{self.net}.{41 + number}'
            settings = self._settings(f'edge-{number}', ip, seeds, 'edge')
            settings['zone'] = zones[number % len(zones)]
            settings['listenAddrs'] = {
                'front': f'{ip}:{FRONT}', 'ready': f'{ip}:{READY}',
            }
            settings['limits'] = {
                'cpuShare': 0.537, 'cores': 2, 'memoryMb': 300,
                'maxFds': 1000, 'linkMbps': 1000.0, 'diskMb': 0,
            }
            self.entries.append(
                Process(f'edge-{number}', 'entry', settings, self.folder)
            )
        self.control_ips = addresses
        self.entry_ips = [f'{self.net}.{41 + n}' for n in range(entries)]

    def _settings(self, name, ip, seeds, kind):
        return {
            'node': name, 'role': kind, 'machineClass': kind,
            'serves': ['control' if kind == 'core' else 'edge'],
            'ip': ip, 'zone': '', 'region': 'kakheti',
            'ephemeralPorts': [PEER, PEER + 15], 'seeds': seeds,
            'bootstrap': True, 'faultCounted': kind == 'core',
            'discovery': 'registry', 'entry': 'vip', 'heartbeatMs': 1500,
            'contracts': ['base', 'drain', 'config', 'cost', 'recover', 'sched'],
            'config_mode': 'highest', 'controlMode': 'call',
            'zones': {zone: 'kakheti' for zone in self.zones},
            'faultTolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS, 'cloud': {'address': '', 'ratePerS': 60.0, 'duties': []},
        }

    def start(self):
        for process in (*self.controls, *self.entries):
            process.start()

    def restart(self, process):
        """Start a process again, as the platform does after its first start."""
        process.settings['bootstrap'] = False
        process.start()

    def stop(self):
        for process in (*self.controls, *self.entries):
            process.end()
        self._folder.cleanup()

    def text_of(self, process):
        return (self.folder / f'{process.name}.log').read_text(errors='replace')


def call(ip, port, method, path, body=None, headers=None, seconds=5.0):
    """Return status and body of one request; status 0 without an answer."""
    connection = http.client.HTTPConnection(ip, port, timeout=seconds)
    try:
        data = None if body is None else json.dumps(body, separators=(',', ':')).encode()
        sent = {'Content-Type': 'application/json', **(headers or {})}
        connection.request(method, path, body=data, headers=sent)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b''
    finally:
        connection.close()


def state(version, routes, service=SERVICE):
    """Return a desired state with routes given as (name, prefix, options)."""
    return {
        'version': version,
        'routes': [
            {
                'name': name, 'host': HOST, 'pathPrefix': prefix,
                'routeType': 'non_idempotent', 'timeoutMs': 60000,
                'sloMs': 60, 'priority': 0, 'service': service,
                'attempts': 3, 'stretch': 1.6, **options,
            }
            for name, prefix, options in routes
        ],
        'services': [
            {
                'name': service, 'healthPath': '/health', 'maxConns': 64,
                'protocol': 'h1', 'tls': False, 'admissionControl': False,
                'standby': False,
            }
        ],
        'limits': {
            'maxHeaderBytes': 16384, 'maxBodyBytes': 262144,
            'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
        },
    }


def replace_state(log, deployment, document, seconds=20.0):
    """Send a desired state to the control instances until one accepts it."""
    until = time.monotonic() + seconds
    turn = 0
    while time.monotonic() < until:
        ip = deployment.control_ips[turn % len(deployment.control_ips)]
        turn += 1
        status, _ = call(ip, CONTROL, 'POST', '/api/Config.Replace', document, seconds=1.0)
        if status:
            log.add('config', version=document['version'], to=ip, status=status)
        if status == 200:
            return
        time.sleep(0.2)
    raise CannotRun('the desired state was not accepted')


def wait_ready(log, deployment, seconds=20.0):
    """Wait until all entries pass the check of the load balancer."""
    until = time.monotonic() + seconds
    missing = set(deployment.entry_ips)
    while missing and time.monotonic() < until:
        for ip in tuple(missing):
            if call(ip, READY, 'GET', '/api/readiness', seconds=1.0)[0] == 200:
                missing.discard(ip)
        time.sleep(0.1)
    if missing:
        raise CannotRun('an entry did not become ready')
    log.add('ready')


class Worker:
    """A sound worker, which keeps tokens, leases and ends as the pages say."""

    def __init__(self, log, deployment, number, cpu=16000, mem=32768, labels=('a',), zone=None, seconds_of=None):
        self.log = log
        self.id = f'i-{number:04x}{random.randrange(1 << 24):06x}'
        self.ip = f'{deployment.net}.{101 + number}'
        self.zone = zone or deployment.zones[number % len(deployment.zones)]
        self.deployment = deployment
        self.room = {'cpu': cpu, 'memMb': mem, 'gpu': 0}
        self.labels = [*labels, f'r1-{number // 8}']
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self._started = time.monotonic()
        self._seconds_of = seconds_of or (lambda task, spec: float(spec or 0.1))
        self._changed = threading.Condition()
        self._token = 0
        self._expires = 0
        self._running = {}
        self._highest = {}
        self._ends = []
        self._count = 0
        self._sequence = 0
        self._is_up = True
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'
            disable_nagle_algorithm = True

            def log_message(self, *args):
                pass

            def do_GET(self):
                self._reply(200, {})

            def do_POST(self):
                size = int(self.headers.get('Content-Length', 0))
                body = json.loads(self.rfile.read(size) or b'{}')
                if self.headers.get('X-Expected-Instance') not in (None, worker.id):
                    self._reply(421, {})
                    return
                status, answer = worker.handle(self.path.rsplit('/', 1)[1], body)
                self._reply(status, {'clockMs': worker.clock(), 'born': worker.born, **answer})

            def _reply(self, status, answer):
                data = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header('Content-Type', 'application/json')
                self.send_header('Content-Length', str(len(data)))
                self.end_headers()
                self.wfile.write(data)

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass

        self._server = Server((self.ip, WORKER), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat_forever, daemon=True).start()
        threading.Thread(target=self._run_forever, daemon=True).start()

    def clock(self):
        return int((time.monotonic() - self._started) * 1000) + 100000

    def stop(self):
        self._is_up = False
        self._server.shutdown()
        self._server.server_close()

    def handle(self, action, body):
        with self._changed:
            if body.get('fencingToken', 0) < self._token:
                return 409, {'reason': 'fence'}
            self._token = body.get('fencingToken', 0)
            if action == 'run-start':
                return self._start(body)
            if action == 'run-stop':
                return self._stop(body)
            return self._hold(body)

    def _extend(self, body):
        if body.get('expiresMs'):
            wanted = min(body['expiresMs'], self.clock() + BOUNDS['maxHoldMs'])
            self._expires = max(self._expires, wanted)

    def _start(self, body):
        task, run = body['task'], body['run']
        if body['expiresMs'] <= self.clock():
            return 409, {'reason': 'late'}
        self._extend(body)
        if (task, run) in self._running:
            return 200, {}
        if run <= self._highest.get(task, 0):
            return 409, {'reason': 'old'}
        began = time.monotonic()
        seconds = self._seconds_of(task, body['spec'])
        self._running[task, run] = (began, seconds)
        self.log.add('start', task=task, run=run, worker=self.id, spec=body['spec'][:40])
        return 200, {}

    def _stop(self, body):
        task, run = body['task'], body['run']
        self._highest[task] = max(run, self._highest.get(task, 0))
        if (task, run) in self._running:
            self._end(task, run, 'stopped')
        return 200, {}

    def _hold(self, body):
        self._extend(body)
        seen = body.get('lastSeen', 0)
        self._ends = [end for end in self._ends if end[0] > seen]
        wait = min(body.get('waitMs', 0), 2000) / 1000
        if wait and not self._ends:
            token = self._token
            self._changed.wait_for(lambda: bool(self._ends), timeout=wait)
            if token < self._token:
                return 409, {'reason': 'fence'}
        now = time.monotonic()
        running = [
            [task, run, '', int(min(99, 100 * (now - began) / max(seconds, 0.001))), 0]
            for (task, run), (began, seconds) in self._running.items()
        ]
        return 200, {'running': running, 'finished': self._ends[:500]}

    def _end(self, task, run, how):
        self._running.pop((task, run))
        self._highest[task] = max(run, self._highest.get(task, 0))
        self._count += 1
        self._ends.append([self._count, task, run, how, ''])
        self.log.add('end', task=task, run=run, how=how, worker=self.id)
        self._changed.notify_all()

    def _run_forever(self):
        while self._is_up:
            time.sleep(0.005)
            with self._changed:
                now = time.monotonic()
                lapsed = self.clock() >= self._expires
                for (task, run), (began, seconds) in tuple(self._running.items()):
                    if now - began >= seconds:
                        self._end(task, run, 'done')
                    elif lapsed:
                        self._end(task, run, 'lapsed')

    def report(self):
        self._sequence += 1
        return {
            'service': SERVICE, 'address': f'{self.ip}:{WORKER}',
            'zone': self.zone, 'version': 'v1', 'capacity': 8,
            'state': self.state, 'coldLeftMs': 0, 'freeCapacity': self.room,
            'labels': self.labels, 'clockMs': self.clock(),
            'sequence': self._sequence, 'born': self.born,
        }

    def beat(self):
        """Report to the control instances in turn until one acknowledges."""
        ips = list(self.deployment.control_ips)
        random.shuffle(ips)
        report = self.report()
        for ip in ips:
            path = f'/api/Instances.Heartbeat/{self.id}'
            status, _ = call(ip, CONTROL, 'POST', path, report, seconds=1.0)
            if 200 <= status < 300:
                return ip
        return None

    def _beat_forever(self):
        while self._is_up:
            self.beat()
            time.sleep(1.5)


def start_workers(log, deployment, count, **options):
    return [Worker(log, deployment, n, **options) for n in range(count)]


def job_id():
    return f'{random.getrandbits(64):016x}'


def submit(log, ip, prefix, key, steps, spec, deadline_ms, seconds=None):
    """Hand a job in, wait for its answer and record both."""
    log.add('POST', job=key, to=ip, deadline=deadline_ms)
    body = {'spec': spec, 'steps': steps, 'bestEffort': True}
    status, answer = call(
        ip, FRONT, 'POST', prefix + key, body,
        {'Host': HOST, 'X-Deadline-Ms': str(deadline_ms)},
        seconds=seconds or deadline_ms / 1000 + 1,
    )
    log.add('answer', job=key, status=status, body=answer[:80].decode())
    return status


def give_up(*_):
    """End all processes and say that the case could not run."""
    for process in Process.known:
        process.end()
    os._exit(2)


def main(folder, play):
    """Play a case and exit with its verdict."""
    log = Log()
    code, verdict = 2, 'could not run'
    timer = threading.Timer(115, give_up)
    timer.daemon = True
    timer.start()
    signal.signal(signal.SIGTERM, give_up)
    try:
        broken = play(log)
        code = 1 if broken else 0
        verdict = 'broken: ' + broken if broken else 'held'
    except CannotRun as error:
        verdict = f'could not run: {error}'
    finally:
        log.write(folder, verdict)
    print(verdict)
    os._exit(code)
