"""Logging of links that are closed because of invalid frames."""

from cuminstack.core import InstanceId
from cuminstack.logs import log_event
from cuminstack.settings import LogLevel


def log_rejected(sender: InstanceId | None, error: Exception) -> None:
    """Log that a link was closed because of data received on it.

    Args:
        sender: Instance that sent the data, if known.
        error: Why the data was rejected.
    """
    log_event(
        'link.rejected',
        LogLevel.warning,
        sender=sender,
        error=error,
    )
