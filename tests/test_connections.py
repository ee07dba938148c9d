"""Which connections of a listener are closed or refused, without sockets."""

from dataclasses import replace

import pytest

from cuminstack.listeners._connections import (
    Cause,
    ConnectionTable,
    body_cost,
    header_cost,
)
from cuminstack.listeners._limits import (
    CALLERS,
    ENDPOINTS,
    LINKS,
    REQUESTS,
    SIDE,
    BadOption,
    ConnectionOptions,
    ListenerLimits,
    MachineLimits,
    derive_limits,
    excess_descriptors,
)

LIMITS = ListenerLimits(
    connections=4,
    memory_bytes=1000,
    header_bytes=100,
    header_seconds=5,
    body_seconds=20,
)


def is_quiet(key: str) -> bool:
    return not key.startswith('unread')


def make_table(*keys: str, now: float = 0) -> ConnectionTable[str]:
    """Return a table with some connections that have carried no request."""
    table: ConnectionTable[str] = ConnectionTable(LIMITS)
    for key in keys:
        table.open(key, now=now)
    return table


def use(table: ConnectionTable[str], key: str, now: float) -> None:
    """Let a connection carry a request."""
    table.start_request(key)
    table.end_request(key, now=now)


def surplus(table: ConnectionTable[str], now: float) -> str | None:
    return table.find_surplus(is_quiet=is_quiet, now=now)


class TestSurplus:
    """A connection is to be closed since connections run short."""

    # Guards against closing connections that callers are about to use while
    # there is room.
    def test_room(self) -> None:
        table = make_table('a', 'b', 'c')
        assert table.has_room()
        table.open('d', now=0)
        assert not table.has_room()

    # Guards against closing the connection that was used last.
    def test_least_recently_used(self) -> None:
        table = make_table('a', 'b', 'c')
        for key in 'abca':
            use(table, key, now=2)
        assert surplus(table, 3) == 'b'

    # Guards against ordinary callers that lose their connections to clients
    # that connect and send nothing.
    def test_unused_before_used(self) -> None:
        table = make_table('a', 'b')
        use(table, 'a', now=1)
        assert surplus(table, 9) == 'b'

    # Guards against closing a connection whose first request is on its way.
    def test_young_unused_after_used(self) -> None:
        table = make_table('a')
        use(table, 'a', now=1)
        table.open('b', now=9)
        assert surplus(table, 9.1) == 'a'

    # Guards against losing a request that has been received and not read.
    def test_unread_input_is_kept(self) -> None:
        table = make_table('unread', 'b')
        assert surplus(table, 9) == 'b'
        table.close('b')
        assert surplus(table, 9) is None

    # Guards against cutting off a request that is handled: its job may run.
    def test_handled_is_kept(self) -> None:
        table = make_table('a')
        table.start_request('a')
        assert surplus(table, 99) is None

    def test_refused_first(self) -> None:
        table = make_table('a', 'b')
        table.refuse('b', Cause.memory, seconds=1, now=9)
        assert surplus(table, 9) == 'b'

    # Guards against a burst of unfinished headers that keeps new callers out
    # until its time is up.
    def test_oldest_wait(self) -> None:
        table = make_table('a', 'b')
        for now, key in enumerate('ba'):
            table.start_wait(key, Cause.slow_header, seconds=5, now=now)
        assert surplus(table, 2) == 'b'

    # Guards against bursts of one kind that push out what ordinary clients
    # send in the same moment.
    @pytest.mark.parametrize('hostile', ['fresh', 'wait'])
    def test_more_frequent_kind(self, hostile: str) -> None:
        keys = {'fresh': ('f1', 'f2', 'w1'), 'wait': ('f1', 'w1', 'w2')}
        table = make_table(*keys[hostile])
        for key in keys[hostile]:
            if key.startswith('w'):
                table.start_wait(key, Cause.slow_header, seconds=5, now=0)
        assert surplus(table, 0.1) == f'{hostile[0]}1'


class TestDescriptors:
    """The process uses descriptors for other things."""

    # Guards against running out of descriptors by connections that the
    # process opens itself, and against refusing all clients for them.
    def test_limit_is_lowered(self) -> None:
        table = make_table('a')
        table.reserve_descriptors(3)
        assert not table.has_room()
        table.reserve_descriptors(9)
        table.close('a')
        assert table.has_room()

    def test_files_are_not_counted(self) -> None:
        assert excess_descriptors(used=500, connections=300) == 0
        assert excess_descriptors(used=700, connections=300) == 200


class TestIdentified:
    """Connections of clients that are in use while they are idle."""

    # Guards against links between instances that are closed for a burst of
    # clients that never identify themselves.
    def test_unidentified_are_closed_first(self) -> None:
        table = ConnectionTable[str](replace(LIMITS, keeps_idle=True))
        table.open('link', now=0)
        table.start_request('link')
        table.end_request('link', now=0)
        table.open('other', now=10)
        assert table.find_surplus(is_quiet=is_quiet, now=10) == 'other'
        table.close('other')
        assert table.find_surplus(is_quiet=is_quiet, now=10) == 'link'


class TestMemory:
    """Requests use more memory than the listener has."""

    def test_enough(self) -> None:
        table = make_table('a', 'b')
        assert table.use_memory('a', 500) == ()
        assert table.use_memory('b', 500) == ()

    # Guards against refusing an ordinary request while a client holds the
    # memory with an unfinished one.
    def test_longest_wait_is_cut_off(self) -> None:
        table = make_table('a', 'b', 'c')
        for key in 'ab':
            table.start_wait(key, Cause.slow_body, seconds=20, now=0)
            table.use_memory(key, 400)
        assert table.use_memory('c', 500) == ('a',)

    # Guards against cutting off requests that are handled.
    def test_own_request_is_refused(self) -> None:
        table = make_table('a', 'b')
        table.use_memory('a', 900)
        table.start_request('a')
        assert table.use_memory('b', 200) == ('b',)

    def test_release(self) -> None:
        table = make_table('a', 'b')
        table.use_memory('a', 900)
        table.start_request('a')
        table.end_request('a', now=1)
        assert not table.used_bytes
        assert table.use_memory('b', 900) == ()

    # Guards against clients that leave while their requests are handled and
    # send others, so that memory grows beyond the bound.
    def test_handled_request_of_a_closed_connection(self) -> None:
        table = make_table('a')
        table.use_memory('a', 900)
        table.start_request('a')
        table.close('a')
        assert table.used_bytes == 900
        table.end_request('a', now=1)
        assert not table.used_bytes
        assert surplus(table, 9) is None

    # Guards against many small fields, which take far more memory than bytes.
    def test_costs(self) -> None:
        assert header_cost(4000, 1000) > 100 * 4000
        assert body_cost(10) > 2 * 10


class TestWaits:
    """A client takes long."""

    def test_expired(self) -> None:
        table = make_table('a', 'b')
        table.start_wait('a', Cause.slow_header, seconds=5, now=0)
        table.start_wait('b', Cause.slow_body, seconds=20, now=0)
        assert table.expired(now=4.9) == ()
        assert table.expired(now=5) == (('a', Cause.slow_header),)

    # Guards against cutting off a body that progresses.
    def test_progress(self) -> None:
        table = make_table('a')
        table.start_wait('a', Cause.slow_body, seconds=20, now=0)
        table.start_wait('a', Cause.slow_body, seconds=20, now=19)
        assert table.expired(now=21) == ()

    # Guards against a table that grows by connections that are closed.
    def test_closed(self) -> None:
        table = make_table('a')
        table.close('a')
        table.start_wait('a', Cause.slow_reader, seconds=20, now=0)
        assert table.expired(now=99) == ()

    # Guards against closing idle connections that callers may use again.
    def test_idle_never_expires(self) -> None:
        table = make_table('a', 'b')
        use(table, 'a', now=1)
        assert table.expired(now=100_000) == ()

    def test_refused(self) -> None:
        table = make_table('a')
        table.refuse('a', Cause.memory, seconds=1, now=0)
        assert table.expired(now=1) == (('a', Cause.memory),)


class TestDerivedLimits:
    """Limits of listeners follow those of the machine."""

    def test_connections(self) -> None:
        machine = MachineLimits(descriptors=1024)
        options = ConnectionOptions()
        front = derive_limits(machine, options, REQUESTS)
        side = derive_limits(machine, options, SIDE)
        links = derive_limits(machine, options, LINKS)
        used = front.connections + links.connections + 2 * side.connections
        assert used == 1024 - 200

    # Guards against a process of callers and endpoints that has more clients
    # than descriptors.
    def test_connections_of_daemon(self) -> None:
        machine = MachineLimits(descriptors=1024)
        options = ConnectionOptions()
        used = sum(
            derive_limits(machine, options, share).connections
            for share in (CALLERS, ENDPOINTS, LINKS)
        )
        assert used <= 1024 - 200

    # Guards against idle connections that exceed the memory where descriptors
    # are many.
    def test_many_descriptors(self) -> None:
        machine = MachineLimits(memory_mb=160, descriptors=1_000_000)
        front = derive_limits(machine, ConnectionOptions(), REQUESTS)
        assert front.connections == 2560

    # Guards against listeners that take more than the machine has.
    def test_memory(self) -> None:
        machine = MachineLimits(memory_mb=160)
        options = ConnectionOptions(memory_share=0.25)
        front = derive_limits(machine, options, REQUESTS)
        side = derive_limits(machine, options, SIDE)
        assert front.memory_bytes == 40 * 1_048_576
        assert side.memory_bytes == 5 * 1_048_576
        assert machine.state_bytes == 2.5 * 1_048_576
        assert replace(machine, memory_mb=1024).state_bytes == 8_388_608

    @pytest.mark.parametrize(
        'changes',
        [
            {'header_bytes': 100},
            {'header_seconds': 0},
            {'body_seconds': 'soon'},
            {'memory_share': 0.9},
            {'memory_share': float('nan')},
        ],
    )
    def test_bad_option(self, changes: dict[str, float]) -> None:
        with pytest.raises(BadOption, match=next(iter(changes))):
            ConnectionOptions(**changes)  # type: ignore[arg-type]
