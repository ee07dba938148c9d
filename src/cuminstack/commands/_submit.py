"""Submission of a sheet."""

import enum
from dataclasses import dataclass
from typing import Final

import msgspec

from cuminstack.client import MalformedReply, OperatorClient

_CSV: Final = 'text/csv; charset=utf-8'


class SheetOutcome(enum.Enum):
    """How a submission was accepted; a refusal is a problem."""

    in_force = 'in_force'
    #: The same content was accepted before; an answer may have been lost.
    same_again = 'same_again'


@dataclass(frozen=True, slots=True)
class SheetReply:
    """200 to `PUT /v1/sheet`.

    Args:
        outcome: How it was accepted.
        version: Version of the sheet.
        digest: Digest of its content.
    """

    outcome: SheetOutcome
    version: int
    digest: str


async def submit_sheet(client: OperatorClient, sheet: bytes) -> SheetReply:
    """Submit a sheet at the first instance that can take it.

    Repeating it elsewhere after an answer was lost does no harm: a sheet
    that is in force already is the same again.

    Raises:
        ClientError: It was refused, or no instance could take it.
    """
    instance, body = await client.fetch(
        'PUT',
        '/v1/sheet',
        body=sheet,
        content_type=_CSV,
    )
    try:
        return msgspec.json.decode(body, type=SheetReply)
    except msgspec.DecodeError as error:
        raise MalformedReply(instance, str(error)) from error
