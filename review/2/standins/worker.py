"""A worker as the platform's pages describe it.

It starts whatever it is told to (`admissionControl` is false), obeys fencing
tokens and leases, and lists its runs.  Its work is a timer.
"""

import asyncio
import time
from contextlib import suppress

import aiohttp
from aiohttp import web

HEARTBEAT_SECONDS = 1.5
#: Longest lease that a worker grants, in milliseconds: `maxHoldMs`.
MAX_HOLD_MS = 1000
STOP_SECONDS = 0.01
MAX_LISTED_ENDS = 500


class Run:
    """One run of a task, and when it began and ended."""

    def __init__(self, task, number, spec, worker, now):
        self.task = task
        self.number = number
        self.spec = spec
        self.worker = worker
        self.began_at = now
        self.ended_at = None
        self.how = None
        self.timer = None


class Worker:
    """One worker; `crash` and `start` begin a new lifetime under its id."""

    def __init__(self, name, *, record, ip, port, service, zone, cpu, controls):
        self.name = name
        self.record = record
        self.ip = ip
        self.port = port
        self.service = service
        self.zone = zone
        self.cpu = cpu
        self.controls = list(controls)
        self.work_seconds = lambda spec: 0.2
        #: All runs of all lifetimes.
        self.runs = []
        self.state = 'ready'
        self._runner = None
        self._beats = None
        self._http = None
        self._next_control = 0
        # Set while the worker is in touch with other machines.
        self._connected = asyncio.Event()
        self._connected.set()

    @property
    def address(self):
        """Address of the worker."""
        return f'{self.ip}:{self.port}'

    def clock_ms(self):
        """Return the steady clock of this lifetime, in milliseconds."""
        return int((time.monotonic() - self._started_at) * 1000)

    async def start(self, *, first_beat_after=0.0):
        """Begin a lifetime, which knows nothing of earlier ones."""
        self._started_at = time.monotonic() - 1
        self.born = int(time.time() * 1000)
        self.token = 0
        self.expires_ms = 0
        self.sequence = 0
        self.running = {}
        self.ends = []
        self._last_end = 0
        self._highest = {}
        self._ended = asyncio.Condition()
        app = web.Application(middlewares=[self._drop_while_cut])
        app.router.add_post('/api/run-start', self._run_start)
        app.router.add_post('/api/run-stop', self._run_stop)
        app.router.add_post('/api/hold', self._hold)
        self._runner = web.AppRunner(
            app,
            access_log=None,
            handler_cancellation=True,
            shutdown_timeout=0.01,
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, self.ip, self.port).start()
        self._http = aiohttp.ClientSession()
        self._lease = asyncio.create_task(self._watch_lease())
        self._beats = asyncio.create_task(self._beat(first_beat_after))
        self.record.add('worker_started', worker=self.name, born=self.born)

    async def crash(self):
        """End the lifetime at once; all that runs ends with it."""
        self._beats.cancel()
        self._lease.cancel()
        for run in tuple(self.running.values()):
            self._end(run, 'crash')
        for connection in list(self._runner.server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        with suppress(TimeoutError):
            async with asyncio.timeout(1):
                await self._runner.cleanup()
        await self._http.close()
        self.record.add('worker_crashed', worker=self.name)

    def cut(self):
        """Cut the worker off: it neither receives nor sends anything."""
        self._connected.clear()
        self.record.add('worker_cut', worker=self.name)

    def heal(self):
        """End the cut; what was sent to the worker meanwhile is lost."""
        self._connected.set()
        self.record.add('worker_healed', worker=self.name)

    @web.middleware
    async def _drop_while_cut(self, request, handler):
        if not self._connected.is_set():
            await self._connected.wait()
            request.transport.abort()
            return web.Response(status=500)
        response = await handler(request)
        if not self._connected.is_set():
            await self._connected.wait()
            request.transport.abort()
        return response

    async def _beat(self, first_beat_after):
        await asyncio.sleep(first_beat_after)
        while True:
            await self._send_heartbeat()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _send_heartbeat(self):
        """Send a heartbeat, to one control instance after the other."""
        for _ in self.controls:
            control = self.controls[self._next_control % len(self.controls)]
            self.sequence += 1
            body = {
                'service': self.service,
                'address': self.address,
                'zone': self.zone,
                'version': 'v1',
                'capacity': 8,
                'state': self.state,
                'coldLeftMs': 0,
                'freeCapacity': {'cpu': self.cpu, 'memMb': 32768, 'gpu': 0},
                'labels': ['a', f'r-{self.zone}'],
                'clockMs': self.clock_ms(),
                'sequence': self.sequence,
                'born': self.born,
            }
            url = f'http://{control}/api/Instances.Heartbeat/{self.name}'
            if not self._connected.is_set():
                # No answer within a second: the next one is called.
                await asyncio.sleep(1)
                self._next_control += 1
                continue
            try:
                async with self._http.post(
                    url, json=body, timeout=aiohttp.ClientTimeout(total=1)
                ) as answer:
                    if answer.status == 200:
                        return
            except (aiohttp.ClientError, TimeoutError, OSError):
                pass
            self._next_control += 1

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.002)
            if self.running and self.clock_ms() >= self.expires_ms:
                for run in tuple(self.running.values()):
                    self._end(run, 'lapsed')
                await self._notify()

    def _end(self, run, how):
        key = (run.task, run.number)
        if self.running.pop(key, None) is None:
            return
        if run.timer is not None:
            run.timer.cancel()
        run.ended_at = self.record.now()
        run.how = how
        self._last_end += 1
        self.ends.append([self._last_end, run.task, run.number, how, ''])
        self._highest[run.task] = max(
            run.number, self._highest.get(run.task, 0)
        )
        self.record.add(
            'run_ended',
            worker=self.name,
            task=run.task,
            run=run.number,
            how=how,
        )

    async def _notify(self):
        async with self._ended:
            self._ended.notify_all()

    async def _work(self, run, seconds):
        await asyncio.sleep(seconds)
        run.timer = None
        self._end(run, 'done')
        await self._notify()

    def _refuse(self, request, body):
        """Return the refusal of an order; None if it may be obeyed."""
        expected = request.headers.get('X-Expected-Instance')
        if expected not in (None, self.name):
            return web.Response(status=421)
        if body.get('fencingToken', 0) < self.token:
            return self._conflict('fence')
        self.token = max(self.token, body.get('fencingToken', 0))
        return None

    def _conflict(self, reason):
        return web.json_response(
            {'clockMs': self.clock_ms(), 'reason': reason}, status=409
        )

    def _extend(self, expires_ms):
        if expires_ms is not None:
            longest = self.clock_ms() + MAX_HOLD_MS
            self.expires_ms = max(self.expires_ms, min(expires_ms, longest))

    async def _run_start(self, request):
        body = await request.json()
        task, number = body['task'], body['run']
        refusal = self._refuse(request, body)
        if refusal is not None:
            return refusal
        if (task, number) not in self.running:
            if body['expiresMs'] <= self.clock_ms():
                return self._conflict('late')
            self._extend(body['expiresMs'])
            if number <= self._highest.get(task, 0):
                return self._conflict('old')
            run = Run(task, number, body['spec'], self, self.record.now())
            self.running[(task, number)] = run
            self.runs.append(run)
            self.record.add(
                'run_began',
                worker=self.name,
                born=self.born,
                task=task,
                run=number,
                token=self.token,
            )
            seconds = self.work_seconds(body['spec'])
            run.timer = asyncio.create_task(self._work(run, seconds))
        return web.json_response({'clockMs': self.clock_ms()})

    async def _run_stop(self, request):
        body = await request.json()
        refusal = self._refuse(request, body)
        if refusal is not None:
            return refusal
        task, number = body['task'], body['run']
        self._highest[task] = max(number, self._highest.get(task, 0))
        run = self.running.get((task, number))
        if run is not None:
            await asyncio.sleep(STOP_SECONDS)
            self._end(run, 'stopped')
            await self._notify()
        return web.json_response({'clockMs': self.clock_ms()})

    async def _hold(self, request):
        body = await request.json()
        refusal = self._refuse(request, body)
        if refusal is not None:
            return refusal
        self._extend(body.get('expiresMs'))
        last_seen = body.get('lastSeen', 0)
        self.ends = [end for end in self.ends if end[0] > last_seen]
        wait = min(body.get('waitMs', 0), 2000) / 1000
        if wait and not self.ends:
            try:
                async with asyncio.timeout(wait), self._ended:
                    await self._ended.wait()
            except TimeoutError:
                pass
        return web.json_response(
            {
                'clockMs': self.clock_ms(),
                'born': self.born,
                'running': [self._row(run) for run in self.running.values()],
                'finished': self.ends[:MAX_LISTED_ENDS],
            }
        )

    def _row(self, run):
        seconds = self.work_seconds(run.spec)
        percent = (self.record.now() - run.began_at) / seconds * 100
        return [run.task, run.number, '', min(99, int(percent)), 0]


def concurrent_runs(workers):
    """Return pairs of runs of one task that ran at the same time."""
    by_task = {}
    for worker in workers:
        for run in worker.runs:
            by_task.setdefault(run.task, []).append(run)
    pairs = []
    for runs in by_task.values():
        runs.sort(key=lambda run: run.began_at)
        for number, first in enumerate(runs):
            for second in runs[number + 1 :]:
                if first.ended_at is None or second.began_at < first.ended_at:
                    pairs.append((first, second))
    return pairs
