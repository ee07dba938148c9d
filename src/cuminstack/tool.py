"""Entry point of the command-line tool `cuminstack`.

It is above the tool and the platform adapter, since the kinds of files that
the tool checks include the adapter's desired states.
"""

from cuminstack.cli import main, run
from cuminstack.platform.checks import DesiredStateFiles

#: `DesiredStateFiles` is registered for the tool when it is imported.
__all__ = ('DesiredStateFiles', 'main', 'run')

if __name__ == '__main__':
    main()
