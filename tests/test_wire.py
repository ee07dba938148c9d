"""Tests of the encoding of frames between instances."""

from dataclasses import dataclass

import cbor2
import pytest

from cuminstack import wire
from cuminstack.core import JobId, JobKey, MemberName, TaskId


@wire.message('test.sample')
@dataclass(frozen=True)
class Sample:
    """A message with an integer, a bytes and a tuple field."""

    count: int
    blob: bytes
    names: tuple[str, ...] = ()


class TestRoundTrip:
    """Decoding an encoded message or identifier returns an equal one."""

    def test_message(self) -> None:
        sample = Sample(3, b'\x00\xff', ('a', 'b'))
        assert wire.decode(wire.encode(sample)) == sample

    def test_task_id(self) -> None:
        job = JobId(MemberName('tkemali'), JobKey('order-1'))
        task = TaskId(job, 4, 2)
        assert TaskId.parse(str(task)) == task


class TestMalformed:
    """Invalid frames raise the matching subclass of `BadFrame`."""

    @pytest.mark.parametrize(
        ('frame', 'error'),
        [
            (b'', wire.MalformedFrame),
            (b'\xff', wire.MalformedFrame),
            (cbor2.dumps([1, 'test.sample']), wire.MalformedFrame),
            (cbor2.dumps([1, 'test.sample', {}]), wire.MalformedFrame),
            (cbor2.dumps([1, 'nope', {}]), wire.UnknownKind),
            (cbor2.dumps([1, [], {}]), wire.UnknownKind),
            (cbor2.dumps([9, 'test.sample', {}]), wire.UnknownVersion),
        ],
    )
    def test_typed_error(
        self,
        frame: bytes,
        error: type[wire.BadFrame],
    ) -> None:
        with pytest.raises(error):
            wire.decode(frame)
