"""Lines of the log."""

import io
import json
from collections.abc import Iterator
from pathlib import Path

import eliot
import pytest
from hypothesis import given, settings, strategies

from cuminstack.core import JobId, JobKey, MemberName, TaskId
from cuminstack.logs import (
    MAX_VALUE_CHARACTERS,
    LogOutput,
    configure_logs,
    format_line,
    log_event,
)
from cuminstack.settings import LogLevel, LogSettings

JOB = JobId(MemberName('tkemali'), JobKey('quote-7'))
TASK = TaskId(JOB, 3, 1)


@pytest.fixture
def path(tmp_path: Path) -> Iterator[Path]:
    where = tmp_path / 'some.log'
    output = configure_logs(LogSettings(LogLevel.info, where))
    yield where
    output.close()


def fields_of(line: str) -> dict[str, str]:
    """Split a line as a reader of logs would: by bare or quoted values."""
    found = {}
    rest = line
    while rest:
        key, _, rest = rest.partition('=')
        if rest.startswith('"'):
            text, end = json.JSONDecoder().raw_decode(rest)
            rest = rest[end:].lstrip(' ')
        else:
            text, _, rest = rest.partition(' ')
        found[key] = text
    return found


class TestLine:
    """A line stays one line, and splits in one way."""

    @settings(derandomize=True, max_examples=200)
    @given(text=strategies.text())
    def test_any_text(self, text: str) -> None:
        line = format_line({'timestamp': 0, 'odd': text, 'even': 'b'})
        assert line.isascii()
        assert line.isprintable()
        fields = fields_of(line)
        assert fields['odd'] == text
        assert fields['even'] == 'b'

    def test_leading_fields(self) -> None:
        line = format_line({'timestamp': 0, 'message_type': 'a.b'})
        assert line == 'time=1970-01-01T00:00:00.000000+00:00 level=error' + (
            ' event=a.b'
        )

    def test_long_value(self) -> None:
        line = format_line({'odd': 'x' * (MAX_VALUE_CHARACTERS * 2)})
        assert len(fields_of(line)['odd']) == MAX_VALUE_CHARACTERS

    def test_foreign_key(self) -> None:
        assert 'xa_b__c=1' in format_line({'a=b =c': 1})

    def test_typed_values(self) -> None:
        line = format_line({'one': LogLevel.info, 'two': KeyError('k')})
        assert fields_of(line)['one'] == 'info'
        assert fields_of(line)['two'] == "KeyError: 'k'"


class TestEvents:
    """What reaches the file."""

    def test_ids(self, path: Path) -> None:
        log_event('task.started', task=TASK, endpoint='e1')
        log_event('job.accepted', job=JOB, tasks=2)
        first, second = path.read_text(encoding='utf-8').splitlines()
        assert fields_of(first)['task'] == str(TASK)
        assert fields_of(first)['job'] == 'quote-7'
        assert fields_of(first)['endpoint'] == 'e1'
        assert fields_of(second)['member'] == 'tkemali'
        assert 'task' not in fields_of(second)

    def test_levels(self, path: Path) -> None:
        log_event('part.quiet', LogLevel.debug)
        log_event('part.loud', LogLevel.error)
        lines = path.read_text(encoding='utf-8').splitlines()
        assert [fields_of(line)['event'] for line in lines] == ['part.loud']

    def test_eliot_trouble_is_an_error(self, path: Path) -> None:
        eliot.log_message('eliot:traceback', reason='broken')
        text = path.read_text(encoding='utf-8')
        assert fields_of(text.strip())['level'] == 'error'

    def test_unwritable_stream(self) -> None:
        stream = io.StringIO()
        stream.close()
        output = LogOutput(stream)
        output({'message_type': 'part.lost'})
        assert output.dropped == 1
