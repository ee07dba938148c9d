"""Listeners that bound what their clients can use."""

from cuminstack.listeners._limits import (
    BadOption,
    ConnectionOptions,
    MachineLimits,
    RequestLimits,
)
from cuminstack.listeners._listeners import Listeners

__all__ = (
    'BadOption',
    'ConnectionOptions',
    'Listeners',
    'MachineLimits',
    'RequestLimits',
)
