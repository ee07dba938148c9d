"""Tests that no client can exhaust a process or keep others from it.

Real processes run with small limits of memory and descriptors.  The bounds
are the limits of the machine in their settings, not measured figures.
"""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass
from types import MappingProxyType
from typing import Final

import pytest
import pytest_asyncio
from bench._polling import until

from processes import hostile_clients as clients
from processes.hostile_clients import Attack, HostileClients, ProcessFigures
from processes.hostile_peers import PEER_ATTACKS
from processes.hostile_targets import (
    MAX_FDS,
    MEMORY_MB,
    TIMEOUT_SECONDS,
    RunningProgram,
    run_program,
)

#: A role and a listener of it.
_Place = tuple[str, str]

#: Descriptors that a process may open by itself in the meantime; fewer than
#: any attack has clients.
_OWN_DESCRIPTORS: Final = 4

ATTACKS: Final = MappingProxyType(
    {
        'held headers': Attack(clients.held_headers, 300, is_cut_off=True),
        'endless headers': Attack(clients.endless_headers, 20, is_cut_off=True),
        'endless field': Attack(clients.endless_field, 20, is_cut_off=True),
        'empty lines': Attack(clients.empty_lines, 20, is_cut_off=True),
        'slow headers': Attack(clients.slow_headers, 600, is_cut_off=True),
        'idle': Attack(clients.idle, 600),
        'pipelined': Attack(clients.pipelined, 20),
        'unfinished bodies': Attack(clients.unfinished_bodies, 500),
        'endless bodies': Attack(clients.endless_bodies, 60),
        'small chunks': Attack(clients.small_chunks, 60),
        'many fields': Attack(clients.many_fields, 60),
        'endless trailers': Attack(clients.endless_trailers, 60),
        'upgraded': Attack(clients.upgraded, 60),
        'dense bodies': Attack(clients.dense_bodies, 20),
        'unread responses': Attack(clients.unread_responses, 60),
    },
)
PEER_LISTENERS: Final[tuple[_Place, ...]] = (
    ('entry', 'peers'),
    ('control', 'peers'),
    ('daemon', 'peers'),
)
LISTENERS: Final[tuple[_Place, ...]] = (
    ('entry', 'front'),
    ('entry', 'ready'),
    ('entry', 'metrics'),
    ('control', 'control'),
    ('control', 'metrics'),
    ('daemon', 'callers'),
    ('daemon', 'endpoints'),
    *PEER_LISTENERS,
)


pytestmark = pytest.mark.asyncio(loop_scope='module')


@dataclass(frozen=True, slots=True)
class _Victim:
    program: RunningProgram
    listener: str
    # Descriptors that were open before the first attack.
    descriptors: int


@pytest_asyncio.fixture(scope='module', loop_scope='module')
async def victim(
    request: pytest.FixtureRequest, tmp_path_factory: pytest.TempPathFactory
) -> AsyncIterator[_Victim]:
    """One process for all attacks on a listener, which must survive all."""
    role, listener = request.param
    async with run_program(role, tmp_path_factory.mktemp(role)) as program:
        yield _Victim(program, listener, program.figures.descriptors)


def _at(places: tuple[_Place, ...]) -> pytest.MarkDecorator:
    """Return a mark that runs a test at some listeners, each in one process."""
    names = map('-'.join, places)
    return pytest.mark.parametrize('victim', places, indirect=True, ids=names)


@_at(LISTENERS)
@pytest.mark.parametrize('kind', ATTACKS)
class TestHostileClients:
    """Clients of one kind connect to one listener, and leave."""

    # Guards against a process that is killed since its memory exceeds that
    # of its machine, that runs out of descriptors, or that keeps those of
    # clients that have left or should have been cut off.
    async def test_process_survives(self, victim: _Victim, kind: str) -> None:
        await _attack(victim, ATTACKS[kind])


@_at(PEER_LISTENERS)
@pytest.mark.parametrize('kind', PEER_ATTACKS)
class TestHostilePeers:
    """Clients that speak WebSocket connect to a listener for peers."""

    # Guards against the same, by messages instead of requests.
    async def test_process_survives(self, victim: _Victim, kind: str) -> None:
        await _attack(victim, PEER_ATTACKS[kind])


@_at(LISTENERS)
@pytest.mark.parametrize('kind', ['slow headers', 'idle'])
class TestCrowdedListener:
    """More clients than may connect crowd one listener."""

    # Guards against readiness checks, heartbeats or callers that are refused
    # since clients of another listener have taken all connections, and
    # against ordinary clients of the same listener that are kept out.
    async def test_others_are_served(self, victim: _Victim, kind: str) -> None:
        program = victim.program
        target = program.targets[victim.listener]
        with HostileClients(ATTACKS[kind], target) as hostile:
            await asyncio.to_thread(hostile.run, program.figures)
            for listener, each in program.targets.items():
                assert await program.request(listener) == each.status
        await _wait_until_returned(program.figures, victim.descriptors)


async def _attack(victim: _Victim, attack: Attack) -> None:
    program, listener = victim.program, victim.listener
    figures = program.figures
    with HostileClients(attack, program.targets[listener]) as hostile:
        await asyncio.to_thread(hostile.run, figures)
        if attack.is_cut_off:
            await _wait_until_returned(figures, victim.descriptors)
    await _wait_until_returned(figures, victim.descriptors)
    status = await program.request(listener)
    _check(program)
    assert status == program.targets[listener].status


async def _wait_until_returned(figures: ProcessFigures, before: int) -> None:
    async def is_returned() -> bool:
        return figures.descriptors <= before + _OWN_DESCRIPTORS

    try:
        await until(is_returned, seconds=TIMEOUT_SECONDS)
    except TimeoutError:
        pytest.fail(f'{figures.descriptors} descriptors open, {before} before')


def _check(program: RunningProgram) -> None:
    assert program.process.returncode is None
    assert program.figures.memory_mb < MEMORY_MB
    assert program.figures.peak_mb < MEMORY_MB
    assert program.figures.max_descriptors < MAX_FDS
