"""Decides whether a submitted sheet supersedes the current value."""

from dataclasses import dataclass

from cuminstack.register._outcomes import (
    Conflict,
    InForce,
    Outcome,
    SameAgain,
    Stale,
)
from cuminstack.register._values import Value, short_digest
from cuminstack.sheet import Sheet


@dataclass(frozen=True, slots=True)
class Resolution:
    """The value to propose, and the outcome once it is chosen.

    Args:
        value: The value to propose; the current one if nothing changes.
        outcome: Outcome of the submission once a majority accepted that.
    """

    value: Value
    outcome: Outcome


def resolve(current: Value, sheet: Sheet, *, version_floor: int) -> Resolution:
    """Decide whether a submitted sheet supersedes the current value.

    Args:
        current: The value in force, or about to come into force.
        sheet: The submitted sheet.
        version_floor: Newest version that is known to have been in force.
            It exceeds the current version if all replicas lost their disks
            and the register was founded again.

    Returns:
        The value to propose and the outcome of the submission.
    """
    version = sheet.version
    in_force = current.sheet.version
    if version == in_force:
        return Resolution(current, _compare(current, sheet))
    earlier = current.find_superseded(version)
    if earlier is not None:
        if earlier.short_digest == short_digest(sheet):
            same = SameAgain(version, sheet.digest, in_force)
            return Resolution(current, same)
        return Resolution(current, Conflict(version, in_force))
    highest = max(in_force, version_floor)
    if version <= highest or sheet.based_on != in_force:
        stale = Stale(version, sheet.based_on, highest)
        return Resolution(current, stale)
    return Resolution(
        current.make_successor(sheet), InForce(version, sheet.digest)
    )


def _compare(current: Value, sheet: Sheet) -> Outcome:
    version = sheet.version
    if current.sheet.digest == sheet.digest:
        return SameAgain(version, sheet.digest, version)
    return Conflict(version, version)
