"""A dispatcher for sub-second tasks, and its coordination components.

The daemon and the command-line tool are programs; the names exported here are
for programs that embed a component.  Every component is sans I/O: it takes an
event and the current time, and returns typed effects.
"""

from cuminstack import _public

__all__ = _public.NAMES
__getattr__ = _public.find_public
