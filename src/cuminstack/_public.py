"""What those who embed a part find in the package, imported when asked for.

Importing all parts was a quarter of the time that a program of the platform
took to start, and one that restarts after a power loss should not wait for
parts that it doesn't use.
"""

from dataclasses import dataclass
from importlib import import_module
from types import MappingProxyType
from typing import Any, Final


@dataclass(frozen=True, slots=True)
class _Public:
    """A public name.

    Args:
        name: As it is imported from the package.
        part: The part that it is of.
        inside: What the part calls it, if that is something else.
    """

    name: str
    part: str
    inside: str = ''


_PUBLIC: Final = (
    _Public('Admission', part='admission'),
    _Public('AdmissionRequest', part='admission'),
    _Public('ClaimView', part='claims'),
    _Public('Claims', part='claims'),
    _Public('Demand', part='fairness'),
    _Public('EndpointHealth', part='health'),
    _Public('EndpointRecord', part='core'),
    _Public('FairQueue', part='fairness'),
    _Public('Instance', part='core'),
    _Public('JobId', part='core'),
    _Public('LeasePolicy', part='slots'),
    _Public('Membership', part='membership'),
    _Public('Needs', part='core'),
    _Public('Policy', part='slots'),
    _Public('QueuedTask', part='slots'),
    _Public('Register', part='register'),
    _Public('RunTimes', part='admission'),
    _Public('Send', part='core'),
    _Public('ServiceRef', part='core'),
    _Public('Share', part='fairness'),
    _Public('Sheet', part='sheet'),
    _Public('SheetFaults', part='sheet'),
    _Public('Spread', part='spread'),
    _Public('TaskId', part='core'),
    _Public('Timing', part='membership'),
    _Public('parse_sheet', part='sheet', inside='parse'),
)
_BY_NAME: Final = MappingProxyType({each.name: each for each in _PUBLIC})
#: All public names.
NAMES: Final = tuple(_BY_NAME)


def find_public(name: str) -> Any:
    """Give what a public name stands for.

    Raises:
        AttributeError: The package has no such name.
    """
    found = _BY_NAME.get(name)
    if found is None:
        raise AttributeError(f'cuminstack has no {name}')
    part = import_module(f'cuminstack.{found.part}')
    return getattr(part, found.inside or name)
