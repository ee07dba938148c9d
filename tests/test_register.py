"""The quorum register, composed through a small network."""

import pytest

from cuminstack.register import (
    Conflict,
    InForce,
    NoQuorum,
    SameAgain,
    Stale,
)
from fakes_register_network import Network, make_sheet


def _ready(replicas: int = 3, others: int = 2) -> Network:
    network = Network(replicas, others)
    network.run(1)
    return network


class TestOutcomes:
    """Each submission gets the true answer."""

    def test_in_force(self) -> None:
        network = _ready()
        sheet = make_sheet(1, 0)
        for name in network.names:
            outcome = network.commit(name, sheet)
            expected = InForce if name == 'i0' else SameAgain
            assert isinstance(outcome, expected)

    def test_single_replica(self) -> None:
        network = _ready(1, 0)
        outcome = network.commit(network.names[0], make_sheet(1, 0))
        assert isinstance(outcome, InForce)

    def test_same_again_after_newer_ones(self) -> None:
        network = _ready()
        one, two, *_ = network.names
        for version in range(1, 6):
            network.commit(one, make_sheet(version, version - 1))
        again = network.commit(two, make_sheet(2, 1))
        assert again == SameAgain(2, make_sheet(2, 1).digest, 5)

    def test_conflict(self) -> None:
        network = _ready()
        one, two, *_ = network.names
        network.commit(one, make_sheet(1, 0))
        taken = network.commit(two, make_sheet(1, 0, 'b'))
        assert taken == Conflict(1, 1)
        network.commit(one, make_sheet(2, 1))
        assert network.commit(two, make_sheet(1, 0, 'b')) == Conflict(1, 2)

    @pytest.mark.parametrize(('version', 'based_on'), [(3, 1), (9, 8)])
    def test_stale(self, version: int, based_on: int) -> None:
        network = _ready()
        one, two, *_ = network.names
        network.commit(one, make_sheet(1, 0))
        network.commit(one, make_sheet(2, 1))
        outcome = network.commit(two, make_sheet(version, based_on))
        assert outcome == Stale(version, based_on, 2)

    def test_two_operators_with_one_version(self) -> None:
        network = _ready()
        one, two, *_ = network.names
        sheets = [make_sheet(1, 0, 'a'), make_sheet(1, 0, 'b')]
        tickets = [
            network.submit(name, sheet)
            for name, sheet in zip((one, two), sheets, strict=True)
        ]
        network.run(4)
        outcomes = [network.outcome(ticket) for ticket in tickets]
        kinds = {type(outcome) for outcome in outcomes}
        assert kinds == {InForce, Conflict}

    def test_one_sheet_at_two_instances(self) -> None:
        network = _ready()
        tickets = [
            network.submit(name, make_sheet(1, 0)) for name in network.names
        ]
        network.run(4)
        outcomes = [network.outcome(ticket) for ticket in tickets]
        assert all(
            isinstance(outcome, InForce | SameAgain) for outcome in outcomes
        )


class TestCuts:
    """Partitions."""

    def test_cut_off_instance_gets_no_quorum(self) -> None:
        network = _ready()
        one, two, *_ = network.names
        network.isolate([one])
        outcome = network.commit(one, make_sheet(1, 0))
        assert outcome == NoQuorum(maybe_accepted=False)
        outcome = network.commit(two, make_sheet(1, 0, 'b'))
        assert isinstance(outcome, InForce)
        network.heal()
        network.run(3)
        assert network.commit(one, make_sheet(1, 0)) == Conflict(1, 1)

    def test_healed_replica_catches_up(self) -> None:
        network = _ready()
        one, two, *_ = network.names
        network.isolate([one])
        network.commit(two, make_sheet(1, 0))
        network.heal()
        network.commit(two, make_sheet(2, 1))
        network.run(1)
        assert network.synced_version(one) == 2
