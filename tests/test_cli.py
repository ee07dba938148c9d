"""The command-line tool, as a shell would call it."""

import asyncio
import json
from pathlib import Path
from types import MappingProxyType

import pytest

from cuminstack.cli import ExitCode, render_table, run
from cuminstack.client import Problem
from cuminstack.sheet import FaultKind, SheetFault
from operator_fixtures import SHEET, StandInInstance, dead_url

FAULTY = Problem(
    title='sheet faulty',
    status=422,
    not_run=True,
    faults=(SheetFault(2, 3, FaultKind.bad_number, 'many'),),
)
UNDECIDED = Problem(title='no quorum', status=503, not_run=False)


async def call(*arguments: str) -> ExitCode:
    """Run one command line beside the loop of the stand-ins."""
    try:
        await asyncio.to_thread(run, arguments)
    except SystemExit as end:
        assert isinstance(end.code, int)
        return ExitCode(end.code)
    return ExitCode.ok


@pytest.fixture
def sheet(tmp_path: Path) -> str:
    path = tmp_path / 'sheet.csv'
    path.write_bytes(SHEET)
    return str(path)


class TestQueries:
    """Tables for people, JSON for programs."""

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
        async with StandInInstance('a') as one:
            assert await call(command, '--instance', one.url) is ExitCode.ok
        assert shown in capsys.readouterr().out

    async def test_json(self, capsys: pytest.CaptureFixture[str]) -> None:
        async with StandInInstance('a') as one:
            await call('members', '--json', f'--instance={one.url}')
        found = json.loads(capsys.readouterr().out)
        assert found['members'][0]['member'] == 'tkemali'

    async def test_histograms_name_the_missing(
        self,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        dead = dead_url()
        async with StandInInstance('a') as one:
            instances = f'{one.url},{dead}'
            code = await call('histograms', '--instance', instances)
        assert code is ExitCode.ok
        assert dead in capsys.readouterr().err


class TestSubmit:
    """A sheet goes out as it stands in the file."""

    async def test_accepted(
        self,
        sheet: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        async with StandInInstance('a') as one:
            code = await call(
                'submit',
                sheet,
                '--instance',
                f'{dead_url()},{one.url}',
            )
        assert code is ExitCode.ok
        assert one.submitted == [SHEET]
        assert 'in force: version 7' in capsys.readouterr().out

    async def test_faults_are_listed(
        self,
        sheet: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        async with StandInInstance('a', problem=FAULTY) as one:
            code = await call('submit', sheet, '--instance', one.url)
        assert code is ExitCode.refused
        assert 'row 2, column 3' in capsys.readouterr().err

    async def test_misspelt_flag_sends_nothing(self, sheet: str) -> None:
        async with StandInInstance('a') as one:
            code = await call('submit', sheet, '--instances', one.url)
            assert code is ExitCode.usage
            code = await call('submit', sheet, '-i', one.url, 'again')
            assert code is ExitCode.usage
        assert not one.submitted

    async def test_undecided_is_no_refusal(self, sheet: str) -> None:
        async with StandInInstance('a', problem=UNDECIDED) as one:
            code = await call('submit', sheet, '--instance', one.url)
        assert code is ExitCode.unreachable


class TestSheetFiles:
    """Sheets in files are checked and compared without an instance."""

    async def test_check(
        self,
        sheet: str,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        assert await call('check', sheet, '--json') is ExitCode.ok
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
        assert await call('check', str(path)) is ExitCode.refused
        assert 'row 2, column 3: bad_number' in capsys.readouterr().err

    async def test_diff(
        self,
        sheet: str,
        tmp_path: Path,
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        path = tmp_path / 'new.csv'
        path.write_bytes(SHEET.replace(b',2,', b',3,').replace(b'7,6', b'8,7'))
        assert await call('diff', sheet, str(path)) is ExitCode.ok
        assert capsys.readouterr().out.splitlines() == [
            'version 7 -> 8',
            '- member,tkemali,2,128,5000',
            '+ member,tkemali,3,128,5000',
        ]


class TestExitCodes:
    """Scripts can tell the ends apart."""

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
        assert await call(*arguments) is code

    async def test_unreachable(self) -> None:
        code = await call('status', '--instance', dead_url())
        assert code is ExitCode.unreachable


class TestTable:
    """Columns line up."""

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
    """What became of a job, out of the logs of all instances."""

    @pytest.fixture
    def logs(self, tmp_path: Path) -> list[str]:
        paths = [tmp_path / f'{name}.log' for name in LOGS]
        for path, text in zip(paths, LOGS.values(), strict=True):
            path.write_text(text, encoding='utf-8')
        return list(map(str, paths))

    async def test_way_of_a_job(
        self, logs: list[str], capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert await call('explain', 'a1', *logs) is ExitCode.ok
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
        assert await call('explain', 'c3', *logs) is ExitCode.refused

    async def test_key_that_looks_like_a_number(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        path = tmp_path / 'entry-1.log'
        moment = 'time=2026-12-04T10:00:00.100000+00:00'
        path.write_text(f'{moment} event=job.submitted key=184200000000e15\n')
        assert (
            await call('explain', '184200000000e15', str(path)) is ExitCode.ok
        )
        assert 'key=184200000000e15' in capsys.readouterr().out
