"""Containment of unexpected errors in callbacks of a process."""

import traceback
from collections.abc import Callable
from functools import partial
from typing import Any

from cuminstack.logs import log_event
from cuminstack.settings import LogLevel

_Callback = Callable[..., None]


def contain_errors(callback: _Callback) -> _Callback:
    """Return a callback that logs every error instead of raising it.

    A message that a fault of the program makes unprocessable is lost, and a
    tick is cut short.  Without this, the error would end the link that the
    message came from, or all later ticks.

    Args:
        callback: Called with the arguments of the returned callback.
    """
    return partial(_call, callback)


def _call(callback: _Callback, *args: Any) -> None:
    try:
        callback(*args)
    except Exception as error:
        log_event(
            'instance.unexpected_error',
            LogLevel.error,
            callback=callback.__qualname__,
            error=error,
            traceback=traceback.format_exc(),
        )
