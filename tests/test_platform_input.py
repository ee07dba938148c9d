"""Malformed input raises only the documented exceptions."""

import json
from contextlib import suppress
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminstack import wire
from cuminstack.core import JobKey
from cuminstack.platform._desired_state import (
    InvalidState,
    canonical_body,
    decode_state,
)
from cuminstack.platform._jobs import BadJob, UnsupportedJob, decode_job
from cuminstack.platform._settings import BadSettings, decode_settings
from cuminstack.platform._workers import (
    BadReport,
    decode_clock,
    decode_heartbeat,
    decode_refusal,
    decode_view,
)

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
    st.just(10**400),
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


class TestFrames:
    """No frame of a peer raises anything but `BadFrame`."""

    @FUZZ_SETTINGS
    @given(frame=st.binary(max_size=60))
    def test_bytes(self, frame: bytes) -> None:
        with pytest.raises(wire.BadFrame):
            wire.decode(frame)
