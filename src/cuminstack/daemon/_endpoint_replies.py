"""Bodies of the requests to endpoints, and parsers of their replies."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Final, TypeVar

import msgspec

from cuminstack.jobs import AttemptOutcome

NOT_STARTED_TYPE: Final = 'urn:cuminstack:problem:not-started'

_Body = TypeVar('_Body')


@dataclass(frozen=True, slots=True)
class StartBody:
    """Body of a request to start a task."""

    member: str
    service: str
    payload: msgspec.Raw
    start_within_ms: int


@dataclass(frozen=True, slots=True)
class AnswerBody:
    """Successful response to a start, with the id of its task."""

    task: str
    answer: msgspec.Raw


@dataclass(frozen=True, slots=True)
class ProblemBody:
    """Fields that are read from a problem document of an endpoint."""

    type: str = ''
    task: str = ''


@dataclass(frozen=True, slots=True)
class StateBody:
    """Response to a query for the state of a task.

    `state` is one of `running`, `answered`, `failed` and `absent`.
    """

    state: str


@dataclass(frozen=True, slots=True)
class RecoveredBody:
    """Field of a state response that is present only for an answered task.

    It is a class of its own since the decoder supports `msgspec.Raw` only in
    fields without a default.
    """

    answer: msgspec.Raw


@dataclass(frozen=True, slots=True)
class StopBody:
    """Body of a request to stop tasks, or only those not started yet."""

    tasks: tuple[str, ...]
    unstarted_only: bool = False


@dataclass(frozen=True, slots=True)
class StoppedBody:
    """Response to a request to stop tasks.

    Args:
        stopped: Tasks that were running and have been stopped.
        never_started: Tasks that have not started and never will.
    """

    stopped: tuple[str, ...] = ()
    never_started: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """Result of an attempt to run a task.

    Args:
        end: Outcome of the attempt.
        answer: Answer of the task as JSON text, empty if there is none.
        recovered: Whether it was obtained over another connection.
        stale: Whether the first response belonged to another task.
    """

    end: AttemptOutcome
    answer: bytes = b''
    recovered: bool = False
    stale: bool = False


class StaleResponse(Exception):
    """A response on a reused connection belongs to an earlier request."""


class BadStateReply(Exception):
    """A reply about the state of tasks can't be decoded."""


@dataclass(frozen=True, slots=True)
class AttemptState:
    """State of an attempt as reported by its endpoint.

    Args:
        is_absent: Whether the attempt is unknown to the endpoint.
        ended: Result of the attempt, None while it runs or if absent.
    """

    is_absent: bool
    ended: AttemptEnd | None = None


_answer_decoder = msgspec.json.Decoder(AnswerBody)
_problem_decoder = msgspec.json.Decoder(ProblemBody)
_state_decoder = msgspec.json.Decoder(StateBody)
_stopped_decoder = msgspec.json.Decoder(StoppedBody)
_recovered_decoder = msgspec.json.Decoder(RecoveredBody)


def classify_response(task: str, status: int, raw: bytes | None) -> AttemptEnd:
    """Derive the result of an attempt from the response to its start.

    Args:
        task: Id of the task.
        status: HTTP status code.
        raw: Response body, None if it exceeded the size limit of answers.

    Returns:
        The result of the attempt.

    Raises:
        StaleResponse: The response belongs to another task.
    """
    if raw is None:
        return AttemptEnd(AttemptOutcome.failed)
    if status == HTTPStatus.OK:
        return _classify_answer(task, raw)
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return _classify_refusal(task, raw)
    return AttemptEnd(AttemptOutcome.failed)


def _classify_answer(task: str, raw: bytes) -> AttemptEnd:
    try:
        body = _answer_decoder.decode(raw)
    except msgspec.DecodeError:
        return AttemptEnd(AttemptOutcome.failed)
    if body.task != task:
        raise StaleResponse
    return AttemptEnd(AttemptOutcome.answered, bytes(body.answer))


def _classify_refusal(task: str, raw: bytes) -> AttemptEnd:
    try:
        problem = _problem_decoder.decode(raw)
    except msgspec.DecodeError:
        return AttemptEnd(AttemptOutcome.failed)
    if problem.type != NOT_STARTED_TYPE:
        return AttemptEnd(AttemptOutcome.failed)
    if problem.task != task:
        raise StaleResponse
    return AttemptEnd(AttemptOutcome.not_started)


def parse_state(raw: bytes | None) -> AttemptState:
    """Parse a response to a query for the state of a task.

    Args:
        raw: Response body, None if it exceeded the size limit of answers.

    Returns:
        The state of the attempt; an unknown state counts as absent.

    Raises:
        BadStateReply: The body can't be decoded.
    """
    state = _decode(_state_decoder, raw).state
    if state == 'running':
        return AttemptState(is_absent=False)
    if state == 'answered':
        answer = bytes(_decode(_recovered_decoder, raw).answer)
        ended = AttemptEnd(AttemptOutcome.answered, answer, recovered=True)
        return AttemptState(is_absent=False, ended=ended)
    if state == 'failed':
        ended = AttemptEnd(AttemptOutcome.failed, recovered=True)
        return AttemptState(is_absent=False, ended=ended)
    return AttemptState(is_absent=True)


def parse_stopped(raw: bytes | None) -> StoppedBody:
    """Parse a response to a request to stop tasks.

    Args:
        raw: Response body, None if it exceeded the size limit of answers.

    Returns:
        The tasks that were stopped, and those that will never start.

    Raises:
        BadStateReply: The body can't be decoded.
    """
    return _decode(_stopped_decoder, raw)


def _decode(
    decoder: msgspec.json.Decoder[_Body],
    raw: bytes | None,
) -> _Body:
    try:
        return decoder.decode(raw or b'')
    except msgspec.DecodeError as error:
        raise BadStateReply from error
