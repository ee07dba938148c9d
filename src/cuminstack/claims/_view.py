"""Which instances vote on the claim of a job.

The replicas follow from the configured instances, never from those thought
alive, so a partition doesn't change them.
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from cuminstack.core import Instance, InstanceId, JobId, rendezvous_score

#: Replicas of a claim, where there are as many instances.
_REPLICAS: Final = 3

Group = tuple[InstanceId, ...]


@dataclass(frozen=True, slots=True)
class ClaimView:
    """The configured instances, and those of the view before in a change.

    A change of the instances takes two steps, each a restart of all with a
    number higher by one: first with `former` set, so that claims need a
    majority of both the former and the new replicas; then, once the claims'
    lifetime has passed, without it.

    Args:
        number: Grows by one with each change.
        instances: The configured instances.
        former: Those of the view before, while the view is changing.
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
        """Give the groups of replicas that each need a majority."""
        groups = [replicas(job, self.instances)]
        if self.former:
            groups.append(replicas(job, self.former))
        return tuple(dict.fromkeys(groups))

    def voters(self, job: JobId) -> Group:
        """Give all replicas of a job, in a fixed order."""
        groups = self.groups(job)
        return tuple(sorted({name for group in groups for name in group}))


def replicas(job: JobId, instances: Iterable[Instance]) -> Group:
    """Choose the replicas of a job by rendezvous hashing.

    They are the best instances of the best zones; where there are fewer
    zones than replicas, the best of the other instances fill up.
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
    return tuple(sorted(item.instance for item in chosen[:_REPLICAS]))


def is_majority(votes: Collection[InstanceId], group: Group) -> bool:
    """Tell whether more than half of a group voted."""
    return 2 * len(set(votes).intersection(group)) > len(group)


def is_quorum(
    votes: Collection[InstanceId],
    groups: Sequence[Group],
) -> bool:
    """Tell whether a majority of each group voted."""
    return all(is_majority(votes, group) for group in groups)
