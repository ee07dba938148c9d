"""Settings files, and what is said of their faults."""

import dataclasses
from pathlib import Path

import pytest

from cuminstack import settings as subject
from cuminstack.settings import Address, Settings, parse_settings

POLICIES = ('leases', 'local')
EXAMPLE = Path(__file__).parent.parent / 'docs/examples/cuminstackd.ini'
BARE = '[instance]\nname = a\nzone = z\n'
PEER = 'a = 127.0.0.1:8003 z 127.0.0.1:8002 replica\n'


def faults_of(text: str) -> tuple[subject.SettingsFault, ...]:
    try:
        parse_settings(text, policies=POLICIES)
    except subject.SettingsFaults as error:
        return error.faults
    return ()


def fault_of(text: str) -> subject.SettingsFault:
    faults = faults_of(text)
    assert len(faults) == 1
    return faults[0]


class TestDefaults:
    """What holds where the file says nothing."""

    def test_bare(self) -> None:
        loaded = parse_settings(BARE, policies=POLICIES)
        assert loaded.is_embedded
        assert not loaded.is_replica
        assert loaded.dispatch.policy == 'leases'
        assert loaded.logs.path is None

    def test_plain_policy(self) -> None:
        loaded = parse_settings(BARE, policies=('local',))
        assert loaded.dispatch.policy == 'local'

    def test_example_shows_defaults(self) -> None:
        shown = subject.load_settings(EXAMPLE, policies=POLICIES)
        plain = parse_settings(BARE, policies=POLICIES)
        for name in ('listen', 'dispatch', 'limits', 'timeouts'):
            assert getattr(shown, name) == getattr(plain, name)
        assert shown.logs.level is plain.logs.level

    def test_example_names_every_key(self) -> None:
        text = EXAMPLE.read_text(encoding='utf-8')
        shown = subject.load_settings(EXAMPLE, policies=POLICIES)
        for part in dataclasses.fields(Settings):
            section = getattr(shown, part.name)
            assert f'[{part.name}]' in text
            if part.name == 'peers':
                continue
            for key in dataclasses.fields(section):
                assert f'\n{key.name} = ' in text


class TestPeers:
    """The lines of section peers."""

    def test_others(self) -> None:
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
    def test_malformed(self, line: str) -> None:
        fault = fault_of(f'{BARE}[peers]\n{line}\n')
        assert isinstance(fault, subject.BadValue)
        assert fault.section == 'peers'


class TestFaults:
    """Every fault is found, and typed."""

    def test_all_listed(self) -> None:
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
            ('[listen]\npeers = 0.0.0.0:8003\n', 'peers'),
            ('[listen]\npeers = 127.0.0.1:8002\n', 'peers'),
            ('[peers]\nb = 127.0.0.1:1 z 127.0.0.1:2\n', ''),
            (f'[peers]\n{PEER}', 'a'),
        ],
    )
    def test_contradictions(self, text: str, key: str) -> None:
        fault = fault_of(BARE + text)
        assert isinstance(fault, subject.Inconsistent)
        assert fault.key == key

    @pytest.mark.parametrize(
        'text',
        ['name = a\n', f'{BARE}name = b\n', f'{BARE}[instance]\n', '\x00['],
    )
    def test_no_ini(self, text: str) -> None:
        fault = fault_of(text)
        assert isinstance(fault, subject.UnreadableFile)

    def test_no_file(self, tmp_path: Path) -> None:
        with pytest.raises(subject.SettingsFaults, match='readable'):
            subject.load_settings(tmp_path / 'none.ini', policies=POLICIES)


class TestAddress:
    """Addresses by IP number."""

    @pytest.mark.parametrize('text', ['127.0.0.1:80', '[::1]:80'])
    def test_round_trip(self, text: str) -> None:
        assert str(Address.parse(text)) == text

    @pytest.mark.parametrize(
        'text',
        ['', ':80', '127.0.0.1', '127.0.0.1:65536', '::1:80', '[1.1.1.1]:1'],
    )
    def test_refused(self, text: str) -> None:
        fault = fault_of(f'{BARE}[listen]\ncallers = {text}\n')
        assert isinstance(fault, subject.BadValue)
