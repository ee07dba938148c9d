"""The stand-in endpoint keeps its side of the protocol."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import pytest
from aiohttp import (
    ClientSession,
    ServerDisconnectedError,
    web,
)
from bench._polling import until
from bench._stand_in import Mode, StandIn, StandInOptions
from bench.endpoint import EndpointServer, parse_serves

NOT_STARTED = 'urn:cuminstack:problem:not-started'


def options(slots: int = 1) -> StandInOptions:
    return StandInOptions(
        endpoint='e1',
        zone='telavi',
        serves=parse_serves('tkemali/order-desk,*/*'),
        slots=slots,
    )


class Site:
    """A running stand-in and a client of it."""

    def __init__(
        self,
        server: EndpointServer,
        http: ClientSession,
    ) -> None:
        self.server = server
        self.http = http
        self.url = server.url

    async def start(
        self,
        task: str,
        start_within_ms: float = 2000,
        **payload: Any,
    ) -> tuple[int, Any]:
        body = {
            'member': 'tkemali',
            'service': 'order-desk',
            'payload': payload,
            'start_within_ms': start_within_ms,
        }
        url = f'{self.url}/v1/tasks/{task}'
        async with self.http.post(url, json=body) as response:
            return response.status, await response.json(content_type=None)

    async def state(self, task: str) -> Any:
        url = f'{self.url}/v1/tasks/{task}'
        async with ClientSession() as fresh:
            async with fresh.get(url) as response:
                return await response.json()

    async def state_once(self, task: str, expected: str) -> Any:
        """Wait until the task is in a state and give the description."""

        async def reached() -> bool:
            return bool((await self.state(task))['state'] == expected)

        await until(reached, seconds=5)
        return await self.state(task)


@asynccontextmanager
async def running(
    mode: Mode | None = None,
    slots: int = 1,
) -> AsyncIterator[Site]:
    stand_in = StandIn(options(slots))
    stand_in.mode = mode or Mode()
    server = EndpointServer(stand_in)
    await server.start()
    async with ClientSession() as http:
        yield Site(server, http)
    await server.stop()


class TestStart:
    """A task starts at most once, or provably not."""

    async def test_answer(self) -> None:
        async with running() as site:
            status, body = await site.start('m~k~0~1', run_ms=1, echo='hello')
        assert status == 200
        assert body['task'] == 'm~k~0~1'
        assert body['answer'] == {'echo': 'hello', 'endpoint': 'e1'}

    async def test_duplicate(self) -> None:
        async with running() as site:
            await site.start('m~k~0~1', tag='t')
            status, _ = await site.start('m~k~0~1', tag='t')
            log = site.server.stand_in.start_log
        assert status == 409
        assert log['starts'] == ['m~k~0~1']
        assert log['tags'] == {'t': 1}
        assert log['duplicates'] == ['m~k~0~1']

    async def test_full_then_never(self) -> None:
        async with running() as site:
            first = asyncio.create_task(site.start('m~k~0~1', run_ms=200))
            await site.state_once('m~k~0~1', 'running')
            refused = await site.start('m~k~1~1')
            assert (await first)[0] == 200
            again = await site.start('m~k~1~1')
            log = site.server.stand_in.start_log
        assert refused[0] == 503
        assert refused[1]['type'] == NOT_STARTED
        assert again[0] == 503
        assert log['starts'] == ['m~k~0~1']

    async def test_start_window(self) -> None:
        async with running() as site:
            status, body = await site.start('m~k~0~1', start_within_ms=0)
        assert (status, body['type']) == (503, NOT_STARTED)

    async def test_leaving(self) -> None:
        async with running() as site:
            first = asyncio.create_task(site.start('m~k~0~1', run_ms=100))
            await site.state_once('m~k~0~1', 'running')
            await site.server.drain(linger=0)
            assert (await first)[0] == 200
            status, _ = await site.start('m~k~1~1')
        assert status == 503

    async def test_stop(self) -> None:
        async with running() as site:
            first = asyncio.create_task(site.start('m~k~0~1', run_ms=60_000))
            await site.state_once('m~k~0~1', 'running')
            async with site.http.delete(
                f'{site.url}/v1/tasks',
                json={'tasks': ['m~k~0~1', 'm~k~9~1']},
            ) as response:
                stopped = await response.json()
            status, _ = await first
            refused, _ = await site.start('m~k~9~1')
        assert stopped == {
            'stopped': ['m~k~0~1'],
            'never_started': ['m~k~9~1'],
        }
        assert (status, refused) == (500, 503)

    async def test_stop_of_unstarted_spares_running(self) -> None:
        async with running() as site:
            first = asyncio.create_task(site.start('m~k~0~1', run_ms=300))
            await site.state_once('m~k~0~1', 'running')
            async with site.http.delete(
                f'{site.url}/v1/tasks',
                json={'tasks': ['m~k~0~1'], 'unstarted_only': True},
            ) as response:
                stopped = await response.json()
            status, _ = await first
        assert stopped == {'stopped': [], 'never_started': []}
        assert status == 200


class TestModes:
    """Each misbehaviour is the one that its name says."""

    async def test_refuse_all(self) -> None:
        async with running(Mode(kind='refuse_all')) as site:
            status, _ = await site.start('m~k~0~1')
            log = site.server.stand_in.start_log
        assert (status, log['starts']) == (503, [])

    async def test_fail_all(self) -> None:
        async with running(Mode(kind='fail_all')) as site:
            status, _ = await site.start('m~k~0~1', run_ms=60_000)
            state = await site.state('m~k~0~1')
        assert (status, state) == (500, {'state': 'failed'})

    async def test_silent(self) -> None:
        async with running(Mode(kind='silent')) as site:
            waiting = asyncio.create_task(site.start('m~k~0~1', echo=1))
            state = await site.state_once('m~k~0~1', 'answered')
            assert not waiting.done()
            waiting.cancel()
        assert state['answer']['echo'] == 1

    async def test_drop_connection(self) -> None:
        async with running(Mode(kind='drop_connection')) as site:
            with pytest.raises(ServerDisconnectedError):
                await site.start('m~k~0~1', run_ms=10, echo=1)
            state = await site.state_once('m~k~0~1', 'answered')
        assert state['answer']['echo'] == 1

    async def test_late(self) -> None:
        async with running(Mode(kind='late', late_ms=200)) as site:
            waiting = asyncio.create_task(site.start('m~k~0~1', echo=1))
            await site.state_once('m~k~0~1', 'answered')
            assert not waiting.done()
            assert (await waiting)[0] == 200

    async def test_answer_twice(self) -> None:
        async with running(Mode(kind='answer_twice')) as site:
            _, own = await site.start('m~k~0~1', echo=1)
            await asyncio.sleep(0.1)
            _, crossed = await site.start('m~k~1~1', run_ms=50, echo=2)
        assert own['answer']['echo'] == 1
        # The client takes the repetition for the response to its next
        # request; only the task id tells.
        assert crossed['task'] == 'm~k~0~1'

    async def test_share(self) -> None:
        mode = Mode(kind='fail_all', share=0.5)
        async with running(mode, slots=40) as site:
            replies = await asyncio.gather(
                *(site.start(f'm~k~{index}~1') for index in range(40)),
            )
        assert {status for status, _ in replies} == {200, 500}

    async def test_unknown_kind(self) -> None:
        async with running() as site:
            async with site.http.put(
                f'{site.url}/mode',
                json={'kind': 'nope'},
            ) as response:
                assert response.status == 422


class Instances:
    """Takes announcements, and sends the endpoint to another address."""

    def __init__(self) -> None:
        self.heard: list[Any] = []
        self.changed = asyncio.Event()
        self.next_url = ''

    async def listen(self) -> tuple[web.AppRunner, str]:
        app = web.Application()
        app.router.add_put('/v1/endpoints/{endpoint}', self._announced)
        runner = web.AppRunner(app)
        await runner.setup()
        await web.TCPSite(runner, '127.0.0.1', 0).start()
        port = runner.addresses[0][1]
        return runner, f'http://127.0.0.1:{port}'

    async def wait(self, count: int) -> None:
        async with asyncio.timeout(10):
            while len(self.heard) < count:
                self.changed.clear()
                await self.changed.wait()

    async def _announced(self, request: web.Request) -> web.Response:
        port = int(request.host.rpartition(':')[2])
        self.heard.append({'port': port, **await request.json()})
        self.changed.set()
        reply = {
            'announce_to': self.next_url,
            'announce_in_ms': 10,
            'lease_ms': 5000,
        }
        return web.json_response(reply)


class TestAnnounce:
    """It announces itself where it is told to, or where it can."""

    async def test_follows_and_falls_back(self) -> None:
        instances = Instances()
        first, first_url = await instances.listen()
        second, second_url = await instances.listen()
        instances.next_url = second_url
        server = EndpointServer(StandIn(options()))
        await server.start([first_url])
        await instances.wait(3)
        await second.cleanup()
        instances.next_url = first_url
        await instances.wait(len(instances.heard) + 2)
        server.stand_in.leave(now=0)
        await instances.wait(len(instances.heard) + 2)
        await server.stop()
        await first.cleanup()
        heard = instances.heard
        assert heard[0]['port'] == heard[-1]['port']
        assert heard[0]['port'] != heard[1]['port']
        assert heard[0]['url'] == server.url
        assert heard[0]['state'] == 'serving'
        assert heard[-1]['state'] == 'leaving'
