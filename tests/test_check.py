"""Tests of `check` for desired states and settings, run as from a shell."""

import asyncio
import copy
import json
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from hypothesis import given
from hypothesis import strategies as st

from cuminstack.cli import CheckExitCode
from cuminstack.document import InForce, Outcome, Unavailable, Value
from cuminstack.platform._desired_state import (
    InvalidState,
    canonical_body,
    decode_state,
)
from cuminstack.platform._operators import ControlApi
from cuminstack.queries import Severity, check_file, find_file_kind
from cuminstack.roles import ControlRole
from cuminstack.tool import DesiredStateFiles, run
from operator_fixtures import SHEET, unreachable_url

EXAMPLE = Path(__file__).parent.parent / 'docs/examples/cuminstackd.ini'
MINIMAL = '[instance]\nname = a\nzone = z\n'
_REMOVED = object()


def make_state(*changes: tuple[str, Any]) -> dict[str, Any]:
    """Return a desired state without findings, with values replaced.

    Args:
        changes: Dotted path and new value of each replaced value.
    """
    state: dict[str, Any] = {
        'version': 7,
        'routes': [
            {
                'name': name,
                'host': 'h.example',
                'pathPrefix': f'/{name}/',
                'service': 's',
                'timeoutMs': 1500,
                'sloMs': 60,
                'attempts': 3,
                'stretch': 1.6,
            }
            for name in ('q', 'r')
        ],
        'services': [{'name': 's'}],
        'limits': {'maxHeaderBytes': 16384, 'maxBodyBytes': 262144},
    }
    for path, value in changes:
        *parents, last = (
            int(key) if key.isdigit() else key for key in path.split('.')
        )
        parent: Any = state
        for key in parents:
            parent = parent[key]
        if value is _REMOVED:
            parent.pop(last)
        else:
            parent[last] = value
    return state


def check_state(text: str) -> list[tuple[str, str, str]]:
    """Return severity, location and check of each finding in a state."""
    findings = check_file(DesiredStateFiles(), text).findings
    return [
        (each.severity.value, each.location, each.check) for each in findings
    ]


async def run_tool(*arguments: str) -> CheckExitCode:
    """Run the tool in a thread; the event loop serves the fake instance."""
    try:
        await asyncio.to_thread(run, arguments)
    except SystemExit as error:
        assert isinstance(error.code, int)
        return CheckExitCode(error.code)
    return CheckExitCode.ok


def make_control_app(outcome: Outcome) -> web.Application:
    """Return the HTTP API of a control instance that reads an outcome."""

    async def read() -> Outcome:
        return outcome

    role = cast(ControlRole, SimpleNamespace(read=read))
    return ControlApi(role).make_app()


def write_state(path: Path, *changes: tuple[str, Any]) -> str:
    path.write_text(json.dumps(make_state(*changes)), encoding='utf-8')
    return str(path)


#: Changed value, and the location and check of the only error.
ERRORS: tuple[tuple[str, Any, str, str], ...] = (
    ('version', 0, '$.version', 'version_not_positive'),
    ('version', '7', '$.version', 'malformed'),
    ('version', _REMOVED, '$.version', 'malformed'),
    ('routes', None, '$.routes', 'malformed'),
    ('routes.1', 5, '$.routes[1]', 'malformed'),
    ('routes.1.host', _REMOVED, '$.routes[1]', 'malformed'),
    ('routes.1.attempts', -1, '$.routes[1].attempts', 'malformed'),
    ('routes.1.sloMs', 10**400, '$.routes[1].sloMs', 'malformed'),
    ('routes.1.service', 'x', '$.routes[1].service', 'undeclared_service'),
    ('routes.1.pathPrefix', '/q/', '$.routes[1].pathPrefix', 'hidden_route'),
    ('routes.1.timeoutMs', 0, '$.routes[1].timeoutMs', 'timeout_not_positive'),
    ('services.0', {}, '$.services[0]', 'malformed'),
    ('limits', [], '$.limits', 'malformed'),
    ('limits.maxBodyBytes', 1.5, '$.limits.maxBodyBytes', 'malformed'),
)
WARNINGS: tuple[tuple[str, Any, str, str], ...] = (
    ('routes.1.host', 'http://h', '$.routes[1].host', 'unmatched_host'),
    ('routes.1.host', '', '$.routes[1].host', 'unmatched_host'),
    ('routes.1.pathPrefix', 'r/', '$.routes[1].pathPrefix', 'unmatched_prefix'),
    (
        'routes.1.timeoutMs',
        59,
        '$.routes[1].timeoutMs',
        'timeout_below_objective',
    ),
    ('routes.1.attempts', 0, '$.routes[1].attempts', 'no_attempts'),
    ('routes.1.stretch', 0.5, '$.routes[1].stretch', 'stretch_below_one'),
    ('routes.1.timeOutMs', 5, '$.routes[1].timeOutMs', 'misspelt_key'),
    ('limits.maxBodyBytes', 0, '$.limits.maxBodyBytes', 'no_body_limit'),
    ('limits', _REMOVED, '$.limits.maxBodyBytes', 'no_body_limit'),
)


class TestStateErrors:
    """Guards against a state that is refused only once it is submitted."""

    @pytest.mark.parametrize(('path', 'value', 'location', 'check'), ERRORS)
    def test_location(
        self, path: str, value: Any, location: str, check: str
    ) -> None:
        text = json.dumps(make_state((path, value)))
        errors = [each for each in check_state(text) if each[0] == 'error']
        assert errors == [('error', location, check)]
        # An error is what an instance refuses.
        with pytest.raises(InvalidState):
            decode_state(text.encode())

    @pytest.mark.parametrize(
        ('text', 'location'),
        [
            ('{"version": 7\n "routes": []}', 'line 2 column 2'),
            ('[' * 100000, '$'),
            ('[]', '$'),
        ],
    )
    def test_not_json(self, text: str, location: str) -> None:
        assert check_state(text) == [('error', location, 'malformed')]

    @given(
        path=st.sampled_from([row[0] for row in ERRORS + WARNINGS]),
        value=st.none()
        | st.booleans()
        | st.integers()
        | st.floats()
        | st.sampled_from(['', 's', 'q', '/q/', 'h.example', '\ud800'])
        | st.lists(st.just({'name': 's'}), max_size=2),
    )
    def test_errors_are_what_instances_refuse(
        self, path: str, value: Any
    ) -> None:
        text = json.dumps(make_state((path, value)))
        has_error = any(each[0] == 'error' for each in check_state(text))
        try:
            decode_state(canonical_body(text.encode()))
        except InvalidState:
            assert has_error
        else:
            assert not has_error

    def test_all_errors_are_reported(self) -> None:
        state = make_state(('routes.0.host', 5), ('routes.1.service', 'x'))
        locations = [place for _, place, _ in check_state(json.dumps(state))]
        assert locations == ['$.routes[0].host', '$.routes[1].service']


class TestStateWarnings:
    """Guards against parts of an accepted state that have no effect."""

    def test_clean_state(self) -> None:
        assert not check_state(json.dumps(make_state()))

    @pytest.mark.parametrize(('path', 'value', 'location', 'check'), WARNINGS)
    def test_location(
        self, path: str, value: Any, location: str, check: str
    ) -> None:
        text = json.dumps(make_state((path, value)))
        assert check_state(text) == [('warning', location, check)]
        decode_state(text.encode())

    def test_unused_and_repeated(self) -> None:
        services = [{'name': 's'}, {'name': 't'}, {'name': 's'}]
        text = json.dumps(make_state(('services', services)))
        assert check_state(text) == [
            ('warning', '$.services[1]', 'unused_service'),
            ('warning', '$.services[0].name', 'repeated_name'),
            ('warning', '$.services[2].name', 'repeated_name'),
        ]

    def test_keys_of_other_programs(self) -> None:
        text = json.dumps(make_state(('routes.1.owner', 'x')))
        assert not check_state(text)


class TestStateDifferences:
    """Guards against submitting other changes than those intended."""

    def test_values_by_route_name(self) -> None:
        old = make_state()
        new = copy.deepcopy(old)
        new['version'] = 8
        new['routes'].reverse()
        new['routes'][0]['timeoutMs'] = 900
        new['services'].append({'name': 't'})
        findings = check_file(
            DesiredStateFiles(), json.dumps(new), in_force=json.dumps(old)
        ).findings
        assert {
            each.location: each.message
            for each in findings
            if each.severity is Severity.difference
        } == {
            '$.version': '7 -> 8',
            '$.routes["r"].timeoutMs': '1500 -> 900',
            '$.services["t"]': '{"name": "t"}',
        }

    @pytest.mark.parametrize(
        ('version', 'code'),
        [
            (6, CheckExitCode.warnings),
            (7, CheckExitCode.errors),
            (8, CheckExitCode.ok),
        ],
    )
    async def test_version(
        self, tmp_path: Path, version: int, code: CheckExitCode
    ) -> None:
        old = write_state(tmp_path / 'old.json')
        change = ('routes.0.attempts', 2)
        new = write_state(tmp_path / 'new.json', ('version', version), change)
        assert await run_tool('check', new, '--against', old) is code

    async def test_version_in_force_at_an_instance(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = write_state(tmp_path / 'new.json')
        body = json.dumps(make_state(('version', 6))).encode()
        outcome = InForce(Value(6, body, ()))
        async with (
            TestServer(make_control_app(Unavailable())) as unavailable,
            TestServer(make_control_app(outcome)) as control,
        ):
            urls = f'{unavailable.make_url("")},{control.make_url("")}'
            code = await run_tool('check', path, '--instance', urls)
        assert code is CheckExitCode.ok
        assert capsys.readouterr().out == (
            'difference $.version: 6 -> 7 (changed)\n'
        )


SETTINGS = (
    ('[limit]\n', '[limit]', 'UnknownSection', CheckExitCode.errors),
    ('[timeouts]\ntick_ms = 51\n', '[timeouts] tick_ms', 'BadValue', 2),
    ('[timeouts]\ngone_ms = 40\n', '[timeouts] gone_ms', 'Inconsistent', 2),
    ('no section', 'file', 'UnreadableFile', 2),
    (
        '[limits]\noutcome_lifetime_seconds = 9\n',
        '[limits] outcome_lifetime_seconds',
        'outcome_lost_before_resend',
        1,
    ),
    (
        '[limits]\ndrain_seconds = 9\n',
        '[limits] drain_seconds',
        'drain_shorter_than_jobs',
        1,
    ),
    (
        '[peers]\nb = 127.0.0.2:1 y 127.0.0.2:2 replica\n'
        'c = 127.0.0.3:1 x 127.0.0.3:2 replica\n',
        '[peers]',
        'even_replicas',
        1,
    ),
)


class TestSettings:
    """Guards against settings that end an instance or contradict others."""

    @pytest.mark.parametrize(('text', 'location', 'check', 'code'), SETTINGS)
    async def test_location(
        self,
        text: str,
        location: str,
        check: str,
        code: int,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        path = tmp_path / 'a.ini'
        is_fragment = text.startswith('[')
        path.write_text(MINIMAL + text if is_fragment else text)
        assert await run_tool('check', str(path), '--json') == code
        findings = json.loads(capsys.readouterr().out)['findings']
        found = [(each['location'], each['check']) for each in findings]
        assert found == [(location, check)]

    async def test_example(self, capsys: pytest.CaptureFixture[str]) -> None:
        code = await run_tool('check', str(EXAMPLE))
        assert code is CheckExitCode.ok
        assert capsys.readouterr().out == 'settings: nothing found\n'

    async def test_differences(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        old, new = tmp_path / 'old.ini', tmp_path / 'new.ini'
        old.write_text(MINIMAL)
        new.write_text(f'{MINIMAL}[timeouts]\ntick_ms = 20\n')
        code = await run_tool('check', str(new), '--against', str(old))
        assert code is CheckExitCode.ok
        assert capsys.readouterr().out == (
            'difference [timeouts] tick_ms: 40 -> 20 (changed)\n'
        )


class TestExitCodes:
    """Guards scripts against taking an unread file for a checked one."""

    async def test_unreadable(self, tmp_path: Path) -> None:
        state = write_state(tmp_path / 'a.json')
        latin = tmp_path / 'latin.ini'
        latin.write_bytes(b'[instance]\nname = \xe9\n')
        unreachable = unreachable_url()
        for arguments in (
            ('no-such.json',),
            (str(latin),),
            (state, '--against', 'no-such.json'),
            (state, '--against', str(EXAMPLE)),
            (state, '--instance', unreachable),
        ):
            code = await run_tool('check', *arguments)
            assert code is CheckExitCode.unreadable

    async def test_usage(self, tmp_path: Path) -> None:
        sheet = tmp_path / 'a.csv'
        sheet.write_bytes(SHEET)
        state = write_state(tmp_path / 'a.json')
        url = unreachable_url()
        for arguments in (
            (str(sheet), '--against', str(sheet)),
            (str(EXAMPLE), '--instance', url),
            (state, '--against', state, '--instance', url),
        ):
            assert await run_tool('check', *arguments) == 2

    @pytest.mark.parametrize(
        ('path', 'text', 'kind'),
        [
            ('a.json', '', 'desired state'),
            ('a', ' {"version": 1}', 'desired state'),
            ('a', '# comment\n[instance]', 'settings'),
            ('a.csv', 'sheet,7,6', 'sheet'),
        ],
    )
    def test_kind(self, path: str, text: str, kind: str) -> None:
        found = find_file_kind(path, text)
        assert getattr(found, 'name', 'sheet') == kind
