"""Errors of requests to the operator API of an instance."""

from dataclasses import dataclass

from cuminstack.sheet import SheetFault


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem document (RFC 9457) returned by an instance.

    Args:
        type: Problem type, as a URN.
        title: Short human-readable summary of the problem type.
        status: HTTP status code.
        detail: Explanation of this occurrence.
        not_run: Whether the request is known to have had no effect.
        field: Name of the invalid field; empty if no field is at fault.
        faults: Validation errors of a submitted sheet.
    """

    type: str = 'about:blank'
    title: str = ''
    status: int = 0
    detail: str = ''
    not_run: bool = False
    field: str = ''
    faults: tuple[SheetFault, ...] = ()


@dataclass(frozen=True, slots=True)
class Attempt:
    """A failed attempt to send a request to one instance.

    Args:
        instance: Base URL of the instance.
        error: Class name of the error.
        detail: Message of the error.
    """

    instance: str
    error: str
    detail: str = ''


class ClientError(Exception):
    """Base class of the errors of a request to the operator API."""


@dataclass(frozen=True, slots=True)
class BadAddress(ClientError):
    """The address of an instance is not `http://ip:port` or `ip:port`."""

    address: str

    def __str__(self) -> str:
        return (
            f'invalid instance address, expected http://ip:port: {self.address}'
        )


@dataclass(frozen=True, slots=True)
class Unreachable(ClientError):
    """No instance could process the request.

    Each of them was unreachable or answered 503.  The request may have taken
    effect: a response can be lost after an instance has processed the request.

    Args:
        attempts: The failed attempts, in the order in which they were made.
    """

    attempts: tuple[Attempt, ...]

    def __str__(self) -> str:
        return '\n'.join(
            f'{attempt.instance}: {attempt.error} {attempt.detail}'.rstrip()
            for attempt in self.attempts
        )


@dataclass(frozen=True, slots=True)
class RequestRefused(ClientError):
    """An instance answered with a problem document.

    Args:
        instance: Base URL of the instance.
        problem: The problem document.
    """

    instance: str
    problem: Problem

    def __str__(self) -> str:
        problem = self.problem
        description = problem.detail or problem.title
        return f'{self.instance}: {problem.status} {description}'


@dataclass(frozen=True, slots=True)
class MalformedReply(ClientError):
    """A response does not conform to the protocol.

    The instance may run another version of cuminstack.

    Args:
        instance: Base URL of the instance, or `histograms` if those of
            several instances can't be merged.
        reason: Why the response is invalid.
    """

    instance: str
    reason: str

    def __str__(self) -> str:
        return f'{self.instance}: malformed response: {self.reason}'
