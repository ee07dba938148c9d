"""State of a job that a caller of an entry waits for."""

from dataclasses import dataclass

from cuminstack.core import InstanceId
from cuminstack.fleet._messages import Submit
from cuminstack.pool import JobRequest, QueueTerms, latest_useful_start


@dataclass(slots=True)
class PendingJob:
    """A job and the state of its submission to a dispatcher.

    All times are in seconds.

    Args:
        request: The job.
        terms: Terms of its queue in the desired state.
        arrived_at: When its caller submitted it.
        deadline: When its caller stops waiting.
        sent_to: The dispatcher that it was last sent to.
        sent_at: When it was last sent.
        attempts: How often it was sent to that dispatcher.
        taken: Whether that dispatcher has confirmed the job.
        may_have_run: Whether an earlier dispatcher may have started tasks of
            it.
        may_run_until: Time until which such tasks may still be running.
        sent_term: Term of the dispatcher when the job was last sent.
    """

    request: JobRequest
    terms: QueueTerms
    arrived_at: float
    deadline: float
    sent_to: InstanceId | None = None
    sent_at: float = 0
    attempts: int = 0
    taken: bool = False
    may_have_run: bool = False
    may_run_until: float = 0
    sent_term: int = 0

    @property
    def was_sent(self) -> bool:
        """Whether the job was sent to a dispatcher."""
        return self.sent_to is not None

    def can_be_useful(self, *, now: float) -> bool:
        """Return whether the job can be useful if it starts now."""
        return now <= latest_useful_start(
            self.request,
            self.terms,
            arrived_at=self.arrived_at,
            deadline=self.deadline,
        )

    def to_submit(
        self,
        *,
        stamp: float,
        from_rival: bool,
        now: float,
    ) -> Submit:
        """Return the message that submits the job to a dispatcher.

        Args:
            stamp: Latest stamp that came from that dispatcher, in seconds.
            from_rival: Whether the previous dispatcher ran at the same time
                as that one.
            now: The present time in seconds.
        """
        return Submit(
            request=self.request,
            terms=self.terms,
            waited=now - self.arrived_at,
            remaining=self.deadline - now,
            stamp=stamp,
            held=max(0, self.may_run_until - now),
            from_rival=from_rival,
            resumed=self.may_have_run,
        )
