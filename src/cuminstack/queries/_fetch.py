"""The questions themselves."""

from dataclasses import dataclass

from cuminstack.client import ClientError, MalformedReply, OperatorClient
from cuminstack.metrics import BadHistogram, MetricsSnapshot, merge_snapshots
from cuminstack.queries._shapes import EndpointsView, MembersView, StatusView


@dataclass(frozen=True, slots=True)
class HistogramsView:
    """Histograms and counts, added up over instances.

    Args:
        merged: The sum over those that answered.
        failures: Why each of the others did not.
    """

    merged: MetricsSnapshot
    failures: tuple[ClientError, ...] = ()


async def fetch_status(client: OperatorClient) -> StatusView:
    """Ask how an instance does.

    Raises:
        ClientError: None answered.
    """
    return await client.get('/v1/status', StatusView)


async def fetch_members(client: OperatorClient) -> MembersView:
    """Ask for the members and what they use.

    Raises:
        ClientError: None answered.
    """
    return await client.get('/v1/members', MembersView)


async def fetch_endpoints(client: OperatorClient) -> EndpointsView:
    """Ask for the endpoints.

    Raises:
        ClientError: None answered.
    """
    return await client.get('/v1/endpoints', EndpointsView)


async def fetch_sheet(client: OperatorClient) -> bytes:
    """Ask for the sheet in force, as CSV.

    Raises:
        ClientError: None answered.
    """
    _, body = await client.fetch('GET', '/v1/sheet')
    return body


async def fetch_histograms(client: OperatorClient) -> HistogramsView:
    """Ask all instances for their histograms and counts.

    Raises:
        ClientError: None answered.
    """
    found = await client.get_each('/v1/histograms', MetricsSnapshot)
    if not found.replies:
        raise found.failures[0]
    try:
        merged = merge_snapshots(found.replies)
    except BadHistogram as error:
        raise MalformedReply('histograms', str(error)) from error
    return HistogramsView(merged, found.failures)
