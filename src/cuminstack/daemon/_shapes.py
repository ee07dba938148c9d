"""Bodies of responses to callers and endpoints."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class JobStateBody:
    """A job that has not ended."""

    key: str
    outcome: str


@dataclass(frozen=True, slots=True)
class AnnounceBody:
    """Where and when an endpoint announces itself next."""

    announce_to: str
    announce_in_ms: int
    lease_ms: int


@dataclass(frozen=True, slots=True)
class ReadyBody:
    """Whether this instance takes new jobs."""

    ready: bool
    instance: str
