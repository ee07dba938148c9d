"""Tests of the sheet: parsing, faults and deltas."""

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cuminstack import sheet as sheets
from cuminstack.core import MemberName, ServiceName, ServiceRef
from cuminstack.sheet import FaultKind, Sheet, SheetFaults

_VALID = b"""sheet,3,2
service,tkemali,order-desk,30000,250,response
member,tkemali,2.5,128,5000
claim,tkemali,order-desk,16,32768,0
member,haslinger,1,0,100
"""

_BYTE_ORDER_MARK = b'\xef\xbb\xbf'
_KINDS = FaultKind


def _faults(raw: bytes) -> list[tuple[int, int, FaultKind]]:
    found = sheets.parse(raw)
    assert isinstance(found, SheetFaults)
    return [(each.row, each.column, each.kind) for each in found.faults]


def _sheet(raw: bytes) -> Sheet:
    found = sheets.parse(raw)
    assert isinstance(found, Sheet), found
    return found


class TestParse:
    """Valid sheets are parsed, whatever the order of their rows."""

    def test_finds_records(self) -> None:
        sheet = _sheet(_VALID)
        name = MemberName('tkemali')
        ref = ServiceRef(name, ServiceName('order-desk'))
        member = sheet.member(name)
        service = sheet.service(ref)
        claim = sheet.claim(ref)
        assert (
            member is not None and member.row == 'member,tkemali,2.5,128,5000'
        )
        assert service is not None and service.deadline_ms == 30_000
        assert claim is not None and claim.max_memory_mb == 32_768
        assert sheet.member(MemberName('nobody')) is None

    def test_renders_canonical_form(self) -> None:
        sheet = _sheet(_VALID)
        lines = sheets.render(sheet).decode().splitlines()
        assert lines == [
            'sheet,3,2',
            'member,haslinger,1,0,100',
            'member,tkemali,2.5,128,5000',
            'service,tkemali,order-desk,30000,250,response',
            'claim,tkemali,order-desk,16,32768,0',
        ]

    @pytest.mark.parametrize(
        'raw',
        [
            _VALID.replace(b'\n', b'\r\n'),
            _BYTE_ORDER_MARK.join((b'', _VALID)),
            _VALID.replace(b'2.5', b'2.500'),
            _VALID.replace(b'haslinger', b'"haslinger"'),
            _VALID.replace(b'member,h', b'\n\nmember,h'),
        ],
    )
    def test_same_content_same_digest(self, raw: bytes) -> None:
        assert sheets.digest(_sheet(raw)) == sheets.digest(_sheet(_VALID))

    def test_canonical_form_round_trips(self) -> None:
        sheet = _sheet(_VALID)
        assert _sheet(sheets.render(sheet)) == sheet

    def test_digest_ignores_order_of_records(self) -> None:
        sheet = _sheet(_VALID)
        reversed_sheet = replace(sheet, members=tuple(reversed(sheet.members)))
        assert sheets.digest(reversed_sheet) == sheets.digest(sheet)

    def test_many_services(self) -> None:
        rows = ['sheet,1,0']
        rows += [f'member,m{index},1,0,10' for index in range(780)]
        rows += [
            f'service,m{index},{name},1000,1,waste'
            for index in range(780)
            for name in ('a', 'b', 'c', 'd', 'e', 'f', 'g')
        ]
        sheet = _sheet('\n'.join(rows).encode())
        assert len(sheet.services) == 780 * 7


class TestFaults:
    """Every fault is reported with its position and kind."""

    @pytest.mark.parametrize(
        ('raw', 'expected'),
        [
            (b'', [(1, 1, _KINDS.empty)]),
            (b'\n\n', [(1, 1, _KINDS.empty)]),
            (b'sheet,1,0\n', [(1, 1, _KINDS.no_members)]),
            (b'sheet,1,1\nmember,a,1,0,1', [(1, 3, _KINDS.out_of_range)]),
            (b'sheet,0,0\nmember,a,1,0,1', [(1, 2, _KINDS.out_of_range)]),
            (b'sheet,1,0\nmember,a,1,0', [(2, 5, _KINDS.missing_cell)]),
            (b'sheet,1,0\nmember,a,1,0,1,1', [(2, 6, _KINDS.extra_cell)]),
            (b'sheet,1,0\nmember,a,-1,0,1', [(2, 3, _KINDS.bad_number)]),
            (b'sheet,1,0\nmember,a,nan,0,1', [(2, 3, _KINDS.bad_number)]),
            (b'sheet,1,0\nmember,a,0,0,1', [(2, 3, _KINDS.out_of_range)]),
            (b'sheet,1,0\nmember,a/b,1,0,1', [(2, 2, _KINDS.bad_name)]),
            (b'sheet,1,0\nmembre,a,1,0,1', [(2, 1, _KINDS.unknown_kind)]),
            (b'sheet,1,0\nmember,\xff,1,0,1', [(2, 2, _KINDS.not_utf8)]),
            (b'sheet,1,0\nmember,"a', [(2, 1, _KINDS.bad_csv)]),
            (
                b'sheet,1,0\nmember,a,1,0,1\nmember,a,2,0,1',
                [(3, 2, _KINDS.duplicate)],
            ),
            (
                b'sheet,1,0\nmember,a,1,0,1\nsheet,2,0',
                [(3, 1, _KINDS.header_misplaced)],
            ),
            (
                b'sheet,1,0\nmember,a,1,0,1\nservice,b,s,1,1,waste',
                [(3, 2, _KINDS.unknown_member)],
            ),
            (
                b'sheet,1,0\nmember,a,1,0,1\nclaim,a,s,1,1,1',
                [(3, 3, _KINDS.unknown_service)],
            ),
            (
                b'sheet,1,0\nmember,a,1,0,1\nservice,a,s,1,1,speed',
                [(3, 6, _KINDS.bad_choice)],
            ),
        ],
    )
    def test_single_fault(
        self,
        raw: bytes,
        expected: list[tuple[int, int, FaultKind]],
    ) -> None:
        assert _faults(raw) == expected

    def test_missing_header(self) -> None:
        kinds = {kind for _, _, kind in _faults(b'member,a,1,0,1')}
        assert _KINDS.header_misplaced in kinds

    def test_reports_all_faults(self) -> None:
        raw = b'sheet,1,1\nmember,a,0,x,1\nfoo\nservice,b,c,1,1,waste\n'
        assert [fault[:2] for fault in _faults(raw)] == [
            (1, 3),
            (2, 3),
            (2, 4),
            (3, 1),
            (4, 2),
        ]

    def test_too_large(self) -> None:
        raw = b'x' * (sheets.MAX_SHEET_BYTES + 1)
        assert _faults(raw) == [(1, 1, _KINDS.too_large)]

    def test_too_many_rows(self) -> None:
        raw = b'sheet,1,0\n'.join((b'', b'x\n' * sheets.MAX_ROWS))
        last = _faults(raw)[-1]
        assert last == (sheets.MAX_ROWS + 1, 1, _KINDS.too_many)

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.binary(max_size=60))
    def test_arbitrary_bytes_are_rejected(self, raw: bytes) -> None:
        assert isinstance(sheets.parse(raw), SheetFaults)


_NAMES = st.sampled_from(['a', 'b', 'c', 'd-1', 'e.2'])


@st.composite
def _sheets(draw: st.DrawFn, version: int) -> Sheet:
    members = draw(st.sets(_NAMES, min_size=1))
    rows = [f'sheet,{version},0']
    for name in sorted(members):
        share = draw(st.sampled_from(['1', '2.5']))
        rows.append(f'member,{name},{share},0,10')
        if draw(st.booleans()):
            rows.append(f'service,{name},s,1000,1,waste')
    return _sheet('\n'.join(rows).encode())


class TestDelta:
    """Deltas hold only the changed rows and apply only to their base."""

    @settings(derandomize=True, max_examples=100, deadline=None)
    @given(_sheets(1), _sheets(2), _sheets(3))
    def test_round_trip(self, one: Sheet, two: Sheet, three: Sheet) -> None:
        first = sheets.diff(one, two)
        second = sheets.diff(two, three)
        assert sheets.apply_delta(one, first) == two
        both = sheets.compose((first, second))
        assert sheets.apply_delta(one, both) == three
        whole = sheets.whole(three)
        assert sheets.apply_delta(one, whole) == three

    def test_only_changed_rows(self) -> None:
        old = _sheet(_VALID)
        raw = _VALID.replace(b'sheet,3,2', b'sheet,4,3')
        delta = sheets.diff(old, _sheet(raw.replace(b'2.5', b'3')))
        assert delta.rows == ('member,tkemali,3,128,5000',)
        assert not delta.removed

    def test_mismatched_base(self) -> None:
        old = _sheet(_VALID)
        raw = _VALID.replace(b'sheet,3,2', b'sheet,4,3')
        delta = sheets.diff(old, _sheet(raw))
        other = _sheet(_VALID.replace(b'2.5', b'3'))
        found = sheets.apply_delta(other, delta)
        assert isinstance(found, sheets.DeltaMismatch)
