"""Stand-in workers that follow the protocol page, several in one process.

Run with the packages of `target/deps` on the path.
"""

import asyncio
import contextlib
import json
import random
import time

from aiohttp import ClientSession, ClientTimeout, TCPConnector, web

HEARTBEAT_SECONDS = 1.5
#: Time-out of a liveness report, after which the next daemon is called.
CALL_SECONDS = 1.0
#: How long a call that gets no answer is kept open.
SILENCE_SECONDS = 30.0
MAX_HOLD_MS = 1000
STOP_SECONDS = 0.01
MAX_ENDS = 500


class Run:
    """A run that works at a worker."""

    def __init__(self, task, number, seconds, now):
        self.task = task
        self.number = number
        self.seconds = seconds
        self.began_at = now
        self.is_stopping = False

    def percent(self, now):
        return min(99, int(100 * (now - self.began_at) / max(self.seconds, 1e-6)))


class Worker:
    """One worker; a crash and a new start begin another lifetime.

    Args:
        name: Its id.
        ip: Its loopback address.
        port: Its port.
        service: Name of its service.
        zone: Its availability zone.
        controls: Addresses that take liveness reports.
        watcher: Called back with each start and each end.
        room: cpu, memMb and gpu.
        labels: Its kind and its rack.
    """

    def __init__(
        self,
        name,
        *,
        ip,
        port,
        service,
        zone,
        controls,
        watcher,
        room=(16000, 32768, 0),
        labels=('a', 'r1-1'),
    ):
        self.name = name
        self.ip = ip
        self.port = port
        self.service = service
        self.zone = zone
        self.controls = list(controls)
        self.watcher = watcher
        self.room = room
        self.labels = labels
        self.state = 'ready'
        self.late_share = 0.0
        self.is_cut = False
        self.fails_share = 0.0
        self._runner = None
        self._tasks = []
        self._begin_lifetime()

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    @property
    def is_up(self):
        return self._runner is not None

    def _begin_lifetime(self):
        self.born = int(time.time() * 1000)
        self._zero = time.monotonic() - random.random() * 500
        self.sequence = 0
        self.token = 0
        self.expires_ms = 0
        self.running = {}
        self.ends = []
        self.last_end = 0
        # Highest run that was stopped or ended here, by task.
        self.highest = {}
        self.ended = asyncio.Event()

    @property
    def clock_ms(self):
        return int((time.monotonic() - self._zero) * 1000)

    async def start(self):
        self._begin_lifetime()
        self.state = 'ready'
        app = web.Application(client_max_size=1 << 22)
        app.router.add_post('/api/run-start', self._guard(self._run_start))
        app.router.add_post('/api/run-stop', self._guard(self._run_stop))
        app.router.add_post('/api/hold', self._guard(self._hold))
        app.router.add_get('/health', self._health)
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0)
        await runner.setup()
        for attempt in range(40):
            try:
                await web.TCPSite(
                    runner, self.ip, self.port, reuse_address=True
                ).start()
                break
            except OSError:
                await asyncio.sleep(0.05)
        self._runner = runner
        self._tasks = [
            asyncio.create_task(self._beat_forever()),
            asyncio.create_task(self._work_forever()),
        ]

    async def crash(self):
        """End at once, without a word."""
        runner, self._runner = self._runner, None
        for run in list(self.running.values()):
            self.watcher.ended(self, run, 'crash')
        self.running.clear()
        for task in self._tasks:
            task.cancel()
        if runner is not None:
            for site in list(runner.sites):
                await site.stop()
            server = runner.server
            if server is not None:
                for connection in list(server.connections):
                    if connection.transport is not None:
                        connection.transport.abort()
            await runner.cleanup()

    # Work

    def _end(self, run, how):
        self.running.pop((run.task, run.number), None)
        self.highest[run.task] = max(run.number, self.highest.get(run.task, 0))
        self.last_end += 1
        self.ends.append((self.last_end, run.task, run.number, how))
        self.watcher.ended(self, run, how)
        self.ended.set()
        self.ended = asyncio.Event()

    async def _work_forever(self):
        while True:
            await asyncio.sleep(0.002)
            now = time.monotonic()
            if self.running and self.clock_ms > self.expires_ms:
                for run in list(self.running.values()):
                    self._end(run, 'lapsed')
                continue
            for run in list(self.running.values()):
                if not run.is_stopping and now - run.began_at >= run.seconds:
                    failed = random.random() < self.fails_share
                    self._end(run, 'failed' if failed else 'done')

    # Calls

    def _guard(self, handle):
        async def guarded(request):
            lifetime = self.born
            body = json.loads(await request.read())
            if not self.is_up or self.born != lifetime:
                raise web.HTTPServiceUnavailable
            if self.is_cut:
                # Lost: the sender gives up before it is delivered.
                await asyncio.sleep(SILENCE_SECONDS)
                raise web.HTTPServiceUnavailable
            expected = request.headers.get('X-Expected-Instance')
            if expected is not None and expected != self.name:
                return self._answer(421)
            if random.random() < self.late_share:
                asyncio.create_task(self._late(handle, body, lifetime))
                await asyncio.sleep(SILENCE_SECONDS)
            status, fields = await handle(body)
            return self._answer(status, **fields)

        return guarded

    async def _late(self, handle, body, lifetime):
        await asyncio.sleep(random.uniform(2, 12))
        if self.is_up and self.born == lifetime:
            body.pop('waitMs', None)
            await handle(body)

    def _answer(self, status, **fields):
        return web.json_response(
            {'clockMs': self.clock_ms, 'born': self.born, **fields},
            status=status,
        )

    def _obeys(self, body):
        token = body.get('fencingToken', 0)
        if token < self.token:
            return False
        self.token = token
        return True

    def _extend(self, body):
        expires = body.get('expiresMs')
        if expires is not None:
            bounded = min(expires, self.clock_ms + MAX_HOLD_MS)
            self.expires_ms = max(self.expires_ms, bounded)

    async def _run_start(self, body):
        if not self._obeys(body):
            return 409, {'reason': 'fence'}
        key = (body['task'], body['run'])
        if key in self.running:
            self._extend(body)
            return 200, {}
        if body['expiresMs'] <= self.clock_ms:
            return 409, {'reason': 'late'}
        self._extend(body)
        if body['run'] <= self.highest.get(body['task'], 0):
            return 409, {'reason': 'old'}
        seconds = self.watcher.seconds_of(self, body)
        run = Run(body['task'], body['run'], seconds, time.monotonic())
        self.running[key] = run
        self.watcher.started(self, run, body)
        return 200, {}

    async def _run_stop(self, body):
        if not self._obeys(body):
            return 409, {'reason': 'fence'}
        run = self.running.get((body['task'], body['run']))
        if run is None:
            task = body['task']
            self.highest[task] = max(body['run'], self.highest.get(task, 0))
        elif not run.is_stopping:
            run.is_stopping = True
            asyncio.get_running_loop().call_later(
                STOP_SECONDS, self._finish_stop, run, self.born
            )
        return 200, {}

    def _finish_stop(self, run, lifetime):
        if lifetime == self.born and (run.task, run.number) in self.running:
            self._end(run, 'stopped')

    async def _hold(self, body):
        if not self._obeys(body):
            return 409, {'reason': 'fence'}
        self._extend(body)
        seen = body.get('lastSeen', 0)
        self.ends = [end for end in self.ends if end[0] > seen]
        wait = min(body.get('waitMs', 0), 2000) / 1000
        if wait and not self.ends:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.ended.wait(), wait)
        now = time.monotonic()
        return 200, {
            'running': [
                [run.task, run.number, '', run.percent(now), 0]
                for run in self.running.values()
            ],
            'finished': [[*end, ''] for end in self.ends[:MAX_ENDS]],
        }

    async def _health(self, request):
        return web.Response()

    # Liveness reports

    def report(self):
        self.sequence += 1
        cpu, memory, gpu = self.room
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'capacity': 8,
            'state': self.state,
            'coldLeftMs': 0,
            'freeCapacity': {'cpu': cpu, 'memMb': memory, 'gpu': gpu},
            'labels': list(self.labels),
            'clockMs': self.clock_ms,
            'born': self.born,
            'sequence': self.sequence,
        }

    async def _beat_forever(self):
        timeout = ClientTimeout(total=CALL_SECONDS)
        async with ClientSession(
            timeout=timeout, connector=TCPConnector(force_close=True)
        ) as session:
            while True:
                await self.beat(session)
                await asyncio.sleep(HEARTBEAT_SECONDS * random.uniform(0.9, 1.0))

    async def beat(self, session):
        controls = list(self.controls)
        random.shuffle(controls)
        for control in controls:
            if self.is_cut:
                # This call times out, and the next one is called.
                await asyncio.sleep(CALL_SECONDS)
                continue
            url = f'http://{control}/api/Instances.Heartbeat/{self.name}'
            try:
                async with session.post(url, json=self.report()) as response:
                    await response.read()
                    if response.status // 100 == 2:
                        return
            except Exception:  # the next one is called
                continue
