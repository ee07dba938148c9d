"""Tests of the encoding of frames between instances."""

from dataclasses import dataclass

import cbor2
import pytest

from cuminstack import wire
from cuminstack.core import JobId, JobKey, MemberName, TaskId
from cuminstack.wire._items import has_more_items


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


class TestItems:
    """Frames of many data items."""

    # Guards against a frame that takes 72 times its size when it is decoded.
    def test_too_many_items(self) -> None:
        frame = cbor2.dumps([1, 'link.hello', [{} for _ in range(1000)]])
        with pytest.raises(wire.MalformedFrame, match='100 items'):
            wire.decode(frame, max_items=100)

    @pytest.mark.parametrize(
        'document',
        [
            b'a' * 70_000,
            'ü' * 300,
            [1, -70_000, 2**40, 1.5, None, True],
            {'a': [{}, []], 'b': {'c': b''}},
            cbor2.CBORTag(4000, 'a'),
        ],
    )
    def test_items_are_counted(self, document: object) -> None:
        encoded = cbor2.dumps([document])
        count = _count_items(document) + 1
        # Padding, as short documents are not examined.
        padded = encoded + cbor2.dumps(b'a' * 100)
        assert not has_more_items(padded, count + 1)
        assert has_more_items(padded, count)


def _count_items(document: object) -> int:
    if isinstance(document, dict):
        children = [*document, *document.values()]
    elif isinstance(document, list):
        children = document
    elif isinstance(document, cbor2.CBORTag):
        children = [document.value]
    else:
        children = []
    return 1 + sum(map(_count_items, children))
