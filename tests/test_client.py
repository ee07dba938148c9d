"""The client of the operators' interface."""

import asyncio

import pytest

from cuminstack import queries
from cuminstack.client import (
    BadAddress,
    MalformedReply,
    OperatorClient,
    Problem,
    RequestRefused,
    Unreachable,
)
from cuminstack.commands import SheetOutcome, submit_sheet
from operator_fixtures import StandInInstance, dead_url

BUSY = Problem(title='no quorum', status=503, not_run=True)
STALE = Problem(title='sheet stale', status=409, not_run=True)


def client_of(*urls: str, timeout_seconds: float = 5) -> OperatorClient:
    return OperatorClient(urls, timeout_seconds=timeout_seconds)


class TestFallback:
    """The next instance is asked where one can't answer."""

    async def test_dead_then_busy_then_able(self) -> None:
        async with (
            StandInInstance('a', problem=BUSY) as busy,
            StandInInstance('b') as able,
            client_of(dead_url(), busy.url, able.url) as client,
        ):
            status = await queries.fetch_status(client)
            reply = await submit_sheet(client, b'sheet,7,6\n')
        assert status.instance == 'b'
        assert reply.outcome is SheetOutcome.in_force
        assert able.submitted == [b'sheet,7,6\n']

    async def test_refusal_is_final(self) -> None:
        async with (
            StandInInstance('a', problem=STALE) as one,
            StandInInstance('b') as two,
            client_of(one.url, two.url) as client,
        ):
            with pytest.raises(RequestRefused, match='stale'):
                await submit_sheet(client, b'sheet,7,6\n')
        assert not two.submitted

    async def test_all_busy(self) -> None:
        async with (
            StandInInstance('a', problem=BUSY) as one,
            StandInInstance('b', problem=BUSY) as two,
            client_of(one.url, two.url) as client,
        ):
            with pytest.raises(RequestRefused, match='no quorum'):
                await submit_sheet(client, b'sheet,7,6\n')

    async def test_some_dead_some_busy(self) -> None:
        dead = dead_url()
        async with (
            StandInInstance('a', problem=BUSY) as one,
            client_of(dead, one.url) as client,
        ):
            named = f'{dead}: .*\n{one.url}: RequestRefused no quorum'
            with pytest.raises(Unreachable, match=named):
                await submit_sheet(client, b'sheet,7,6\n')

    async def test_silent(self) -> None:
        accepted = asyncio.Event()

        async def swallow(*_: object) -> None:
            accepted.set()
            await asyncio.sleep(5)

        server = await asyncio.start_server(swallow, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        silent = f'http://{host}:{port}'
        async with client_of(silent, timeout_seconds=0.05) as client:
            with pytest.raises(Unreachable, match='Timeout'):
                await queries.fetch_status(client)
        assert accepted.is_set()
        server.close()


class TestReplies:
    """What is no reply of this protocol is told as such."""

    async def test_other_shape(self) -> None:
        async with (
            StandInInstance('a') as one,
            client_of(one.url) as client,
        ):
            with pytest.raises(MalformedReply):
                await client.get('/v1/members', queries.StatusView)

    async def test_no_problem_document(self) -> None:
        async with (
            StandInInstance('a') as one,
            client_of(one.url) as client,
        ):
            with pytest.raises(MalformedReply, match='status 500'):
                await client.fetch('GET', '/v1/absent')

    async def test_histograms_of_those_that_answer(self) -> None:
        async with (
            StandInInstance('a') as one,
            StandInInstance('b') as two,
            client_of(one.url, dead_url(), two.url) as client,
        ):
            view = await queries.fetch_histograms(client)
        assert view.merged.instances == ('a', 'b')
        assert [each.count for each in view.merged.messages] == [2]
        assert len(view.failures) == 1

    async def test_histograms_of_none(self) -> None:
        async with client_of(dead_url()) as client:
            with pytest.raises(Unreachable):
                await queries.fetch_histograms(client)


class TestAddresses:
    """Instances are named by IP number and port."""

    @pytest.mark.parametrize(
        'address',
        ['', 'localhost:8002', 'https://127.0.0.1:8002', '127.0.0.1'],
    )
    def test_refused(self, address: str) -> None:
        with pytest.raises(BadAddress):
            client_of(address)

    def test_short_form(self) -> None:
        client = client_of('127.0.0.1:8002', 'http://[::1]:8002/')
        assert client.instances == (
            'http://127.0.0.1:8002',
            'http://[::1]:8002',
        )
