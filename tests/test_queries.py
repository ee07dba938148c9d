"""Tests that the examples in docs/PROTOCOL.md match the response types."""

import json
import re
from pathlib import Path
from typing import Any

import msgspec
import pytest

from cuminstack.commands import SheetReply
from cuminstack.metrics import MetricsSnapshot
from cuminstack.queries import EndpointsView, MembersView, StatusView

PAGE = Path(__file__).parent.parent / 'docs/PROTOCOL.md'


def example_of(path: str) -> str:
    """Return the indented block that follows the line "`GET path`:"."""
    text = PAGE.read_text(encoding='utf-8')
    _, _, rest = text.partition(f'`GET {path}`:\n\n')
    lines = []
    for line in rest.splitlines():
        if not line.startswith('    '):
            break
        lines.append(line)
    return '\n'.join(lines)


class TestExamples:
    """Each documented example decodes, and encodes to the same JSON."""

    @pytest.mark.parametrize(
        ('path', 'response_type'),
        [
            ('/v1/status', StatusView),
            ('/v1/members', MembersView),
            ('/v1/endpoints', EndpointsView),
            ('/v1/histograms', MetricsSnapshot),
        ],
    )
    def test_round_trip(self, path: str, response_type: type[Any]) -> None:
        example = example_of(path)
        decoded = msgspec.json.decode(example, type=response_type)
        encoded = json.loads(msgspec.json.encode(decoded))
        assert encoded == json.loads(example)

    def test_reply_to_sheet_submission(self) -> None:
        text = PAGE.read_text(encoding='utf-8')
        found = re.search(r'200 `(\{"outcome": "in_force".*\})`', text)
        assert found is not None
        reply = msgspec.json.decode(found.group(1), type=SheetReply)
        assert reply.version == 1
