"""The command-line tool `cuminstack`."""

from cuminstack.cli._exit import CheckExitCode, ExitCode
from cuminstack.cli._program import main, run
from cuminstack.cli._tables import Row, render_table
from cuminstack.cli._views import render

__all__ = (
    'CheckExitCode',
    'ExitCode',
    'Row',
    'main',
    'render',
    'render_table',
    'run',
)
