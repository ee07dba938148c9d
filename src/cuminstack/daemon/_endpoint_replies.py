"""What is sent to endpoints about tasks, and what they answer."""

from dataclasses import dataclass
from http import HTTPStatus
from typing import Final, TypeVar

import msgspec

from cuminstack.jobs import AttemptOutcome

NOT_STARTED_TYPE: Final = 'urn:cuminstack:problem:not-started'

_Body = TypeVar('_Body')


@dataclass(frozen=True, slots=True)
class StartBody:
    """Body of a start."""

    member: str
    service: str
    payload: msgspec.Raw
    start_within_ms: int


@dataclass(frozen=True, slots=True)
class AnswerBody:
    """What an endpoint answers to a start, with the task it is about."""

    task: str
    answer: msgspec.Raw


@dataclass(frozen=True, slots=True)
class ProblemBody:
    """The part of an endpoint's problem that matters here."""

    type: str = ''
    task: str = ''


@dataclass(frozen=True, slots=True)
class StateBody:
    """What an endpoint answers to a question about a task.

    `state` is one of `running`, `answered`, `failed` and `absent`.
    """

    state: str


@dataclass(frozen=True, slots=True)
class RecoveredBody:
    """The part of such an answer that only an answered task has.

    The decoder reads raw text only into fields without a default.
    """

    answer: msgspec.Raw


@dataclass(frozen=True, slots=True)
class StopBody:
    """Asks an endpoint to stop tasks, or only those that did not start."""

    tasks: tuple[str, ...]
    unstarted_only: bool = False


@dataclass(frozen=True, slots=True)
class StoppedBody:
    """What an endpoint answers to that.

    Args:
        stopped: Tasks that ran, and were stopped.
        never_started: Tasks that did not start, and never will.
    """

    stopped: tuple[str, ...] = ()
    never_started: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended.

    Args:
        end: Its end.
        answer: JSON text.
        recovered: Whether it was asked for on another connection.
        stale: Whether the first response was that of another task.
    """

    end: AttemptOutcome
    answer: bytes = b''
    recovered: bool = False
    stale: bool = False


class StaleResponse(Exception):
    """A response on a reused connection belongs to an earlier request."""


class BadStateReply(Exception):
    """An endpoint's answer to a question about a task can't be read."""


@dataclass(frozen=True, slots=True)
class AttemptState:
    """What an endpoint says of an attempt.

    Args:
        is_absent: Whether the endpoint has not seen it.
        ended: How it ended; none while it runs.
    """

    is_absent: bool
    ended: AttemptEnd | None = None


_answer_decoder = msgspec.json.Decoder(AnswerBody)
_problem_decoder = msgspec.json.Decoder(ProblemBody)
_state_decoder = msgspec.json.Decoder(StateBody)
_stopped_decoder = msgspec.json.Decoder(StoppedBody)
_recovered_decoder = msgspec.json.Decoder(RecoveredBody)


def judge(task: str, status: int, raw: bytes | None) -> AttemptEnd:
    """Tell how an attempt ended by the response to its start.

    Args:
        task: Its id.
        status: HTTP status code.
        raw: The body; none if it was larger than an answer may be.

    Raises:
        StaleResponse: The response is that of another task.
    """
    if raw is None:
        return AttemptEnd(AttemptOutcome.failed)
    if status == HTTPStatus.OK:
        return _judge_answer(task, raw)
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return _judge_refusal(task, raw)
    return AttemptEnd(AttemptOutcome.failed)


def _judge_answer(task: str, raw: bytes) -> AttemptEnd:
    try:
        body = _answer_decoder.decode(raw)
    except msgspec.DecodeError:
        return AttemptEnd(AttemptOutcome.failed)
    if body.task != task:
        raise StaleResponse
    return AttemptEnd(AttemptOutcome.answered, bytes(body.answer))


def _judge_refusal(task: str, raw: bytes) -> AttemptEnd:
    try:
        problem = _problem_decoder.decode(raw)
    except msgspec.DecodeError:
        return AttemptEnd(AttemptOutcome.failed)
    if problem.type != NOT_STARTED_TYPE:
        return AttemptEnd(AttemptOutcome.failed)
    if problem.task != task:
        raise StaleResponse
    return AttemptEnd(AttemptOutcome.not_started)


def read_state(raw: bytes | None) -> AttemptState:
    """Read what an endpoint says of a task.

    Raises:
        BadStateReply: It can't be read.
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


def read_stopped(raw: bytes | None) -> StoppedBody:
    """Read which tasks an endpoint stopped, or will never start.

    Raises:
        BadStateReply: It can't be read.
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
