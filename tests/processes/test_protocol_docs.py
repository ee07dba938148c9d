"""Tests that run the examples of docs/PROTOCOL.md."""

import re
from collections.abc import AsyncIterator
from pathlib import Path
from textwrap import dedent
from typing import Any

import orjson
import pytest
import pytest_asyncio

from processes.support import DeploymentHarness, run_deployment

DOCUMENT = Path(__file__).parents[2] / 'docs' / 'PROTOCOL.md'


def indented_blocks(text: str) -> list[str]:
    """Return the indented code blocks of a Markdown text."""
    found = re.findall(r'(?:^ {4}.*\n)+', text, flags=re.MULTILINE)
    return [dedent(block) for block in found]


def block_starting_with(start: str) -> str:
    """Return the only code block that starts with a text."""
    blocks = indented_blocks(DOCUMENT.read_text())
    found = [block for block in blocks if block.startswith(start)]
    assert len(found) == 1
    return found[0]


def operator_paths() -> list[str]:
    section = DOCUMENT.read_text().partition('## Operators')[2]
    return re.findall('`GET (/v1/[a-z]+)`', section)


def inline_keys(marker: str) -> set[str]:
    """Return the keys of the inline JSON object that contains a marker."""
    spans = re.findall('`({.*?})`', DOCUMENT.read_text())
    found = [span for span in spans if marker in span]
    assert len(found) == 1
    return set(re.findall('"([a-z_]+)":', found[0]))


async def put_sheet(harness: DeploymentHarness) -> int:
    url = harness.instances[0].endpoints_url
    async with harness.http.put(
        f'{url}/v1/sheet',
        data=block_starting_with('sheet,1,0').encode(),
        headers={'Content-Type': 'text/csv'},
    ) as response:
        return response.status


pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def harness() -> AsyncIterator[DeploymentHarness]:
    """One deployment for all tests, with the sheet of the document."""
    async with run_deployment(sheet='') as running:
        assert await put_sheet(running) == 200
        yield running


class TestExamples:
    """The examples of the document work as shown."""

    async def test_sheet_and_queries(self, harness: DeploymentHarness) -> None:
        url = harness.instances[0].endpoints_url
        paths = operator_paths()
        assert len(paths) >= 5
        for path in paths:
            async with harness.http.get(url + path) as response:
                assert response.status == 200, path

    async def test_job(self, harness: DeploymentHarness) -> None:
        job = orjson.loads(block_starting_with('{"tasks"'))
        async with harness.http.post(
            f'{harness.url(0)}/v1/members/tkemali/services/order-desk/jobs',
            json=job,
        ) as response:
            body = await response.json()
            assert response.status == 200
            assert response.headers['Idempotency-Key'] == body['key']
        assert set(body) == inline_keys('"answers"')
        assert len(body['answers']) == len(job['tasks'])
        again = await self._outcome(harness, body['key'])
        assert again == body

    async def test_announcement(self, harness: DeploymentHarness) -> None:
        announcement = orjson.loads(block_starting_with('{"incarnation"'))
        url = harness.instances[0].endpoints_url
        async with harness.http.put(
            f'{url}/v1/endpoints/example',
            json=announcement,
        ) as response:
            assert response.status == 200
            reply = await response.json()
        assert set(reply) == inline_keys('"announce_to"')

    @pytest.mark.parametrize('kind', ['ok', 'refuse_all'])
    async def test_start(self, harness: DeploymentHarness, kind: str) -> None:
        endpoint = harness.endpoints[0]
        await endpoint.set_mode(harness.http, kind=kind)
        body = dict.fromkeys(inline_keys('"start_within_ms"'), 'x')
        async with harness.http.post(
            f'{endpoint.url}/v1/tasks/tkemali~{kind}~0~1',
            json={**body, 'start_within_ms': 2000},
        ) as response:
            reply = await response.json(content_type=None)
        expected = {'ok': 200, 'refuse_all': 503}
        assert response.status == expected[kind]
        if kind == 'ok':
            assert set(reply) == inline_keys('"{task_id}"')
        else:
            assert f'`{reply["type"]}`' in DOCUMENT.read_text()

    async def _outcome(self, harness: DeploymentHarness, key: str) -> Any:
        url = f'{harness.url(0)}/v1/members/tkemali/jobs/{key}'
        async with harness.http.get(url) as response:
            return await response.json()
