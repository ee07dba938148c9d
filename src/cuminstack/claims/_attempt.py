"""One attempt of a claimant to claim one job."""

import enum
import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

from cuminstack.claims._messages import Prepare, Propose
from cuminstack.claims._tally import Tally
from cuminstack.claims._values import FAST, Ballot, Claim
from cuminstack.claims._view import ClaimView
from cuminstack.core import InstanceId, JobId, Send

#: Factor by which each wait is longer than the one before.
_GROWTH: Final = 2

#: Largest value of one byte, to make a share of a wait of it.
_BYTE_MAX: Final = 255


@dataclass(frozen=True, slots=True)
class Patience:
    """Waits of a claimant, in seconds.

    Args:
        resend: Before a request is sent again, at first.
        race: Longest wait before the next ballot in a race, at first.
        total: After which an attempt is given up.
    """

    resend: float = 0.1
    race: float = 0.02
    total: float = 2


class Phase(enum.Enum):
    """What an attempt is asking for."""

    propose = 'propose'
    prepare = 'prepare'


class Attempt:
    """The request under way, its votes and its waits."""

    def __init__(
        self,
        job: JobId,
        claim: Claim,
        view: ClaimView,
        *,
        patience: Patience,
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
        self._number = view.number
        self._deadline = now + patience.total
        self._wait = patience.resend
        self._pause = patience.race
        self._resend_at = now
        self.tally = Tally(self.voters, self._groups)

    def is_over(self, *, now: float) -> bool:
        """Tell whether the attempt must be given up."""
        return now >= self._deadline

    def is_due(self, *, now: float) -> bool:
        """Tell whether silent replicas should be asked again."""
        return now >= self._resend_at

    def propose(
        self,
        claim: Claim,
        *,
        serial: int,
        now: float,
    ) -> tuple[Send, ...]:
        """Ask all replicas to accept a claim at the present ballot."""
        self.phase = Phase.propose
        self.proposal = claim
        return self._open(serial, now)

    def prepare(
        self,
        ballot: Ballot,
        *,
        serial: int,
        now: float,
    ) -> tuple[Send, ...]:
        """Ask all replicas for their promises."""
        self.phase = Phase.prepare
        self.ballot = ballot
        return self._open(serial, now)

    def resend(self, *, now: float) -> tuple[Send, ...]:
        """Ask the silent replicas again, after a longer wait each time."""
        self._wait *= _GROWTH
        self._resend_at = now + self._wait
        return self._ask(sorted(self.tally.silent))

    def back_off(self, *, now: float) -> None:
        """Wait before the next ballot, not as long as other claimants do."""
        if self.retry_at is not None:
            return
        self.retry_at = now + self._pause * self._share()
        self._pause *= _GROWTH

    def _share(self) -> float:
        """Give a number from 0 to 1 that differs between claimants."""
        seed = '/'.join((self.claim.holder, str(self.serial)))
        digest = hashlib.blake2b(seed.encode(), digest_size=1).digest()
        return int.from_bytes(digest) / _BYTE_MAX

    def _open(self, serial: int, now: float) -> tuple[Send, ...]:
        self.serial = serial
        self.retry_at = None
        self.tally = Tally(self.voters, self._groups)
        self._resend_at = now + self._wait
        return self._ask(self.voters)

    def _ask(self, voters: Iterable[InstanceId]) -> tuple[Send, ...]:
        request = self._request()
        return tuple(Send(name, request) for name in voters)

    def _request(self) -> Propose | Prepare:
        if self.phase is Phase.prepare:
            return Prepare(
                job=self.job,
                serial=self.serial,
                number=self._number,
                voters=self.voters,
                ballot=self.ballot,
            )
        return Propose(
            job=self.job,
            serial=self.serial,
            number=self._number,
            voters=self.voters,
            ballot=self.ballot,
            claim=self.proposal,
        )
