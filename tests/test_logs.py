"""Tests of the format, level, rate limit and output of log lines."""

import io
import json
import os
from collections.abc import Iterator
from pathlib import Path

import eliot
import pytest
from hypothesis import given, settings, strategies

from cuminstack.core import JobId, JobKey, MemberName, TaskId
from cuminstack.logs import (
    MAX_VALUE_CHARACTERS,
    LineBudget,
    LogOutput,
    PipeStream,
    configure_logs,
    format_line,
    log_event,
    read_fields,
)
from cuminstack.settings import LogLevel, LogSettings

JOB = JobId(MemberName('tkemali'), JobKey('quote-7'))
TASK = TaskId(JOB, 3, 1)


@pytest.fixture
def path(tmp_path: Path) -> Iterator[Path]:
    log_path = tmp_path / 'some.log'
    output = configure_logs(LogSettings(LogLevel.info, log_path))
    # eliot buffers what is logged before the first destination is added.
    log_path.write_text('', encoding='utf-8')
    yield log_path
    output.close()


def fields_of(line: str) -> dict[str, str]:
    """Parse a line independently of the parser under test."""
    fields = {}
    rest = line
    while rest:
        key, _, rest = rest.partition('=')
        if rest.startswith('"'):
            text, end = json.JSONDecoder().raw_decode(rest)
            rest = rest[end:].lstrip(' ')
        else:
            text, _, rest = rest.partition(' ')
        fields[key] = text
    return fields


class TestLine:
    """Any message is formatted as one line that can be parsed."""

    @settings(derandomize=True, max_examples=200)
    @given(text=strategies.text())
    def test_any_text(self, text: str) -> None:
        line = format_line({'timestamp': 0, 'odd': text, 'even': 'b'})
        assert line.isascii()
        assert line.isprintable()
        fields = fields_of(line)
        assert fields['odd'] == text
        assert read_fields(line) == fields
        assert fields['even'] == 'b'

    def test_leading_fields(self) -> None:
        line = format_line({'timestamp': 0, 'message_type': 'a.b'})
        assert line == 'time=1970-01-01T00:00:00.000000+00:00 level=error' + (
            ' event=a.b'
        )

    def test_long_value_is_truncated(self) -> None:
        line = format_line({'odd': 'x' * (MAX_VALUE_CHARACTERS * 2)})
        assert len(fields_of(line)['odd']) == MAX_VALUE_CHARACTERS

    def test_invalid_key_is_sanitised(self) -> None:
        assert 'xa_b__c=1' in format_line({'a=b =c': 1})

    def test_enum_and_exception_values(self) -> None:
        line = format_line({'one': LogLevel.info, 'two': KeyError('k')})
        assert fields_of(line)['one'] == 'info'
        assert fields_of(line)['two'] == "KeyError: 'k'"


class TestEvents:
    """Events that are written to the file."""

    def test_job_and_task_ids(self, path: Path) -> None:
        log_event('task.started', task=TASK, endpoint='e1')
        log_event('job.accepted', job=JOB, tasks=2)
        first, second = path.read_text(encoding='utf-8').splitlines()
        assert fields_of(first)['task'] == str(TASK)
        assert fields_of(first)['job'] == 'quote-7'
        assert fields_of(first)['endpoint'] == 'e1'
        assert fields_of(second)['member'] == 'tkemali'
        assert 'task' not in fields_of(second)

    def test_events_below_minimum_level_are_omitted(self, path: Path) -> None:
        log_event('part.quiet', LogLevel.debug)
        log_event('part.loud', LogLevel.error)
        lines = path.read_text(encoding='utf-8').splitlines()
        assert [fields_of(line)['event'] for line in lines] == ['part.loud']

    def test_eliot_failure_has_level_error(self, path: Path) -> None:
        eliot.log_message('eliot:traceback', reason='broken')
        text = path.read_text(encoding='utf-8')
        assert fields_of(text.strip())['level'] == 'error'

    def test_line_for_unwritable_stream_is_dropped(self) -> None:
        stream = io.StringIO()
        stream.close()
        output = LogOutput(stream)
        output({'message_type': 'part.lost'})
        assert output.dropped == 1


class TestBudget:
    """The number of lines is limited for each kind of event."""

    def test_burst_of_one_kind(self) -> None:
        budget = LineBudget(per_second=10, burst=20)
        written = sum(
            budget.spend('job.refused', now=tick / 10)
            for tick in range(100)
            for _ in range(50)
        )
        # The burst, and the tokens refilled in the 9.9 seconds after it.
        assert written == 20 + 99
        assert budget.spend('dispatcher.leads', now=9.9)

    def test_dropped_lines_reported_once_per_second(self) -> None:
        budget = LineBudget(per_second=1, burst=1)
        for _ in range(4):
            budget.spend('job.refused', now=5)
        assert budget.take_dropped(now=5) == {'job.refused': 3}
        budget.spend('job.refused', now=5.5)
        assert not budget.take_dropped(now=5.5)
        assert budget.take_dropped(now=6) == {'job.refused': 1}

    def test_report_of_dropped_lines(self) -> None:
        stream = io.StringIO()
        times = iter((1, 1, 3))
        budget = LineBudget(per_second=0.1, burst=1)
        output = LogOutput(stream, budget=budget, clock=lambda: next(times))
        for event in ('part.often', 'part.often', 'part.other'):
            output({'timestamp': 0, 'message_type': event})
        lines = [fields_of(line) for line in stream.getvalue().splitlines()]
        assert [line['event'] for line in lines] == [
            'part.often',
            'log.dropped',
            'part.other',
        ]
        assert lines[1]['kind'] == 'part.often'
        assert lines[1]['count'] == '1'


class TestFullPipe:
    """Lines that don't fit into a full pipe are dropped without blocking."""

    def test_lines_are_dropped_and_counted(self) -> None:
        reader, writer = os.pipe()
        output = LogOutput(PipeStream(writer), owns_stream=True)
        filler = 'x' * MAX_VALUE_CHARACTERS
        for number in range(200):
            output({'timestamp': 0, 'number': number, 'filler': filler})
        dropped = output.dropped
        assert dropped
        received = _drain(reader)
        output({'timestamp': 0, 'message_type': 'part.later'})
        received += _drain(reader)
        os.close(writer)
        os.close(reader)
        lines = [fields_of(line) for line in received.decode().splitlines()]
        events = [line['event'] for line in lines]
        assert events[-2:] == ['part.later', 'log.dropped']
        assert lines[-1]['count'] == str(dropped)
        # Each line is complete, and the written ones are the first.
        numbers = [line['number'] for line in lines if 'number' in line]
        assert numbers == [str(number) for number in range(200 - dropped)]


def _drain(reader: int) -> bytes:
    """Read everything that is buffered in a pipe."""
    os.set_blocking(reader, False)
    parts: list[bytes] = []
    while True:
        try:
            parts.append(os.read(reader, MAX_VALUE_CHARACTERS))
        except BlockingIOError:
            return b''.join(parts)
