"""Malformed input raises only the documented exceptions."""

import json
from contextlib import suppress
from http import HTTPStatus
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminstack import wire
from cuminstack.core import InstanceId, JobKey
from cuminstack.platform._desired_state import (
    InvalidState,
    canonical_body,
    decode_state,
)
from cuminstack.platform._jobs import BadJob, UnsupportedJob, decode_job
from cuminstack.platform._settings import (
    BadSettings,
    decode_settings,
    load_settings,
)
from cuminstack.platform._worker_client import (
    _classify_response,
    _decode_answer,
)
from cuminstack.platform._workers import (
    BadReport,
    decode_clock,
    decode_heartbeat,
    decode_refusal,
    decode_view,
)
from cuminstack.pool import (
    EndpointView,
    NoAnswer,
    OrderRefused,
    QueueTerms,
    Refusal,
    Submission,
    find_order,
)
from cuminstack.pool._job_table import JobTable
from cuminstack.pool._jobs import Job
from cuminstack.pool._queue import JobQueue

JOB = """{
    "bestEffort": true, "spec": "s",
    "steps": [{"count": 2, "cpu": 1000, "memMb": 64, "estRuntimeMs": 60}]
}"""
STATE = """{
    "version": 7, "services": [{"name": "s"}],
    "routes": [{
        "name": "r", "host": "h.example", "pathPrefix": "/q/",
        "timeoutMs": 1500, "service": "s"
    }]
}"""
HEARTBEAT = """{
    "service": "s", "address": "10.0.0.9:80", "zone": "z", "state": "ready",
    "sequence": 4, "freeCapacity": {"cpu": 16000, "memMb": 32768},
    "labels": ["a"], "born": 1700000000000
}"""
RUN_LISTS = """{
    "clockMs": 5, "born": 3,
    "running": [["5c0e7a21d94b36f8.0.1", 3, null, 50, 1]],
    "finished": [[7, "5c0e7a21d94b36f8.0.1", 3, "done", null]]
}"""
SETTINGS = """{
    "ip": "10.0.0.1", "zone": "z", "ephemeralPorts": [7720, 7735],
    "seeds": ["10.0.0.1:80"], "listenAddrs": {"control": "10.0.0.1:80"}
}"""

#: A number that no float and no 64-bit field holds.
HUGE = 10**400

#: Values that replace parts of a document.
ODD_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=8),
    st.just([]),
    st.just({}),
    st.just('\ud800'),
    st.just(HUGE),
)


@st.composite
def corrupted(draw: st.DrawFn, document: Any) -> Any:
    """Replace one part of a document by an odd value."""
    if isinstance(document, dict) and draw(st.booleans()):
        name = draw(st.sampled_from(sorted(document)))
        return {**document, name: draw(corrupted(document[name]))}
    if isinstance(document, list) and document and draw(st.booleans()):
        return [draw(corrupted(document[0])), *document[1:]]
    return draw(ODD_VALUES)


@st.composite
def bodies(draw: st.DrawFn, document: str) -> bytes:
    """Generate random bytes, or a corrupted document, perhaps truncated."""
    if draw(st.integers(0, 4)) == 0:
        return draw(st.binary(max_size=40))
    text = json.dumps(draw(corrupted(json.loads(document)))).encode()
    if draw(st.integers(0, 4)) == 0:
        return text[: draw(st.integers(0, len(text)))]
    return text


def _parse_json(text: bytes) -> Any:
    """Return the parsed JSON; None if the text isn't JSON."""
    try:
        return json.loads(text)
    except ValueError:
        return None


def _make_job(terms: QueueTerms) -> Job:
    request = decode_job(
        JOB.encode(), key=JobKey('5c0e7a21d94b36f8'), queue='q'
    )
    table = JobTable(JobQueue(find_order('first-come')), term=1)
    return table.create(Submission(request, terms, InstanceId('e'), 0, 10))


def nest(depth: int) -> str:
    """Return the JSON of lists within lists."""
    return '[' * depth + ']' * depth


def _short_id(argument: object) -> str:
    return str(argument)[:12]


FUZZ_SETTINGS = settings(derandomize=True, max_examples=400, deadline=None)


class TestBodies:
    """No body raises anything but the exception of its decoder."""

    @FUZZ_SETTINGS
    @given(body=bodies(JOB))
    def test_job(self, body: bytes) -> None:
        with suppress(BadJob, UnsupportedJob):
            job = decode_job(body, key=JobKey('5c0e7a21d94b36f8'), queue='q')
            assert 0 < sum(step.count for step in job.steps) <= 4096

    @FUZZ_SETTINGS
    @given(body=bodies(STATE))
    def test_desired_state(self, body: bytes) -> None:
        with suppress(InvalidState):
            canonical = canonical_body(body)
            assert decode_state(canonical).version > 0

    @FUZZ_SETTINGS
    @given(body=bodies(HEARTBEAT))
    def test_heartbeat(self, body: bytes) -> None:
        with suppress(BadReport):
            decode_heartbeat('w', body)

    @FUZZ_SETTINGS
    @given(body=bodies(RUN_LISTS))
    def test_answers_of_workers(self, body: bytes) -> None:
        decode_refusal(body)
        for decode in (decode_view, decode_clock):
            with suppress(msgspec.DecodeError):
                decode(body)

    @FUZZ_SETTINGS
    @given(text=bodies(SETTINGS))
    def test_settings(self, text: bytes) -> None:
        document = _parse_json(text)
        # A TOML file can't contain unpaired surrogates.
        encoded = json.dumps(document, ensure_ascii=False).encode(
            errors='replace',
        )
        with suppress(BadSettings):
            decode_settings(json.loads(encoded))

    @FUZZ_SETTINGS
    @given(row=corrupted(['5c0e7a21d94b36f8.0.1.2', 3, None, 50]))
    def test_running_row(self, row: Any) -> None:
        """A run whose name is legible stays listed."""
        body = json.dumps({'clockMs': 5, 'running': [row], 'finished': []})
        with suppress(msgspec.DecodeError):
            running = decode_view(body.encode()).running
            name = ['5c0e7a21d94b36f8.0.1.2', 3]
            is_legible = isinstance(row, list) and row[:2] == name
            assert bool(running) or not is_legible


class TestOddEntries:
    """One odd entry among those of the workers harms no other.

    Another writer leaves an entry that is deeply nested, or with a number or
    a port out of range.  Instances that read it used to fail on decoding it,
    or later when they computed with the number.
    """

    nested = nest(100_000)

    @pytest.mark.parametrize('name', ['labels', 'ignored', 'freeCapacity'])
    def test_nested_heartbeat(self, name: str) -> None:
        rest = HEARTBEAT.strip()[1:]
        body = f'{{"{name}": {self.nested}, {rest}'
        with pytest.raises(BadReport):
            decode_heartbeat('w', body.encode())

    @pytest.mark.parametrize(
        ('name', 'odd'),
        [
            ('address', '10.0.0.9:0'),
            ('address', '10.0.0.9:65536'),
            ('address', '10.0.0.9:99999999999999999999'),
            ('born', HUGE),
            ('born', -1),
            ('coldLeftMs', 10**300),
            ('freeCapacity', {'cpu': -1}),
            ('freeCapacity', {'memMb': HUGE}),
            ('sequence', HUGE),
            ('sequence', -1),
            ('service', ''),
            ('zone', ''),
        ],
        ids=_short_id,
    )
    def test_heartbeat_out_of_range(self, name: str, odd: Any) -> None:
        body = json.dumps({**json.loads(HEARTBEAT), name: odd})
        with pytest.raises(BadReport):
            decode_heartbeat('w', body.encode())

    @pytest.mark.parametrize('name', ['', 'a\r\nb', '\udc80', 'ü'])
    def test_id_that_no_header_carries(self, name: str) -> None:
        with pytest.raises(BadReport):
            decode_heartbeat(name, HEARTBEAT.encode())

    @pytest.mark.parametrize('decode', [decode_view, decode_clock])
    def test_nested_answer(self, decode: Any) -> None:
        body = f'{{"clockMs": 5, "running": {self.nested}, "finished": []}}'
        assert isinstance(_decode_answer(body.encode(), decode), NoAnswer)

    def test_nested_refusal(self) -> None:
        body = f'{{"clockMs": 5, "reason": "room", "x": {self.nested}}}'
        answer = _classify_response(HTTPStatus.CONFLICT, body.encode())
        assert answer == OrderRefused(Refusal.invalid)

    @pytest.mark.parametrize('clock', [HUGE, -1], ids=_short_id)
    def test_answer_out_of_range(self, clock: int) -> None:
        body = json.dumps({'clockMs': clock, 'running': [], 'finished': []})
        assert isinstance(_decode_answer(body.encode(), decode_view), NoAnswer)

    def test_nested_row(self) -> None:
        """A row that can only just be decoded is skipped and logged."""
        row = nest(900)
        body = f'{{"clockMs": 5, "running": [{row}], "finished": [{row}]}}'
        answer = _decode_answer(body.encode(), decode_view)
        assert isinstance(answer, EndpointView | NoAnswer)

    @pytest.mark.parametrize(
        'row',
        [
            [HUGE, '5c0e7a21d94b36f8.0.1.2', 3, 'done', ''],
            [1, '5c0e7a21d94b36f8.0.1.2', HUGE, 'done', ''],
            [1, '5c0e7a21d94b36f8.0.-1.2', 3, 'done', ''],
        ],
    )
    def test_end_out_of_range(self, row: list[Any]) -> None:
        body = json.dumps({'clockMs': 5, 'running': [], 'finished': [row]})
        assert not decode_view(body.encode()).ends

    @pytest.mark.parametrize(
        ('name', 'odd'),
        [('priority', 10**6), ('priority', -1), ('sloMs', -1), ('stretch', -1)],
    )
    def test_desired_state(self, name: str, odd: int) -> None:
        """What a state accepts can be computed with."""
        document = json.loads(STATE)
        document['routes'][0][name] = odd
        with suppress(InvalidState):
            state = decode_state(json.dumps(document).encode())
            job = _make_job(state.queues[0].terms)
            assert find_order('useful-first')(job, 0).key

    @pytest.mark.parametrize('name', ['cpu', 'memMb', 'gpu', 'estRuntimeMs'])
    @pytest.mark.parametrize('odd', [-1, HUGE], ids=_short_id)
    def test_job(self, name: str, odd: int) -> None:
        document = json.loads(JOB)
        document['steps'][0][name] = odd
        key = JobKey('5c0e7a21d94b36f8')
        with pytest.raises(BadJob):
            decode_job(json.dumps(document).encode(), key=key, queue='q')

    def test_nested_settings(self, tmp_path: Path) -> None:
        path = tmp_path / 'settings.toml'
        path.write_text(f'x = {self.nested}')
        with pytest.raises(BadSettings):
            load_settings(str(path))


class TestFrames:
    """No frame of a peer raises anything but `BadFrame`."""

    @FUZZ_SETTINGS
    @given(frame=st.binary(max_size=60))
    def test_bytes(self, frame: bytes) -> None:
        with pytest.raises(wire.BadFrame):
            wire.decode(frame)
