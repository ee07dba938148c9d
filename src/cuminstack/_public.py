"""Public names of the package, imported lazily on first access.

Importing all subpackages took a quarter of the startup time of a program of
the platform.  A program that restarts after a power loss should not wait for
subpackages that it doesn't use.
"""

from dataclasses import dataclass
from importlib import import_module
from types import MappingProxyType
from typing import Any, Final


@dataclass(frozen=True, slots=True)
class _PublicName:
    """A public name and where it is defined.

    Args:
        name: Name under which it is imported from `cuminstack`.
        subpackage: Subpackage of `cuminstack` that defines it.
        original_name: Its name in the subpackage, if it differs.
    """

    name: str
    subpackage: str
    original_name: str = ''


_PUBLIC: Final = (
    _PublicName('Admission', subpackage='admission'),
    _PublicName('AdmissionRequest', subpackage='admission'),
    _PublicName('ClaimView', subpackage='claims'),
    _PublicName('Claims', subpackage='claims'),
    _PublicName('Demand', subpackage='fairness'),
    _PublicName('EndpointHealth', subpackage='health'),
    _PublicName('EndpointRecord', subpackage='core'),
    _PublicName('FairQueue', subpackage='fairness'),
    _PublicName('Instance', subpackage='core'),
    _PublicName('JobId', subpackage='core'),
    _PublicName('LeasePolicy', subpackage='slots'),
    _PublicName('Membership', subpackage='membership'),
    _PublicName('Needs', subpackage='core'),
    _PublicName('Policy', subpackage='slots'),
    _PublicName('QueuedTask', subpackage='slots'),
    _PublicName('Register', subpackage='register'),
    _PublicName('RunTimes', subpackage='admission'),
    _PublicName('Send', subpackage='core'),
    _PublicName('ServiceRef', subpackage='core'),
    _PublicName('Share', subpackage='fairness'),
    _PublicName('Sheet', subpackage='sheet'),
    _PublicName('SheetFaults', subpackage='sheet'),
    _PublicName('Spread', subpackage='spread'),
    _PublicName('TaskId', subpackage='core'),
    _PublicName('Timing', subpackage='membership'),
    _PublicName('parse_sheet', subpackage='sheet', original_name='parse'),
)
_BY_NAME: Final = MappingProxyType({each.name: each for each in _PUBLIC})
#: All public names, as `__all__` of the package.
NAMES: Final = tuple(_BY_NAME)


def find_public(name: str) -> Any:
    """Import and return the object with a public name.

    This is the `__getattr__` of the package.

    Args:
        name: Name under which the object is imported from `cuminstack`.

    Returns:
        The object, imported from its subpackage.

    Raises:
        AttributeError: The package has no such public name.
    """
    public_name = _BY_NAME.get(name)
    if public_name is None:
        raise AttributeError(f'module cuminstack has no attribute {name}')
    module = import_module(f'cuminstack.{public_name.subpackage}')
    return getattr(module, public_name.original_name or name)
