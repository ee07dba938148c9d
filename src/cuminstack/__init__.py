"""A dispatcher for sub-second tasks, and its coordination parts.

The daemon and the tool are programs; what stands here is for those who embed
a part of it.  Every part decides without input or output: it takes an event
and the present time, and returns typed effects.
"""

from cuminstack import _public

__all__ = _public.NAMES
__getattr__ = _public.find_public
