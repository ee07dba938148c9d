"""Tests of settings files and of the faults that are reported in them."""

import dataclasses
from pathlib import Path

import pytest

from cuminstack import settings as subject
from cuminstack.settings import Address, Settings, parse_settings

POLICIES = ('leases', 'local')
EXAMPLE = Path(__file__).parent.parent / 'docs/examples/cuminstackd.ini'
MINIMAL = '[instance]\nname = a\nzone = z\n'
OWN_PEER_LINE = 'a = 127.0.0.1:8003 z 127.0.0.1:8002 replica\n'


def faults_of(text: str) -> tuple[subject.SettingsFault, ...]:
    try:
        parse_settings(text, policies=POLICIES)
    except subject.SettingsFaults as error:
        return error.faults
    return ()


def single_fault_of(text: str) -> subject.SettingsFault:
    faults = faults_of(text)
    assert len(faults) == 1
    return faults[0]


class TestDefaults:
    """Settings that the file omits have their default values."""

    def test_minimal_file(self) -> None:
        loaded = parse_settings(MINIMAL, policies=POLICIES)
        assert loaded.is_standalone
        assert not loaded.is_replica
        assert loaded.dispatch.policy == 'leases'
        assert loaded.logs.path is None

    def test_fallback_policy(self) -> None:
        loaded = parse_settings(MINIMAL, policies=('local',))
        assert loaded.dispatch.policy == 'local'

    def test_example_shows_defaults(self) -> None:
        example = subject.load_settings(EXAMPLE, policies=POLICIES)
        defaults = parse_settings(MINIMAL, policies=POLICIES)
        for name in ('listen', 'dispatch', 'limits', 'timeouts'):
            assert getattr(example, name) == getattr(defaults, name)
        assert example.logs.level is defaults.logs.level

    def test_example_names_every_key(self) -> None:
        text = EXAMPLE.read_text(encoding='utf-8')
        example = subject.load_settings(EXAMPLE, policies=POLICIES)
        for part in dataclasses.fields(Settings):
            section = getattr(example, part.name)
            assert f'[{part.name}]' in text
            if part.name == 'peers':
                continue
            for key in dataclasses.fields(section):
                assert f'\n{key.name} = ' in text


class TestPeers:
    """The lines of section `[peers]` are parsed and validated."""

    def test_other_peers(self) -> None:
        loaded = subject.load_settings(EXAMPLE, policies=POLICIES)
        assert len(loaded.peers) == 3
        assert [peer.name for peer in loaded.other_peers] == [
            'gurjaani-1',
            'sighnaghi-1',
        ]
        assert loaded.other_peers[0].peer_address.port == 8013
        assert loaded.other_peers[0].replica

    @pytest.mark.parametrize(
        'line',
        [
            'b',
            'b = 127.0.0.1:1 z',
            'b = 127.0.0.1:1 z 127.0.0.1:2 voter',
            'b = 127.0.0.1:0 z 127.0.0.1:2',
            'b = 0.0.0.0:1 z 127.0.0.1:2',
            'b = localhost:1 z 127.0.0.1:2',
            'b~c = 127.0.0.1:1 z 127.0.0.1:2',
        ],
    )
    def test_malformed_line(self, line: str) -> None:
        fault = single_fault_of(f'{MINIMAL}[peers]\n{line}\n')
        assert isinstance(fault, subject.BadValue)
        assert fault.section == 'peers'


class TestFaults:
    """Every fault is reported, with its own type."""

    def test_reports_all_faults(self) -> None:
        found = faults_of(
            '[instance]\nzone = z\n[limit]\n'
            '[limits]\nmax_task = 1\nmax_tasks = many\n'
            '[timeouts]\ntick_ms = 51\nsilent_factor = nan\n'
            '[logs]\nlevel = loud\n[dispatch]\npolicy = dice\n',
        )
        assert [(type(each), each.section, each.key) for each in found] == [
            (subject.UnknownSection, 'limit', ''),
            (subject.MissingKey, 'instance', 'name'),
            (subject.BadValue, 'dispatch', 'policy'),
            (subject.UnknownKey, 'limits', 'max_task'),
            (subject.BadValue, 'limits', 'max_tasks'),
            (subject.BadValue, 'timeouts', 'tick_ms'),
            (subject.BadValue, 'timeouts', 'silent_factor'),
            (subject.BadValue, 'logs', 'level'),
        ]
        assert found[0].hint == 'limits'
        assert found[3].hint == 'max_tasks'
        assert 'from 1 to 50' in found[5].expected

    @pytest.mark.parametrize(
        ('text', 'key'),
        [
            ('[timeouts]\nsuspect_ms = 500\n', 'suspect_ms'),
            ('[timeouts]\nendpoint_lease_ms = 1000\n', 'endpoint_lease_ms'),
            ('[limits]\nmax_body_bytes = 2048\n', 'max_payload_bytes'),
            ('[limits]\nmemory_mb = 135\n', 'memory_mb'),
            ('[listen]\npeers = 0.0.0.0:8003\n', 'peers'),
            ('[listen]\npeers = 127.0.0.1:8002\n', 'peers'),
            ('[peers]\nb = 127.0.0.1:1 z 127.0.0.1:2\n', ''),
            (f'[peers]\n{OWN_PEER_LINE}', 'a'),
        ],
    )
    def test_contradictions(self, text: str, key: str) -> None:
        fault = single_fault_of(MINIMAL + text)
        assert isinstance(fault, subject.Inconsistent)
        assert fault.key == key

    @pytest.mark.parametrize(
        'text',
        [
            'name = a\n',
            f'{MINIMAL}name = b\n',
            f'{MINIMAL}[instance]\n',
            '\x00[',
        ],
    )
    def test_invalid_ini(self, text: str) -> None:
        fault = single_fault_of(text)
        assert isinstance(fault, subject.UnreadableFile)

    def test_missing_file(self, tmp_path: Path) -> None:
        with pytest.raises(subject.SettingsFaults, match='readable'):
            subject.load_settings(tmp_path / 'none.ini', policies=POLICIES)


class TestAddress:
    """Addresses consist of an IP address and a port."""

    @pytest.mark.parametrize('text', ['127.0.0.1:80', '[::1]:80'])
    def test_round_trip(self, text: str) -> None:
        assert str(Address.parse(text)) == text

    @pytest.mark.parametrize(
        'text',
        ['', ':80', '127.0.0.1', '127.0.0.1:65536', '::1:80', '[1.1.1.1]:1'],
    )
    def test_malformed_address(self, text: str) -> None:
        fault = single_fault_of(f'{MINIMAL}[listen]\ncallers = {text}\n')
        assert isinstance(fault, subject.BadValue)
