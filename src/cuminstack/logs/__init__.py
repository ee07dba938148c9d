"""Logs: one line of key=value pairs for each event."""

from cuminstack.logs._events import log_event
from cuminstack.logs._lines import MAX_VALUE_CHARACTERS, format_line
from cuminstack.logs._output import LogOutput, configure_logs

__all__ = (
    'MAX_VALUE_CHARACTERS',
    'LogOutput',
    'configure_logs',
    'format_line',
    'log_event',
)
