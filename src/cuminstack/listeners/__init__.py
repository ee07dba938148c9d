"""Listeners that bound what their clients can use."""

from cuminstack.listeners._connections import Cause, body_cost
from cuminstack.listeners._limits import (
    CALLERS,
    ENDPOINTS,
    LINKS,
    REQUESTS,
    SIDE,
    BadOption,
    ConnectionOptions,
    ListenerShare,
    MachineLimits,
    RequestLimits,
)
from cuminstack.listeners._listener import Listener, accept
from cuminstack.listeners._listeners import Listeners
from cuminstack.listeners._machine import (
    physical_memory_mb,
    process_descriptors,
)
from cuminstack.listeners._refusals import RefusalBody, forget_frames

__all__ = (
    'CALLERS',
    'ENDPOINTS',
    'LINKS',
    'REQUESTS',
    'SIDE',
    'BadOption',
    'Cause',
    'ConnectionOptions',
    'Listener',
    'ListenerShare',
    'Listeners',
    'MachineLimits',
    'RefusalBody',
    'RequestLimits',
    'accept',
    'body_cost',
    'forget_frames',
    'physical_memory_mb',
    'process_descriptors',
)
