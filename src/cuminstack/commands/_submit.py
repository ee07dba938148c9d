"""Submission of a sheet to the operator API."""

import enum
from dataclasses import dataclass
from typing import Final

import msgspec

from cuminstack.client import MalformedReply, OperatorClient

_CONTENT_TYPE: Final = 'text/csv; charset=utf-8'


class SheetOutcome(enum.Enum):
    """Result of an accepted submission; a refusal is a problem document."""

    #: The submitted sheet is now in force.
    in_force = 'in_force'
    #: The same content was accepted before, for instance by a submission
    #: whose response was lost.
    same_again = 'same_again'


@dataclass(frozen=True, slots=True)
class SheetReply:
    """JSON body of the 200 response to `PUT /v1/sheet`.

    Args:
        outcome: Whether the sheet is new or was in force already.
        version: Version of the sheet.
        digest: Digest of the content of the sheet.
    """

    outcome: SheetOutcome
    version: int
    digest: str


async def submit_sheet(client: OperatorClient, sheet: bytes) -> SheetReply:
    """Submit a sheet to the first instance that can process it.

    A submission is idempotent, so it is retried at another instance after a
    lost response: a sheet that is in force already is accepted with the
    outcome `same_again`.

    Args:
        client: Client of the operator API.
        sheet: Content of the CSV file.

    Returns:
        The response of the instance that accepted the sheet.

    Raises:
        ClientError: The sheet was refused, or no instance could process it.
    """
    instance, body = await client.fetch(
        'PUT',
        '/v1/sheet',
        body=sheet,
        content_type=_CONTENT_TYPE,
    )
    try:
        return msgspec.json.decode(body, type=SheetReply)
    except msgspec.DecodeError as error:
        raise MalformedReply(instance, str(error)) from error
