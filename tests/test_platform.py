"""Decoding of the platform's settings and messages."""

import json
import resource
import tomllib
from pathlib import Path
from types import MappingProxyType
from typing import Any

import pytest

from cuminstack.core import JobKey
from cuminstack.fleet import Completed, Failure, MayHaveRun, NotRun
from cuminstack.listeners._limits import RequestLimits
from cuminstack.metrics import Exposition
from cuminstack.platform._desired_state import (
    InvalidState,
    canonical_body,
    decode_state,
)
from cuminstack.platform._jobs import (
    BadJob,
    UnsupportedJob,
    decode_job,
    decode_task,
    task_name,
)
from cuminstack.platform._metrics import MetricsPage, outcome_label
from cuminstack.platform._settings import BadSettings, decode_settings
from cuminstack.platform._workers import (
    BadReport,
    UnreadableRun,
    decode_heartbeat,
    decode_refusal,
    decode_view,
)
from cuminstack.pool import (
    MAX_TERM,
    EndKind,
    JobState,
    Refusal,
    Resources,
    find_order,
)
from cuminstack.pool._job_table import JobTable
from cuminstack.pool._queue import JobQueue
from cuminstack.pool._tokens import TokenSource

ROUTE = MappingProxyType(
    {
        'name': 'r',
        'host': 'h.example',
        'pathPrefix': '/q/',
        'timeoutMs': 1500,
        'sloMs': 60,
        'service': 's',
        'attempts': 3,
        'stretch': 1.6,
    }
)
STATE = MappingProxyType(
    {'version': 7, 'routes': [ROUTE], 'services': [{'name': 's'}]}
)
HEARTBEAT = MappingProxyType(
    {
        'service': 's',
        'address': '10.0.0.9:80',
        'zone': 'z',
        'state': 'ready',
        'sequence': 4,
        'freeCapacity': {'cpu': 16000, 'memMb': 32768},
        'labels': ['a', 'r1-3'],
        'born': 1700000000000,
    }
)
MINIMAL = MappingProxyType(
    {'ip': '10.1.0.13', 'zone': 'z', 'ephemeralPorts': [7720, 7735]}
)
KEY = JobKey('5c0e7a21d94b36f8')


def _to_json(document: Any) -> bytes:
    return json.dumps(document, default=dict).encode()


class TestDesiredState:
    """Validation and lookup of the desired state."""

    def test_longest_prefix_wins(self) -> None:
        longer = {**ROUTE, 'name': 'l', 'pathPrefix': '/q/x/'}
        state = decode_state(_to_json({**STATE, 'routes': [ROUTE, longer]}))
        queue = state.find_queue('h.example', '/q/x/5c')
        assert queue is not None
        assert queue.terms.name == 'l'
        assert state.find_queue('other.example', '/q/') is None

    @pytest.mark.parametrize(
        'change',
        [
            {'routes': [{**ROUTE, 'service': 'unknown'}]},
            {'routes': [ROUTE, {**ROUTE, 'name': 'twin'}]},
            {'routes': [{**ROUTE, 'timeoutMs': 0}]},
            {'version': '7'},
            {'version': 0},
            {'routes': None},
        ],
    )
    def test_invalid(self, change: dict[str, Any]) -> None:
        with pytest.raises(InvalidState):
            decode_state(_to_json({**STATE, **change}))

    def test_truncated_body(self) -> None:
        with pytest.raises(InvalidState):
            canonical_body(_to_json(STATE)[:-5])

    def test_key_order_does_not_matter(self) -> None:
        reordered = dict(reversed(tuple(STATE.items())))
        assert canonical_body(_to_json(reordered)) == canonical_body(
            _to_json(STATE)
        )


class TestJobs:
    """Decoding of submitted jobs."""

    def test_step(self) -> None:
        step = {'count': 2, 'cpu': 500, 'memMb': 64, 'estRuntimeMs': 900}
        body = _to_json({'spec': 'x', 'steps': [step], 'bestEffort': True})
        job = decode_job(body, key=KEY, queue='r')
        assert job.steps[0].needs == Resources(500, 64)
        assert job.steps[0].estimate == pytest.approx(0.9)

    @pytest.mark.parametrize(
        'body',
        [b'', b'{}', b'{"steps":[]}', b'{"steps":[{"count":0}]}'],
    )
    def test_malformed(self, body: bytes) -> None:
        with pytest.raises(BadJob):
            decode_job(body, key=KEY, queue='r')

    def test_step_that_depends_on_itself(self) -> None:
        body = _to_json({'steps': [{'after': [0]}], 'bestEffort': True})
        with pytest.raises(BadJob):
            decode_job(body, key=KEY, queue='r')

    @pytest.mark.parametrize('extra', [{'longRunning': True}, {'times': 2}])
    def test_unsupported(self, extra: dict[str, Any]) -> None:
        body = _to_json({'steps': [{}], 'bestEffort': True, **extra})
        with pytest.raises(UnsupportedJob):
            decode_job(body, key=KEY, queue='r')

    def test_task_names(self) -> None:
        name = f'{KEY}.0.1.17'
        assert task_name(decode_task(name)) == name


class TestWorkers:
    """Decoding of heartbeats and of answers of workers."""

    def test_heartbeat(self) -> None:
        report = decode_heartbeat('i-1', _to_json(HEARTBEAT))
        assert report.room == Resources(16000, 32768)
        assert report.lifetime == 1700000000000
        assert not report.draining

    @pytest.mark.parametrize(
        'change',
        [
            {'state': 'odd'},
            {'address': 'nowhere'},
            {'service': 5},
            {'sequence': 'x'},
            {'freeCapacity': None},
        ],
    )
    def test_malformed_heartbeat(self, change: dict[str, Any]) -> None:
        with pytest.raises(BadReport):
            decode_heartbeat('i-1', _to_json({**HEARTBEAT, **change}))

    def test_heartbeat_that_is_not_json(self) -> None:
        with pytest.raises(BadReport):
            decode_heartbeat('i-1', b'\xff\x00')

    def test_malformed_rows_are_skipped(self) -> None:
        view = decode_view(
            _to_json(
                {
                    'clockMs': 5,
                    'running': [[f'{KEY}.0.0.0', 1, '', 41, 7], ['x'], 5],
                    'finished': [
                        [58, f'{KEY}.0.0.1', 1, 'done', ''],
                        [59, f'{KEY}.0.0.2', 1, 'odd', ''],
                    ],
                },
            ),
        )
        assert [row.percent for row in view.running] == [41]
        assert [end.kind for end in view.ends] == [EndKind.done]

    # Guards against runs that count as lost once numbers pass 2**31, so that
    # each task is started again while it runs.
    def test_high_run_numbers_are_read(self) -> None:
        number = 4_260_350_001
        view = decode_view(
            _to_json(
                {
                    'clockMs': 5,
                    'running': [[f'{KEY}.0.0.0', number, '', 41, 7]],
                    'finished': [[58, f'{KEY}.0.0.1', number, 'done', '']],
                },
            ),
        )
        assert [row.run.number for row in view.running] == [number]
        assert [end.run.number for end in view.ends] == [number]

    # Guards against a task that is started again while it runs, as the row
    # that lists its run was skipped.
    @pytest.mark.parametrize('rest', [[], ['x'], [-1], [2**53], [1.5]])
    def test_run_without_a_valid_number(self, rest: list[Any]) -> None:
        rows = [[f'{KEY}.0.0.0', 1, '', 41, 7], [f'{KEY}.0.0.1', *rest]]
        body = _to_json({'clockMs': 5, 'running': rows, 'finished': []})
        with pytest.raises(UnreadableRun, match=f'{KEY}.0.0.1'):
            decode_view(body)

    def test_refusals(self) -> None:
        body = b'{"clockMs":1,"reason":"fence"}'
        assert decode_refusal(body) is Refusal.fenced
        assert decode_refusal(b'nonsense') is Refusal.invalid


class TestGrowingNumbers:
    """Numbers that grow with each term stay in the range of each codec."""

    # Guards against orders that endpoints can't read in a late term: most hold
    # integers in 64 bits.
    def test_last_token(self) -> None:
        tokens = TokenSource(term=MAX_TERM, instance=2**16 - 1)
        tokens._issued = 2**18 - 2
        token = tokens.issue()
        assert token == 2**63 - 1

    # Guards against a run that is lost as its endpoint lists it.
    def test_last_run_number(self) -> None:
        queue = JobQueue(find_order('useful-first'))
        last = JobTable(queue, term=MAX_TERM + 1)._first_number
        rows = [[f'{KEY}.0.0.0', last, '', 41, 7]]
        view = decode_view(
            _to_json({'clockMs': 5, 'running': rows, 'finished': []})
        )
        assert view.running[0].run.number == last


class TestDeployFile:
    """The deploy file agrees with the command line and the metrics path."""

    @pytest.mark.parametrize('role', ['entry', 'control'])
    def test_metrics_address(self, role: str) -> None:
        path = Path(__file__).parent.parent / 'deploy' / 'system.toml'
        roles = tomllib.loads(path.read_text(encoding='utf-8'))['roles']
        port, _, metrics_path = roles[role]['metrics'].partition('/')
        _, _, arguments = roles[role]['run'].partition('deploy/instance.py')
        assert arguments.split() == [role, f'--metrics-port={port}']
        routes = MetricsPage(Exposition()).make_app().router.resources()
        assert [route.canonical for route in routes] == [f'/{metrics_path}']


class TestOutcomeLabels:
    """Every kind of answer is counted under its own label."""

    def test_labels(self) -> None:
        answers = (
            Completed(JobState.failed),
            MayHaveRun(Failure.deadline),
            NotRun('deadline', 1),
        )
        labels = [outcome_label(answer) for answer in answers]
        assert labels == ['failed', 'deadline', 'not_run_deadline']


class TestRequestLimits:
    """What the desired state allows requests."""

    # Guards against listeners that refuse what the desired state allows.
    def test_limits(self) -> None:
        limits = {
            'maxHeaderBytes': 16384,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        }
        state = decode_state(_to_json({**STATE, 'limits': limits}))
        assert state.request_limits == RequestLimits(16384, 3, 15)
        without = decode_state(_to_json(STATE))
        assert without.request_limits == RequestLimits()


class TestSettings:
    """Decoding of the settings file."""

    def test_seeds_become_peers(self) -> None:
        settings = decode_settings(
            {
                'ip': '10.1.0.13',
                'zone': 'z',
                'ephemeralPorts': [7720, 7735],
                'seeds': ['10.1.0.16:8166'],
                'listenAddrs': {'control': '10.1.0.13:8166'},
                'unknown': 'ignored',
            },
        )
        assert settings.role.own == '10.1.0.13:7720'
        assert settings.role.controls == ('10.1.0.16:7720',)
        assert settings.caller_address is None

    # Guards against limits of the machine that are ignored, or beyond what
    # the system allows the process.
    def test_machine_limits(self) -> None:
        limits = {'memoryMb': 160, 'maxFds': 400, 'cpuShare': 0.5}
        machine = decode_settings({**MINIMAL, 'limits': limits}).machine
        assert (machine.memory_mb, machine.descriptors) == (160, 400)
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        default = decode_settings({**MINIMAL}).machine
        assert (default.memory_mb, default.descriptors) == (160, allowed)

    @pytest.mark.parametrize(
        'limits', [{'memoryMb': 0}, {'memoryMb': 'much'}, {'maxFds': -1}]
    )
    def test_bad_machine_limits(self, limits: dict[str, Any]) -> None:
        with pytest.raises(BadSettings, match=next(iter(limits))):
            decode_settings({**MINIMAL, 'limits': limits})

    def test_missing_setting(self) -> None:
        with pytest.raises(BadSettings):
            decode_settings({'ip': '10.1.0.13'})
