"""Messages and waste, as the daemons count them."""

import asyncio
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Final, Self

import aiohttp

#: Kinds of messages that tasks cause; the others are control at rest, or
#: exchanged with callers and operators.
TASK_KINDS: Final = frozenset(
    (
        'start',
        'answer',
        'refused_start',
        'task_query',
        'stop',
        'slots',
        'claims',
        'forward',
    ),
)

#: Kinds that go between a daemon and an endpoint, where both the messages
#: sent and those received count; of peer frames only those sent do.
_ENDPOINT_KINDS: Final = frozenset(
    ('start', 'answer', 'refused_start', 'task_query', 'stop'),
)

_TASKS_STARTED: Final = 'tasks_started'


@dataclass(frozen=True, slots=True)
class Counters:
    """What the daemons of a deployment counted, summed.

    Args:
        messages: By kind.
        waste: By cause.
        starts: Tasks that were started.
    """

    messages: Counter[str] = field(default_factory=Counter)
    waste: Counter[str] = field(default_factory=Counter)
    starts: int = 0

    @property
    def task_messages(self) -> int:
        """Give the messages that tasks caused."""
        return sum(self.messages[kind] for kind in TASK_KINDS)

    @property
    def messages_per_task(self) -> float:
        """Give the messages that a task caused on average."""
        return self.task_messages / self.starts if self.starts else float(0)

    @property
    def waste_share(self) -> float:
        """Give the wasted messages against those that tasks caused."""
        caused = self.task_messages
        return self.waste.total() / caused if caused else float(0)

    def __sub__(self, earlier: Self) -> 'Counters':
        return Counters(
            self.messages - earlier.messages,
            self.waste - earlier.waste,
            self.starts - earlier.starts,
        )

    @classmethod
    def read(cls, snapshots: Sequence[Mapping[str, Any]]) -> Self:
        """Sum what several daemons gave for `GET /v1/histograms`."""
        counters = cls(starts=sum(map(_starts, snapshots)))
        for snapshot in snapshots:
            for entry in snapshot['messages']:
                if _counts(entry):
                    counters.messages[entry['kind']] += entry['count']
            for entry in snapshot['waste']:
                counters.waste[entry['cause']] += entry['count']
        return counters


async def fetch_counters(
    http: aiohttp.ClientSession,
    urls: Sequence[str],
) -> Counters:
    """Ask daemons for their counters.

    Args:
        http: The session to ask by.
        urls: Base URLs of their listeners for endpoints and operators.
    """
    snapshots = await asyncio.gather(*(_fetch(http, url) for url in urls))
    return Counters.read(snapshots)


async def _fetch(http: aiohttp.ClientSession, url: str) -> Mapping[str, Any]:
    async with http.get(f'{url}/v1/histograms') as response:
        response.raise_for_status()
        snapshot: Mapping[str, Any] = await response.json()
        return snapshot


def _counts(entry: Mapping[str, Any]) -> bool:
    return entry['direction'] == 'sent' or entry['kind'] in _ENDPOINT_KINDS


def _starts(snapshot: Mapping[str, Any]) -> int:
    return sum(
        entry['count']
        for entry in snapshot['tallies']
        if entry['tally'] == _TASKS_STARTED
    )
