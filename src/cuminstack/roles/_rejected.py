"""What becomes of links that carry bad frames."""

from cuminstack.core import InstanceId
from cuminstack.logs import log_event
from cuminstack.settings import LogLevel


def log_rejected(sender: InstanceId | None, error: Exception) -> None:
    """Say that a link was closed because of what came on it."""
    log_event(
        'link.rejected',
        LogLevel.warning,
        sender=sender,
        error=error,
    )
