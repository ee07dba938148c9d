"""The command line of a process of stand-in endpoints."""

import zlib
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import orjson

from bench._children import program
from bench._deployment_options import DeploymentOptions


def endpoint_command(
    names: Sequence[str],
    zone: str,
    *,
    options: DeploymentOptions,
    announce_to: Sequence[str],
    folder: Path,
    mode: Mapping[str, Any],
) -> list[str]:
    """Give the command that runs endpoints of a zone in one process.

    Args:
        names: The endpoints.
        zone: Their availability zone.
        options: Of the deployment.
        announce_to: Base URLs of the instances of the zone.
        folder: Where their start logs go.
        mode: How they behave; see `bench.endpoint`.
    """
    arguments = {
        'endpoint': ','.join(names),
        'zone': zone,
        'serves': options.serves,
        'slots': options.slots,
        'announce-to': ','.join(announce_to),
        'seed': options.seed + zlib.crc32(names[0].encode()),
        'mode': orjson.dumps(mode).decode(),
        'linger-ms': options.linger_ms,
        'start-logs': folder,
    }
    flags = [f'--{flag}={given}' for flag, given in arguments.items()]
    return [program('python'), '-m', 'bench.endpoint', *flags]
