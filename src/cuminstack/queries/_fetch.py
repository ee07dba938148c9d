"""Queries that are sent to instances."""

from dataclasses import dataclass

from cuminstack.client import ClientError, MalformedReply, OperatorClient
from cuminstack.metrics import BadHistogram, MetricsSnapshot, merge_snapshots
from cuminstack.queries._shapes import EndpointsView, MembersView, StatusView


@dataclass(frozen=True, slots=True)
class HistogramsView:
    """Histograms and counts, summed over instances.

    Args:
        merged: Sum over the instances that answered.
        failures: Error of each instance that did not answer.
    """

    merged: MetricsSnapshot
    failures: tuple[ClientError, ...] = ()


async def fetch_status(client: OperatorClient) -> StatusView:
    """Fetch the status of the first instance that answers.

    Raises:
        ClientError: The request was refused, or no instance gave a valid
            response.
    """
    return await client.get('/v1/status', StatusView)


async def fetch_members(client: OperatorClient) -> MembersView:
    """Fetch the members and their resource usage.

    Raises:
        ClientError: The request was refused, or no instance gave a valid
            response.
    """
    return await client.get('/v1/members', MembersView)


async def fetch_endpoints(client: OperatorClient) -> EndpointsView:
    """Fetch the endpoints that an instance knows.

    Raises:
        ClientError: The request was refused, or no instance gave a valid
            response.
    """
    return await client.get('/v1/endpoints', EndpointsView)


async def fetch_sheet(client: OperatorClient) -> bytes:
    """Fetch the sheet in force, as CSV.

    Raises:
        ClientError: The request was refused, or no instance gave a valid
            response.
    """
    _, body = await client.fetch('GET', '/v1/sheet')
    return body


async def fetch_file(client: OperatorClient, path: str) -> str:
    """Fetch the version in force of a configuration file.

    Args:
        client: Client of the instances.
        path: Path at which they serve it.

    Raises:
        ClientError: The request was refused, or no instance gave a valid
            response.
    """
    instance, body = await client.fetch('GET', path)
    try:
        return body.decode()
    except UnicodeDecodeError as error:
        raise MalformedReply(instance, str(error)) from error


async def fetch_histograms(client: OperatorClient) -> HistogramsView:
    """Fetch histograms and counts from all instances and sum them.

    Returns:
        The sum, and the errors of the instances that did not answer.

    Raises:
        ClientError: No instance gave a valid response, or the histograms
            can't be merged.
    """
    result = await client.get_each('/v1/histograms', MetricsSnapshot)
    if not result.replies:
        raise result.failures[0]
    try:
        merged = merge_snapshots(result.replies)
    except BadHistogram as error:
        raise MalformedReply('histograms', str(error)) from error
    return HistogramsView(merged, result.failures)
