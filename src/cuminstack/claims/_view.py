"""Choice of the instances that vote on the claim of a job.

The replicas derive from the configured instances and not from those that are
currently alive, so that a partition doesn't change them.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from cuminstack.core import Instance, InstanceId, JobId, rendezvous_score

#: Number of replicas of a claim; fewer if there are fewer instances.
_REPLICA_COUNT: Final = 3

Group = tuple[InstanceId, ...]


@dataclass(frozen=True, slots=True)
class ClaimView:
    """Configured instances, and during a change those of the former view.

    A change of the instances takes two steps.  Each is a restart of all
    instances with a view number that is higher by one: first with `former` set,
    so that claims need a majority of both the former and the new replicas;
    then, once the lifetime of a claim has passed, without it.

    Args:
        number: View number, which increases by one with each step.
        instances: The configured instances.
        former: Instances of the former view, while the view is changing.
    """

    number: int
    instances: tuple[Instance, ...]
    former: tuple[Instance, ...] = ()

    @property
    def members(self) -> frozenset[InstanceId]:
        """All instances that may hold claims."""
        both = (*self.instances, *self.former)
        return frozenset(instance.instance for instance in both)

    def groups(self, job: JobId) -> tuple[Group, ...]:
        """Return the groups of replicas that each need a majority."""
        groups = [replicas(job, self.instances)]
        if self.former:
            groups.append(replicas(job, self.former))
        return tuple(dict.fromkeys(groups))

    def voters(self, job: JobId) -> Group:
        """Return all replicas of a job, in a fixed order."""
        groups = self.groups(job)
        return tuple(sorted({name for group in groups for name in group}))


def replicas(job: JobId, instances: Iterable[Instance]) -> Group:
    """Choose the replicas of a job by rendezvous hashing.

    Up to three are chosen: first the highest-ranked instance of each zone, in
    order of rank; then, if there are fewer zones than replicas, the
    highest-ranked remaining instances.  The result is sorted by name.
    """
    key = f'{job.member}/{job.key}'
    ranked = sorted(
        instances,
        key=lambda instance: rendezvous_score(key, instance.instance),
        reverse=True,
    )
    best: dict[str, Instance] = {}
    for candidate in ranked:
        best.setdefault(candidate.zone, candidate)
    chosen = list(best.values())
    chosen += [other for other in ranked if other not in chosen]
    return tuple(sorted(item.instance for item in chosen[:_REPLICA_COUNT]))


def is_majority(votes: Collection[InstanceId], group: Group) -> bool:
    """Return whether more than half of a group is among the votes."""
    return 2 * len(set(votes).intersection(group)) > len(group)


def is_quorum(
    votes: Collection[InstanceId],
    groups: Sequence[Group],
) -> bool:
    """Return whether a majority of each group voted."""
    return all(is_majority(votes, group) for group in groups)
