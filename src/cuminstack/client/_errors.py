"""How a request to an instance can go wrong."""

from dataclasses import dataclass

from cuminstack.sheet import SheetFault


@dataclass(frozen=True, slots=True)
class Problem:
    """A problem document (RFC 9457) of an instance.

    Args:
        type: Its name, as an URN.
        title: Its name for people.
        status: HTTP status code.
        detail: What happened this time.
        not_run: Whether provably nothing was done.
        field: The field at fault, if one is.
        faults: Faults of a sheet.
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
    """An instance that gave no response.

    Args:
        instance: Its base URL.
        error: Type of the transport error.
        detail: What the error says.
    """

    instance: str
    error: str
    detail: str = ''


class ClientError(Exception):
    """A request brought no result."""


@dataclass(frozen=True, slots=True)
class BadAddress(ClientError):
    """The address of an instance is no `http://ip:port`."""

    address: str

    def __str__(self) -> str:
        return f'not an address like http://127.0.0.1:8002: {self.address}'


@dataclass(frozen=True, slots=True)
class Unreachable(ClientError):
    """No instance gave a response; what was sent may have been done."""

    attempts: tuple[Attempt, ...]

    def __str__(self) -> str:
        return '\n'.join(
            f'{attempt.instance}: {attempt.error} {attempt.detail}'.rstrip()
            for attempt in self.attempts
        )


@dataclass(frozen=True, slots=True)
class RequestRefused(ClientError):
    """An instance answered with a problem."""

    instance: str
    problem: Problem

    def __str__(self) -> str:
        problem = self.problem
        told = problem.detail or problem.title
        return f'{self.instance}: {problem.status} {told}'


@dataclass(frozen=True, slots=True)
class MalformedReply(ClientError):
    """A response is not what the protocol says; versions may differ."""

    instance: str
    reason: str

    def __str__(self) -> str:
        return f'{self.instance}: malformed response: {self.reason}'
