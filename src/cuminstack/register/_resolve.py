"""What a submitted sheet does to the value in force."""

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
    """What to write, and what to answer once a majority holds it.

    Args:
        value: The value to write; the current one where nothing changes.
        outcome: What then is true.
    """

    value: Value
    outcome: Outcome


def resolve(current: Value, sheet: Sheet, *, floor: int) -> Resolution:
    """Decide what a sheet does to the current value.

    Args:
        current: The value in force, or about to be.
        sheet: What was submitted.
        floor: Highest version that is known to have been in force, though
            the register may have been founded anew since.
    """
    version = sheet.version
    in_force = current.sheet.version
    if version == in_force:
        return Resolution(current, _compare(current, sheet))
    earlier = current.superseded(version)
    if earlier is not None:
        if earlier.short_digest == short_digest(sheet):
            same = SameAgain(version, sheet.digest, in_force)
            return Resolution(current, same)
        return Resolution(current, Conflict(version, in_force))
    highest = max(in_force, floor)
    if version <= highest or sheet.based_on != in_force:
        stale = Stale(version, sheet.based_on, highest)
        return Resolution(current, stale)
    return Resolution(current.succeed(sheet), InForce(version, sheet.digest))


def _compare(current: Value, sheet: Sheet) -> Outcome:
    version = sheet.version
    if current.sheet.digest == sheet.digest:
        return SameAgain(version, sheet.digest, version)
    return Conflict(version, version)
