"""Slopes of the sheet: per member, and per changed row."""

from typing import Final

from bench._slope import Slope, measure, microseconds, retained_bytes
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
    rows = [f'sheet,{version},{version - 1}']
    for index in range(members):
        name = f'team-{index:04}'
        share = 3 if index < changed else 2
        rows += [
            f'member,{name},{share},128,5000',
            f'service,{name},order-desk,30000,250,response',
            f'claim,{name},order-desk,16,32768,0',
        ]
    return '\n'.join([*rows, '']).encode()


def read(text: bytes) -> Sheet:
    """Parse a sheet that has no faults."""
    found = sheets.parse(text)
    assert isinstance(found, Sheet)
    return found


@measure('sheet')
def sheet_slopes() -> tuple[Slope, ...]:
    """Parse, keep, compare and apply sheets of several sizes."""
    texts = {count: sheet_text(count) for count in _MEMBERS}
    return (
        _per_member('text of a sheet', 'B', {k: len(v) for k, v in texts.items()}),
        _per_member(
            'parse a sheet',
            'us',
            {
                count: microseconds(lambda t=text: read(t), rounds=_ROUNDS)
                for count, text in texts.items()
            },
        ),
        _per_member(
            'memory of a sheet',
            'B',
            {
                count: retained_bytes(lambda t=text: read(t))[0]
                for count, text in texts.items()
            },
        ),
        _per_member(
            'apply one changed row',
            'us',
            {count: _apply_cost(count) for count in _MEMBERS},
        ),
        _delta_slope(),
    )


def _per_member(name: str, unit: str, got: dict[int, float]) -> Slope:
    return Slope(name, 'member', unit, tuple(got.items()))


def _apply_cost(members: int) -> float:
    old = read(sheet_text(members))
    new = read(sheet_text(members, version=2, changed=1))
    delta = diff(old, new)
    return microseconds(lambda: apply_delta(old, delta), rounds=_ROUNDS)


def _delta_slope() -> Slope:
    old = read(sheet_text(_MEMBERS[-1]))
    points = []
    for changed in _CHANGED:
        new = read(sheet_text(_MEMBERS[-1], version=2, changed=changed))
        push = Push(InstanceId('telavi-1'), diff(old, new))
        points.append((changed, len(wire.encode(push))))
    return Slope('frame of a change', 'changed row', 'B', tuple(points))
