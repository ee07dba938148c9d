"""Tests of the command-line tool, run with arguments as from a shell."""

import asyncio
import json
from pathlib import Path
from types import MappingProxyType

import pytest

from cuminstack.cli import ExitCode, render_table, run
from cuminstack.client import Problem
from cuminstack.sheet import FaultKind, SheetFault
from operator_fixtures import SHEET, FakeInstance, unreachable_url

FAULTY_SHEET = Problem(
    title='sheet faulty',
    status=422,
    not_run=True,
    faults=(SheetFault(2, 3, FaultKind.bad_number, 'many'),),
)
NO_QUORUM = Problem(title='no quorum', status=503, not_run=False)


async def run_tool(*arguments: str) -> ExitCode:
    """Run the tool in a thread; the event loop serves the fake instances.

    Returns:
        The exit code of the tool.
    """
    try:
        await asyncio.to_thread(run, arguments)
    except SystemExit as error:
        assert isinstance(error.code, int)
        return ExitCode(error.code)
    return ExitCode.ok


@pytest.fixture
def sheet(tmp_path: Path) -> str:
    path = tmp_path / 'sheet.csv'
    path.write_bytes(SHEET)
    return str(path)


class TestQueries:
    """Queries print tables, or JSON with `--json`."""

    @pytest.mark.parametrize(
        ('command', 'shown'),
        [
            ('status', 'telavi'),
            ('members', 'order-desk'),
            ('endpoints', 'tkemali/order-desk'),
            ('histograms', 'response_ratio'),
            ('sheet', 'sheet,7,6'),
        ],
    )
    async def test_table(
        self,
        command: str,
        shown: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        async with FakeInstance('a') as one:
            assert await run_tool(command, '--instance', one.url) is ExitCode.ok
        assert shown in capsys.readouterr().out

    async def test_json(self, capsys: pytest.CaptureFixture[str]) -> None:
        async with FakeInstance('a') as one:
            await run_tool('members', '--json', f'--instance={one.url}')
        found = json.loads(capsys.readouterr().out)
        assert found['members'][0]['member'] == 'tkemali'

    async def test_histograms_report_unreachable_instances(
        self,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        unreachable = unreachable_url()
        async with FakeInstance('a') as one:
            instances = f'{one.url},{unreachable}'
            code = await run_tool('histograms', '--instance', instances)
        assert code is ExitCode.ok
        assert unreachable in capsys.readouterr().err


class TestSubmit:
    """A sheet is submitted with the bytes of the file, unchanged."""

    async def test_accepted(
        self,
        sheet: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        async with FakeInstance('a') as one:
            code = await run_tool(
                'submit',
                sheet,
                '--instance',
                f'{unreachable_url()},{one.url}',
            )
        assert code is ExitCode.ok
        assert one.submitted == [SHEET]
        assert 'in force: version 7' in capsys.readouterr().out

    async def test_faults_are_listed(
        self,
        sheet: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        async with FakeInstance('a', problem=FAULTY_SHEET) as one:
            code = await run_tool('submit', sheet, '--instance', one.url)
        assert code is ExitCode.refused
        assert 'row 2, column 3' in capsys.readouterr().err

    async def test_invalid_command_line_sends_nothing(self, sheet: str) -> None:
        async with FakeInstance('a') as one:
            code = await run_tool('submit', sheet, '--instances', one.url)
            assert code is ExitCode.usage
            code = await run_tool('submit', sheet, '-i', one.url, 'again')
            assert code is ExitCode.usage
        assert not one.submitted

    async def test_unknown_effect_is_not_a_refusal(self, sheet: str) -> None:
        async with FakeInstance('a', problem=NO_QUORUM) as one:
            code = await run_tool('submit', sheet, '--instance', one.url)
        assert code is ExitCode.unreachable


class TestSheetFiles:
    """Sheet files are validated and compared without an instance."""

    async def test_check(
        self,
        sheet: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        assert await run_tool('check', sheet, '--json') is ExitCode.ok
        found = json.loads(capsys.readouterr().out)
        assert found['version'] == 7
        assert found['members'] == 1

    async def test_faults(
        self,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        path = tmp_path / 'bad.csv'
        path.write_bytes(b'sheet,7,6\nmember,tkemali,many,128,5000\n')
        assert await run_tool('check', str(path)) is ExitCode.refused
        assert 'row 2, column 3: bad_number' in capsys.readouterr().err

    async def test_diff(
        self,
        sheet: str,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        path = tmp_path / 'new.csv'
        path.write_bytes(SHEET.replace(b',2,', b',3,').replace(b'7,6', b'8,7'))
        assert await run_tool('diff', sheet, str(path)) is ExitCode.ok
        assert capsys.readouterr().out.splitlines() == [
            'version 7 -> 8',
            '- member,tkemali,2,128,5000',
            '+ member,tkemali,3,128,5000',
        ]


class TestExitCodes:
    """Each kind of failure has its own exit code."""

    @pytest.mark.parametrize(
        ('arguments', 'code'),
        [
            (('submit', 'no-such-file.csv'), ExitCode.usage),
            (('status', '--instance', 'nowhere'), ExitCode.usage),
            (('status', '--timeout', 'long'), ExitCode.usage),
            (('no-such-command',), ExitCode.usage),
            (('status', '--no-such-flag'), ExitCode.usage),
        ],
    )
    async def test_usage(
        self,
        arguments: tuple[str, ...],
        code: ExitCode,
    ) -> None:
        assert await run_tool(*arguments) is code

    async def test_unreachable(self) -> None:
        code = await run_tool('status', '--instance', unreachable_url())
        assert code is ExitCode.unreachable


class TestTable:
    """Tables have aligned columns."""

    def test_alignment(self) -> None:
        text = render_table(
            ('name', 'count'),
            [('a', 1), ('longer', 20), ('none', None)],
        )
        assert text.splitlines() == [
            'name    count',
            'a           1',
            'longer     20',
            'none        -',
        ]


LOGS = MappingProxyType(
    {
        'entry-1': """\
time=2026-12-04T10:00:00.100000+00:00 level=info event=job.submitted key=a1
time=2026-12-04T10:00:00.900000+00:00 level=warning event=dispatcher.changed
time=2026-12-04T10:00:01.700000+00:00 level=info event=job.answered key=a1
time=2026-12-04T10:00:01.800000+00:00 level=info event=job.submitted key=b2
""",
        'control-1': """\
time=2026-12-04T10:00:00.500+00:00 event=endpoint.lost endpoint=e1 jobs=a1,b2
time=2026-12-04T10:00:00.600000+00:00 event=endpoint.ready endpoint=e1
time=2026-12-04T10:00:00.600000+00:00 event=endpoint.ready endpoint=e2
time=2026-12-04T10:00:09.000000+00:00 event=dispatcher.leads term=2
Traceback (most recent call last):
""",
    }
)


class TestExplain:
    """Events that affected a job, selected from the logs of all instances."""

    @pytest.fixture
    def logs(self, tmp_path: Path) -> list[str]:
        paths = [tmp_path / f'{name}.log' for name in LOGS]
        for path, text in zip(paths, LOGS.values(), strict=True):
            path.write_text(text, encoding='utf-8')
        return list(map(str, paths))

    async def test_events_of_job_endpoint_and_dispatcher(
        self, logs: list[str], capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert await run_tool('explain', 'a1', *logs) is ExitCode.ok
        shown = capsys.readouterr().out.splitlines()
        events = [line.partition('event=')[2].split()[0] for line in shown]
        assert events == [
            'job.submitted',
            'endpoint.lost',
            'endpoint.ready',
            'dispatcher.changed',
            'job.answered',
        ]
        assert shown[1].startswith('control-1: ')

    async def test_unknown_job(self, logs: list[str]) -> None:
        assert await run_tool('explain', 'c3', *logs) is ExitCode.refused

    async def test_key_that_looks_like_a_number(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / 'entry-1.log'
        timestamp = 'time=2026-12-04T10:00:00.100000+00:00'
        path.write_text(
            f'{timestamp} event=job.submitted key=184200000000e15\n'
        )
        assert (
            await run_tool('explain', '184200000000e15', str(path))
            is ExitCode.ok
        )
        assert 'key=184200000000e15' in capsys.readouterr().out
