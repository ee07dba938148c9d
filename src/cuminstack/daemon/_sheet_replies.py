"""Builds HTTP responses to submissions of sheets."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

import msgspec
from aiohttp import web

from cuminstack.commands import SheetOutcome, SheetReply
from cuminstack.daemon._problems import (
    PROBLEM_TYPE,
    Problem,
    json_response,
    make_problem,
    problem_response,
)
from cuminstack.register import (
    Conflict,
    InForce,
    NoQuorum,
    Outcome,
    SameAgain,
    Stale,
)
from cuminstack.sheet import SheetFault, SheetFaults


@dataclass(frozen=True, slots=True)
class SheetFaultsProblem:
    """A problem document that lists the faults of a sheet."""

    type: str
    title: str
    status: int
    detail: str
    not_run: bool
    faults: tuple[SheetFault, ...]


def faults_response(found: SheetFaults) -> web.Response:
    """Build a response that lists every fault of a sheet."""
    problem = make_problem('sheet-faulty', HTTPStatus.UNPROCESSABLE_ENTITY)
    body = SheetFaultsProblem(
        problem.type,
        problem.title,
        problem.status,
        f'{len(found.faults)} faults',
        problem.not_run,
        found.faults,
    )
    return web.Response(
        body=msgspec.json.encode(body),
        status=problem.status,
        content_type=PROBLEM_TYPE,
    )


def sheet_response(outcome: Outcome) -> web.Response:
    """Build the response for the outcome of a submission."""
    return _response_builders[type(outcome)](outcome)


def _in_force(outcome: InForce) -> web.Response:
    digest = outcome.digest.hex()
    reply = SheetReply(SheetOutcome.in_force, outcome.version, digest)
    return json_response(reply)


def _same_again(outcome: SameAgain) -> web.Response:
    digest = outcome.digest.hex()
    reply = SheetReply(SheetOutcome.same_again, outcome.version, digest)
    return json_response(reply)


def _conflict(outcome: Conflict) -> web.Response:
    detail = f'version {outcome.version} is taken; {outcome.in_force} in force'
    return problem_response(_conflict_problem('sheet-conflict', detail))


def _stale(outcome: Stale) -> web.Response:
    detail = f'based on {outcome.based_on}; {outcome.in_force} in force'
    return problem_response(_conflict_problem('sheet-stale', detail))


def _no_quorum(outcome: NoQuorum) -> web.Response:
    problem = make_problem(
        'no-quorum',
        HTTPStatus.SERVICE_UNAVAILABLE,
        not_run=not outcome.maybe_accepted,
    )
    return problem_response(problem, retry_after=_RETRY_AFTER_SECONDS)


def _conflict_problem(name: str, detail: str) -> Problem:
    return make_problem(name, HTTPStatus.CONFLICT, detail=detail)


#: Value of `Retry-After` for a submission without quorum, in seconds.
_RETRY_AFTER_SECONDS: Final = 1.0

_response_builders: Final = MappingProxyType[
    type[Outcome], Callable[[Any], web.Response]
](
    {
        InForce: _in_force,
        SameAgain: _same_again,
        Conflict: _conflict,
        Stale: _stale,
        NoQuorum: _no_quorum,
    },
)
