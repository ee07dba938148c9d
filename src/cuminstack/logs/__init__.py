"""Structured logs: one line of key=value pairs per event."""

from cuminstack.logs._budget import LineBudget
from cuminstack.logs._events import log_event
from cuminstack.logs._lines import MAX_VALUE_CHARACTERS, format_line
from cuminstack.logs._output import (
    LogOutput,
    configure_logs,
    log_to_standard_output,
)
from cuminstack.logs._pipe import PipeStream
from cuminstack.logs._reading import BadLine, read_fields

__all__ = (
    'MAX_VALUE_CHARACTERS',
    'BadLine',
    'LineBudget',
    'LogOutput',
    'PipeStream',
    'configure_logs',
    'format_line',
    'log_event',
    'log_to_standard_output',
    'read_fields',
)
