"""What the system allows this process to use."""

import os
import resource
from typing import Final

_MEBIBYTE: Final = 1_048_576
#: More than any process opens, where the system sets no limit.
_MAX_DESCRIPTORS: Final = 1_048_576


def process_descriptors() -> int:
    """Return how many descriptors the system allows this process."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return _MAX_DESCRIPTORS if limit == resource.RLIM_INFINITY else limit


def physical_memory_mb() -> float:
    """Return the memory of the machine, in mebibytes."""
    pages = os.sysconf('SC_PHYS_PAGES')
    return pages * os.sysconf('SC_PAGE_SIZE') / _MEBIBYTE
