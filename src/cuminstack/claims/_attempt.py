"""State of one attempt of a claimant to claim one job."""

import enum
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.claims._messages import Prepare, Propose
from cuminstack.claims._tally import VoteTally
from cuminstack.claims._values import FAST, Ballot, Claim
from cuminstack.claims._view import ClaimView
from cuminstack.core import InstanceId, JobId, Send

#: Factor by which a delay grows with each retry.
_BACKOFF_FACTOR: Final = 2

#: Largest value of a byte, to scale a hash byte to a fraction.
_MAX_BYTE: Final = 255


@dataclass(frozen=True, slots=True)
class ClaimTimeouts:
    """Delays and timeouts of a claimant, in seconds.

    Args:
        resend_delay: Initial delay before an unanswered request is sent again.
        backoff: Initial maximum of the delay before the next ballot, when
            claimants compete.
        total: Time after which an attempt is given up.
    """

    resend_delay: float = 0.1
    backoff: float = 0.02
    total: float = 2


class Phase(enum.Enum):
    """Phase of the consensus protocol that an attempt is in."""

    propose = 'propose'
    prepare = 'prepare'


class Attempt:
    """Current request of an attempt, with its votes and timers."""

    def __init__(
        self,
        job: JobId,
        claim: Claim,
        view: ClaimView,
        *,
        timeouts: ClaimTimeouts,
        now: float,
    ) -> None:
        self.job = job
        self.claim = claim
        self.voters = view.voters(job)
        self.phase = Phase.propose
        self.ballot = FAST
        self.proposal = claim
        self.serial = 0
        self.retry_at: float | None = None
        self._groups = view.groups(job)
        self._view_number = view.number
        self._deadline = now + timeouts.total
        self._resend_delay = timeouts.resend_delay
        self._max_backoff = timeouts.backoff
        self._resend_at = now
        self.tally = VoteTally(self.voters, self._groups)

    def has_timed_out(self, *, now: float) -> bool:
        """Return whether the attempt has timed out."""
        return now >= self._deadline

    def is_resend_due(self, *, now: float) -> bool:
        """Return whether pending replicas should get the request again."""
        return now >= self._resend_at

    def propose(
        self,
        claim: Claim,
        *,
        serial: int,
        now: float,
    ) -> tuple[Send, ...]:
        """Ask all replicas to accept a claim at the current ballot."""
        self.phase = Phase.propose
        self.proposal = claim
        return self._start_round(serial, now)

    def prepare(
        self,
        ballot: Ballot,
        *,
        serial: int,
        now: float,
    ) -> tuple[Send, ...]:
        """Ask all replicas to promise the ballot."""
        self.phase = Phase.prepare
        self.ballot = ballot
        return self._start_round(serial, now)

    def resend(self, *, now: float) -> tuple[Send, ...]:
        """Resend the request to pending replicas, with exponential backoff."""
        self._resend_delay *= _BACKOFF_FACTOR
        self._resend_at = now + self._resend_delay
        return self._send_to(sorted(self.tally.pending))

    def back_off(self, *, now: float) -> None:
        """Schedule the next ballot after a delay that differs per claimant."""
        if self.retry_at is not None:
            return
        self.retry_at = now + self._max_backoff * self._jitter_fraction()
        self._max_backoff *= _BACKOFF_FACTOR

    def _jitter_fraction(self) -> float:
        """Return a number from 0 to 1, derived from the holder and serial.

        It differs between claimants, so that they don't retry in step.
        """
        seed = '/'.join((self.claim.holder, str(self.serial)))
        digest = hashlib.blake2b(seed.encode(), digest_size=1).digest()
        return int.from_bytes(digest) / _MAX_BYTE

    def _start_round(self, serial: int, now: float) -> tuple[Send, ...]:
        self.serial = serial
        self.retry_at = None
        self.tally = VoteTally(self.voters, self._groups)
        self._resend_at = now + self._resend_delay
        return self._send_to(self.voters)

    def _send_to(self, voters: Iterable[InstanceId]) -> tuple[Send, ...]:
        request = self._make_request()
        return tuple(Send(name, request) for name in voters)

    def _make_request(self) -> Propose | Prepare:
        if self.phase is Phase.prepare:
            return Prepare(
                job=self.job,
                serial=self.serial,
                number=self._view_number,
                voters=self.voters,
                ballot=self.ballot,
            )
        return Propose(
            job=self.job,
            serial=self.serial,
            number=self._view_number,
            voters=self.voters,
            ballot=self.ballot,
            claim=self.proposal,
        )
