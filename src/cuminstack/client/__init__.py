"""HTTP client for the operator API of one or more instances."""

from cuminstack.client._client import OperatorClient, PartialResult
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
    'PartialResult',
    'Problem',
    'RequestRefused',
    'Unreachable',
)
