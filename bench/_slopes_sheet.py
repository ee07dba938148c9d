"""Slopes of the sheet: per member, and per changed row."""

from typing import Final

from bench._slope import Slope, line, measure, microseconds, retained_bytes
from cuminstack import sheet as sheets
from cuminstack import wire
from cuminstack.core import InstanceId
from cuminstack.sheet import Sheet, apply_delta, diff
from cuminstack.spread import Push

#: Members of the measured sheets; each has one service and one claim.
_MEMBERS: Final = (100, 390, 780)
_CHANGED: Final = (1, 10, 100)
_ROUNDS: Final = 3


def sheet_text(members: int, *, version: int = 1, changed: int = 0) -> bytes:
    """Write a sheet of some members, the first `changed` of other shares."""
    based_on = version - 1
    rows = [f'sheet,{version},{based_on}']
    for index in range(members):
        name = f'team-{index}'
        share = 3 if index < changed else 2
        rows += [
            f'member,{name},{share},128,5000',
            f'service,{name},order-desk,30000,250,response',
            f'claim,{name},order-desk,16,32768,0',
        ]
    rows.append('')
    return '\n'.join(rows).encode()


def read(text: bytes) -> Sheet:
    """Parse a sheet that has no faults."""
    found = sheets.parse(text)
    assert isinstance(found, Sheet)
    return found


@measure('sheet')
def sheet_slopes() -> tuple[Slope, ...]:
    """Parse, keep, compare and apply sheets of several sizes."""
    return (
        line('text of a sheet', 'member', 'B', _MEMBERS, _text_bytes),
        line('parse a sheet', 'member', 'us', _MEMBERS, _parse_cost),
        line('memory of a sheet', 'member', 'B', _MEMBERS, _memory),
        line('apply one changed row', 'member', 'us', _MEMBERS, _apply_cost),
        line('frame of a change', 'row', 'B', _CHANGED, _frame_bytes),
    )


def _text_bytes(members: int) -> float:
    return len(sheet_text(members))


def _parse_cost(members: int) -> float:
    text = sheet_text(members)
    return microseconds(lambda: read(text), rounds=_ROUNDS)


def _memory(members: int) -> float:
    text = sheet_text(members)
    used, _ = retained_bytes(lambda: read(text))
    return used


def _apply_cost(members: int) -> float:
    old = read(sheet_text(members))
    new = read(sheet_text(members, version=2, changed=1))
    delta = diff(old, new)
    return microseconds(lambda: apply_delta(old, delta), rounds=_ROUNDS)


def _frame_bytes(changed: int) -> float:
    old = read(sheet_text(_MEMBERS[-1]))
    new = read(sheet_text(_MEMBERS[-1], version=2, changed=changed))
    return len(wire.encode(Push(InstanceId('telavi-1'), diff(old, new))))
