"""An HTTP client of the operators' interface, of one or several instances."""

from cuminstack.client._client import OperatorClient, Partial
from cuminstack.client._errors import (
    Attempt,
    BadAddress,
    ClientError,
    MalformedReply,
    Problem,
    RequestRefused,
    Unreachable,
)

__all__ = (
    'Attempt',
    'BadAddress',
    'ClientError',
    'MalformedReply',
    'OperatorClient',
    'Partial',
    'Problem',
    'RequestRefused',
    'Unreachable',
)
