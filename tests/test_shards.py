"""Shards of deputies, for the load when all control instances are lost.

Pattern of the load: the control instances lose power together while each
availability zone asks for hundreds of starts a second.  One entry that took
over all endpoints of a large deployment was late from its first turn on, was
taken for lost by the next deputy, and hardly a task was started until the
control instances were back.
"""

from collections import Counter

import pytest

from cuminstack.core import EndpointId, InstanceId, ZoneName
from cuminstack.fleet import (
    DeputyPlan,
    EndpointReports,
    EntryInfo,
    endpoint_capacity,
    plan_deputies,
)
from cuminstack.pool import EndpointReport, Resources

ZONES = tuple(ZoneName(f'zone-{number}') for number in range(5))


#: Endpoints of a large deployment by zone.
LARGE = Counter(dict.fromkeys(ZONES, 54))


def make_entries(
    count: int, *, zones: int, cores: float
) -> dict[InstanceId, EntryInfo]:
    capacity = endpoint_capacity(cores)
    return {
        InstanceId(f'e{number}'): EntryInfo(ZONES[number % zones], capacity)
        for number in range(count)
    }


def count_endpoints(count: int, *, zones: int) -> Counter[ZoneName]:
    return Counter(ZONES[number % zones] for number in range(count))


def make_reports(count: int, *, zones: int) -> EndpointReports:
    return EndpointReports(
        tuple(
            EndpointReport(
                endpoint=EndpointId(f'w{number}'),
                lifetime=1,
                sequence=1,
                address='10.0.0.1:80',
                zone=ZONES[number % zones],
                service='desk',
                room=Resources(16000, 32768),
            )
            for number in range(count)
        )
    )


def largest_shard(plan: DeputyPlan, reports: EndpointReports) -> int:
    return max(len(shard.select(reports).reports) for shard in plan.shards)


class TestPlan:
    """How the zones of a deployment are divided."""

    @pytest.mark.parametrize(
        ('endpoints', 'entries', 'zones', 'cores', 'shards'),
        [
            (24, 8, 3, 1.07, 1),
            (45, 17, 5, 0.12, 5),
            (135, 48, 5, 0.516, 4),
            (176, 32, 3, 0.516, 3),
            (270, 97, 5, 0.516, 5),
            (270, 97, 5, 8, 1),
        ],
    )
    def test_shards(
        self,
        endpoints: int,
        entries: int,
        zones: int,
        cores: float,
        shards: int,
    ) -> None:
        infos = make_entries(entries, zones=zones, cores=cores)
        counts = count_endpoints(endpoints, zones=zones)
        plan = plan_deputies(infos, endpoints=counts)
        assert len(plan.shards) == shards

    def test_each_zone_and_entry_belongs_to_one_shard(self) -> None:
        infos = make_entries(97, zones=5, cores=0.516)
        plan = plan_deputies(infos, endpoints=LARGE)
        zones = Counter(zone for shard in plan.shards for zone in shard.zones)
        entries = Counter(
            name for shard in plan.shards for name in shard.entries
        )
        assert zones == Counter(ZONES)
        assert entries == Counter(infos.keys())
        for name, info in infos.items():
            assert name in plan.shard_of(info.zone).entries

    def test_each_endpoint_has_deputies_of_its_zone(self) -> None:
        infos = make_entries(97, zones=5, cores=0.516)
        reports = make_reports(270, zones=5)
        plan = plan_deputies(infos, endpoints=LARGE)
        selected = Counter(
            report.endpoint
            for shard in plan.shards
            for report in shard.select(reports).reports
        )
        assert selected == Counter(each.endpoint for each in reports.reports)
        assert largest_shard(plan, reports) == 54
        for shard in plan.shards:
            assert len(shard.deputies) == 2
            assert set(shard.deputies) < set(shard.entries)

    def test_few_deputies_change_with_an_entry(self) -> None:
        """A new deputy has yet to receive the heartbeats of endpoints."""
        infos = make_entries(97, zones=5, cores=0.516)
        before = plan_deputies(infos, endpoints=LARGE).deputies
        for gone in infos:
            rest = {name: info for name, info in infos.items() if name != gone}
            after = plan_deputies(rest, endpoints=LARGE).deputies
            assert len(set(after) - set(before)) <= 1

    def test_zone_without_entries(self) -> None:
        infos = make_entries(40, zones=4, cores=0.516)
        plan = plan_deputies(infos, endpoints=LARGE)
        reports = make_reports(270, zones=5)
        selected = [len(shard.select(reports).reports) for shard in plan.shards]
        assert sum(selected) == 270
        assert all(shard.deputies for shard in plan.shards)

    def test_entries_that_report_nothing(self) -> None:
        infos = {InstanceId('e'): EntryInfo(ZoneName(''), 0)}
        plan = plan_deputies(infos, endpoints=LARGE)
        assert plan.deputies == ('e',)
        assert not plan_deputies({}, endpoints=LARGE).shards
