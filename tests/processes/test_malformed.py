"""Tests that bad input has no effect and gets a problem naming the field."""

from collections.abc import AsyncIterator, Mapping
from types import MappingProxyType
from typing import Any

import orjson
import pytest
import pytest_asyncio

from processes.support import DeploymentHarness, run_deployment

JOBS = '/v1/members/tkemali/services/order-desk/jobs'
ANNOUNCEMENT = MappingProxyType(
    {
        'incarnation': 1,
        'zone': 'telavi',
        'url': 'http://127.0.0.1:9',
        'serves': [{'member': 'tkemali', 'service': 'order-desk'}],
        'slots': 8,
        'connections': 64,
        'offers': {'processors': 16, 'memory_mb': 1024, 'accelerators': 0},
        'state': 'serving',
        'busy': 0,
    },
)
LIMITS = MappingProxyType(
    {'max_payload_bytes': '1000', 'max_body_bytes': '100000'},
)

pytestmark = pytest.mark.asyncio(loop_scope='module')


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def harness() -> AsyncIterator[DeploymentHarness]:
    """One deployment for all tests, since bad input must change nothing."""
    async with run_deployment(settings={'limits': LIMITS}) as running:
        yield running
        assert not running.oracle().starts


def task(**changes: Any) -> dict[str, Any]:
    return {'tasks': [{'payload': {'run_ms': 1}, **changes}]}


def job(**changes: Any) -> dict[str, Any]:
    return {**task(), **changes}


async def request_problem(
    harness: DeploymentHarness,
    method: str,
    url: str,
    body: Any,
    headers: Mapping[str, str] | None = None,
) -> tuple[int, dict[str, Any]]:
    raw = body if isinstance(body, bytes) else orjson.dumps(body)
    async with harness.http.request(
        method,
        url,
        data=raw,
        headers={'Content-Type': 'application/json', **(headers or {})},
    ) as response:
        assert response.content_type == 'application/problem+json'
        problem = await response.json(content_type=None)
        return response.status, problem


class TestJob:
    """Validation of every field of a submission."""

    @pytest.mark.parametrize(
        ('body', 'statuses', 'field'),
        [
            (b'', {400}, 'body'),
            (b'{', {400}, 'body'),
            (b'\xff\xfe', {400}, 'body'),
            (b'[' * 20_000, {400, 422}, 'body'),
            ([], {422}, 'body'),
            ({}, {422}, 'tasks'),
            ({'tasks': None}, {422}, 'tasks'),
            ({'tasks': {}}, {422}, 'tasks'),
            ({'tasks': []}, {422}, 'tasks'),
            ({'tasks': task()['tasks'] * 1801}, {413}, 'tasks'),
            ({'tasks': [1]}, {422}, 'tasks'),
            ({'tasks': [{}]}, {422}, 'payload'),
            (task(payload='x' * 2000), {413}, 'payload'),
            (task(payload='x' * 200_000), {413}, 'body'),
            (task(needs=1), {422}, 'needs'),
            (task(needs={'processors': -1}), {422}, 'processors'),
            (task(needs={'processors': 'two'}), {422}, 'processors'),
            (task(needs={'memory_mb': 1.5}), {422}, 'memory_mb'),
            (task(needs={'memory_mb': -1}), {422}, 'memory_mb'),
            (task(needs={'accelerators': None}), {422}, 'accelerators'),
            (task(needs={'accelerators': 10**12}), {422}, 'accelerators'),
            (task(expected_ms=-1), {422}, 'expected_ms'),
            (task(expected_ms='soon'), {422}, 'expected_ms'),
            (job(idempotent='yes'), {422}, 'idempotent'),
            (job(idempotent=None), {422}, 'idempotent'),
            (job(deadline_ms=0), {422}, 'deadline_ms'),
            (job(deadline_ms=-5), {422}, 'deadline_ms'),
            (job(deadline_ms='x'), {422}, 'deadline_ms'),
            (job(deadline_ms=10**12), {422}, 'deadline_ms'),
            (job(idempotent=False), {422}, 'Idempotency-Key'),
        ],
    )
    async def test_body(
        self,
        harness: DeploymentHarness,
        body: Any,
        statuses: set[int],
        field: str,
    ) -> None:
        status, problem = await request_problem(
            harness, 'POST', harness.url(0) + JOBS, body
        )
        assert status in statuses
        assert problem['status'] == status
        assert field in problem['field']
        assert problem['not_run'] is True

    @pytest.mark.parametrize(
        'key',
        ['a b', 'a/b', 'a~b', 'ä', 'x' * 129, '.', '~', '"x"'],
    )
    async def test_key(self, harness: DeploymentHarness, key: str) -> None:
        status, problem = await request_problem(
            harness,
            'POST',
            harness.url(0) + JOBS,
            job(),
            {'Idempotency-Key': key},
        )
        assert status == 422
        assert problem['field'] == 'Idempotency-Key'

    @pytest.mark.parametrize(
        ('path', 'field'),
        [
            ('/v1/members/a~b/services/order-desk/jobs', 'member'),
            ('/v1/members/*/services/order-desk/jobs', 'member'),
            ('/v1/members/tkemali/services/a%20b/jobs', 'service'),
            ('/v1/members/tkemali/services/*/jobs', 'service'),
        ],
    )
    async def test_path(
        self, harness: DeploymentHarness, path: str, field: str
    ) -> None:
        status, problem = await request_problem(
            harness, 'POST', harness.url(0) + path, job()
        )
        assert status == 422
        assert problem['field'] == field

    @pytest.mark.parametrize(
        'path',
        [
            '/v1/members/nobody/services/order-desk/jobs',
            '/v1/members/tkemali/services/nothing/jobs',
        ],
    )
    async def test_unknown_names(
        self, harness: DeploymentHarness, path: str
    ) -> None:
        status, problem = await request_problem(
            harness, 'POST', harness.url(0) + path, job()
        )
        assert status == 404
        assert problem['not_run'] is True

    @pytest.mark.parametrize(
        ('method', 'path', 'expected'),
        [
            ('GET', '/v1/members/tkemali/jobs/never-seen', 404),
            ('DELETE', '/v1/members/tkemali/jobs/never-seen', 404),
            ('GET', '/v1/members/tkemali/jobs/a~b', 422),
            ('GET', '/nowhere', 404),
            ('PUT', JOBS, 405),
        ],
    )
    async def test_other_requests(
        self,
        harness: DeploymentHarness,
        method: str,
        path: str,
        expected: int,
    ) -> None:
        status, problem = await request_problem(
            harness, method, harness.url(0) + path, b''
        )
        assert status == expected
        assert problem['status'] == expected


class TestAnnouncement:
    """Validation of every field of an announcement."""

    @pytest.mark.parametrize(
        ('name', 'bad_value'),
        [
            ('incarnation', -1),
            ('incarnation', 'x'),
            ('zone', ''),
            ('zone', 7),
            ('url', 'ftp://127.0.0.1:1'),
            ('url', 'http://'),
            ('url', 1),
            ('serves', []),
            ('serves', [{'member': 'a~b', 'service': 'x'}]),
            ('serves', [{'member': 'tkemali'}]),
            ('slots', 0),
            ('slots', -1),
            ('slots', 'many'),
            ('connections', 0),
            ('offers', {'processors': -1}),
            ('offers', {'memory_mb': 'x'}),
            ('state', 'sleeping'),
            ('busy', -1),
        ],
    )
    async def test_field(
        self, harness: DeploymentHarness, name: str, bad_value: Any
    ) -> None:
        url = harness.instances[0].endpoints_url
        status, problem = await request_problem(
            harness,
            'PUT',
            f'{url}/v1/endpoints/bad',
            {**ANNOUNCEMENT, name: bad_value},
        )
        assert status == 422
        assert name in problem['field'] or problem['field'] in {
            'service',
            'member',
        }

    @pytest.mark.parametrize(
        'name',
        sorted(
            ANNOUNCEMENT.keys()
            - {
                'offers',
                'state',
                'busy',
            }
        ),
    )
    async def test_missing_field(
        self, harness: DeploymentHarness, name: str
    ) -> None:
        url = harness.instances[0].endpoints_url
        body = {key: ANNOUNCEMENT[key] for key in ANNOUNCEMENT if key != name}
        path = f'{url}/v1/endpoints/bad'
        status, problem = await request_problem(harness, 'PUT', path, body)
        assert (status, problem['field']) == (422, name)

    async def test_name(self, harness: DeploymentHarness) -> None:
        url = harness.instances[0].endpoints_url
        path = f'{url}/v1/endpoints/a~b'
        status, problem = await request_problem(
            harness, 'PUT', path, {**ANNOUNCEMENT}
        )
        assert (status, problem['field']) == (422, 'endpoint')


class TestSheet:
    """A sheet with faults is rejected and the one in force stays."""

    @pytest.mark.parametrize(
        'sheet',
        [
            b'',
            b'sheet,x,0\n',
            b'sheet,2,1\nmember,a~b,1,1,1\n',
            b'sheet,2,1\nmember,x,-1,1,1\n',
            b'sheet,2,1\nnonsense,1\n',
            b'sheet,2,1\nservice,nobody,x,1,1,response\n',
            b'\xff\xfe',
        ],
    )
    async def test_fault(
        self, harness: DeploymentHarness, sheet: bytes
    ) -> None:
        url = harness.instances[0].endpoints_url
        status, _ = await request_problem(
            harness, 'PUT', f'{url}/v1/sheet', sheet
        )
        assert status in {400, 422}
        async with harness.http.get(f'{url}/v1/sheet') as response:
            assert (await response.text()).startswith('sheet,1,0')


class TestUnhandled:
    """Requests that are refused before a handler has them."""

    # Guards against a refusal that leaves open whether the job was run.
    async def test_refusal_is_a_problem(
        self, harness: DeploymentHarness
    ) -> None:
        status, problem = await request_problem(
            harness,
            'POST',
            f'{harness.url(0)}{JOBS}',
            job(),
            headers={'X-Large': 'a' * 70_000},
        )
        assert status == problem['status'] == 431
        assert problem['not_run'] is True
