"""Bodies of responses to callers, endpoints and operators."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class JobStateBody:
    """State of a job that has not ended."""

    key: str
    outcome: str


@dataclass(frozen=True, slots=True)
class AnnounceBody:
    """Address and interval for the next announcement of an endpoint."""

    announce_to: str
    announce_in_ms: int
    lease_ms: int


@dataclass(frozen=True, slots=True)
class ReadyBody:
    """Whether this instance accepts new jobs."""

    ready: bool
    instance: str
