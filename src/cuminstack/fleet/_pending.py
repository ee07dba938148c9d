"""A job that a caller of an entry waits for."""

from dataclasses import dataclass

from cuminstack.core import InstanceId
from cuminstack.fleet._messages import Submit
from cuminstack.pool import JobRequest, QueueTerms


@dataclass(slots=True)
class PendingJob:
    """A job, and what is known of its way to a dispatcher.

    Args:
        request: The job.
        terms: What the desired state says of its queue.
        arrived_at: When its caller submitted it.
        deadline: When its caller stops waiting.
        sent_to: The dispatcher that it was handed to last.
        sent_at: When that was.
        taken: Whether that one has said that it has the job.
        may_have_run: Whether another one may have started tasks of it.
        may_run_until: Until when those may be running.
        sent_term: Term of the dispatcher when it was handed over.
    """

    request: JobRequest
    terms: QueueTerms
    arrived_at: float
    deadline: float
    sent_to: InstanceId | None = None
    sent_at: float = 0
    taken: bool = False
    may_have_run: bool = False
    may_run_until: float = 0
    sent_term: int = 0

    @property
    def was_sent(self) -> bool:
        """Whether a dispatcher may have it."""
        return self.sent_to is not None

    def hand_over(
        self,
        *,
        stamp: float,
        from_rival: bool,
        now: float,
    ) -> Submit:
        """Make the message that hands it to a dispatcher.

        Args:
            stamp: Newest stamp of that one.
            from_rival: Whether the dispatcher before ran beside that one.
            now: The present time.
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
