"""Tests of the client of the operator API."""

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
from operator_fixtures import FakeInstance, unreachable_url

UNAVAILABLE = Problem(title='no quorum', status=503, not_run=True)
STALE_SHEET = Problem(title='sheet stale', status=409, not_run=True)


def make_client(*urls: str, timeout_seconds: float = 5) -> OperatorClient:
    return OperatorClient(urls, timeout_seconds=timeout_seconds)


class TestFallback:
    """The next instance is tried if one is unreachable or answers 503."""

    async def test_skips_unreachable_and_unavailable(self) -> None:
        async with (
            FakeInstance('a', problem=UNAVAILABLE) as unavailable,
            FakeInstance('b') as available,
            make_client(
                unreachable_url(), unavailable.url, available.url
            ) as client,
        ):
            status = await queries.fetch_status(client)
            reply = await submit_sheet(client, b'sheet,7,6\n')
        assert status.instance == 'b'
        assert reply.outcome is SheetOutcome.in_force
        assert available.submitted == [b'sheet,7,6\n']

    async def test_refusal_is_not_retried(self) -> None:
        async with (
            FakeInstance('a', problem=STALE_SHEET) as one,
            FakeInstance('b') as two,
            make_client(one.url, two.url) as client,
        ):
            with pytest.raises(RequestRefused, match='stale'):
                await submit_sheet(client, b'sheet,7,6\n')
        assert not two.submitted

    async def test_all_unavailable(self) -> None:
        async with (
            FakeInstance('a', problem=UNAVAILABLE) as one,
            FakeInstance('b', problem=UNAVAILABLE) as two,
            make_client(one.url, two.url) as client,
        ):
            with pytest.raises(RequestRefused, match='no quorum'):
                await submit_sheet(client, b'sheet,7,6\n')

    async def test_unreachable_and_unavailable_instances(self) -> None:
        unreachable = unreachable_url()
        async with (
            FakeInstance('a', problem=UNAVAILABLE) as one,
            make_client(unreachable, one.url) as client,
        ):
            named = f'{unreachable}: .*\n{one.url}: RequestRefused no quorum'
            with pytest.raises(Unreachable, match=named):
                await submit_sheet(client, b'sheet,7,6\n')

    async def test_instance_that_never_responds(self) -> None:
        accepted = asyncio.Event()

        async def accept_silently(*_: object) -> None:
            accepted.set()
            await asyncio.sleep(5)

        server = await asyncio.start_server(accept_silently, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        silent_url = f'http://{host}:{port}'
        async with make_client(silent_url, timeout_seconds=0.05) as client:
            with pytest.raises(Unreachable, match='Timeout'):
                await queries.fetch_status(client)
        assert accepted.is_set()
        server.close()


class TestReplies:
    """Malformed responses raise an error; histograms tolerate missing ones."""

    async def test_body_of_other_type(self) -> None:
        async with (
            FakeInstance('a') as one,
            make_client(one.url) as client,
        ):
            with pytest.raises(MalformedReply):
                await client.get('/v1/members', queries.StatusView)

    async def test_error_without_problem_document(self) -> None:
        async with (
            FakeInstance('a') as one,
            make_client(one.url) as client,
        ):
            with pytest.raises(MalformedReply, match='status 500'):
                await client.fetch('GET', '/v1/absent')

    async def test_histograms_of_reachable_instances(self) -> None:
        async with (
            FakeInstance('a') as one,
            FakeInstance('b') as two,
            make_client(one.url, unreachable_url(), two.url) as client,
        ):
            view = await queries.fetch_histograms(client)
        assert view.merged.instances == ('a', 'b')
        assert [each.count for each in view.merged.messages] == [2]
        assert len(view.failures) == 1

    async def test_histograms_without_reachable_instance(self) -> None:
        async with make_client(unreachable_url()) as client:
            with pytest.raises(Unreachable):
                await queries.fetch_histograms(client)


class TestAddresses:
    """Addresses consist of an IP address and a port."""

    @pytest.mark.parametrize(
        'address',
        ['', 'localhost:8002', 'https://127.0.0.1:8002', '127.0.0.1'],
    )
    def test_invalid_address(self, address: str) -> None:
        with pytest.raises(BadAddress):
            make_client(address)

    def test_valid_addresses(self) -> None:
        client = make_client('127.0.0.1:8002', 'http://[::1]:8002/')
        assert client.instances == (
            'http://127.0.0.1:8002',
            'http://[::1]:8002',
        )
