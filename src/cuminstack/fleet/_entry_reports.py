"""What entries report of the dispatchers that they follow and hear."""

from collections import Counter
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from typing import Final

from cuminstack.core import InstanceId
from cuminstack.fleet._messages import HeardDispatcher

#: Seconds for which an entry's report of its dispatcher is valid; entries
#: report twice in that time.
REPORT_SECONDS: Final = 1.0
#: Seconds for which an entry that reports counts as in touch.  It reports twice
#: a second if it follows another dispatcher.
_IN_TOUCH_SECONDS: Final = 0.6


@dataclass(frozen=True, slots=True)
class _Report:
    leader: InstanceId | None
    heard: tuple[HeardDispatcher, ...]
    received_at: float


class EntryReports:
    """The latest report of each entry.

    Args:
        own: The instance that receives the reports.
    """

    def __init__(self, own: InstanceId) -> None:
        self._own = own
        self._reports: dict[InstanceId, _Report] = {}
        #: Whether entries that follow deputies count as own followers.
        self.relieves_deputies = False

    def record(
        self,
        entry: InstanceId,
        leader: InstanceId | None,
        heard: tuple[HeardDispatcher, ...],
        *,
        now: float,
    ) -> None:
        """Record whom an entry follows, and which others it hears."""
        self._reports[entry] = _Report(leader, heard, now)

    def count(self, *, now: float) -> int:
        """Return the number of entries whose report is valid."""
        return sum(1 for _ in self._recent(now, REPORT_SECONDS))

    def count_in_touch(self, *, now: float) -> int:
        """Return the number of entries in touch, whomever they follow."""
        return sum(1 for _ in self._recent(now, _IN_TOUCH_SECONDS))

    def has_followers(self, *, now: float) -> bool:
        """Return whether an entry follows this instance."""
        return any(
            report.leader == self._own
            for report in self._recent(now, REPORT_SECONDS)
        )

    def most_follow_another(self, *, now: float) -> bool:
        """Return whether most entries follow another dispatcher.

        Entries that follow none count for this instance, and so do those that
        follow a deputy if this instance relieves deputies.
        """
        others = [
            self._is_another(report.leader)
            for report in self._recent(now, REPORT_SECONDS)
        ]
        return 2 * sum(others) > len(others)

    def most_hear_better(
        self,
        *,
        term: int,
        reach: int,
        live: Collection[InstanceId],
        now: float,
    ) -> bool:
        """Return whether most own entries hear a better dispatcher.

        Own entries are those that don't follow another dispatcher.  A better
        one leads in a later term, so that endpoints obey it, and is in touch
        with more instances.

        Args:
            term: Term in which this instance leads; 0 if it doesn't lead.
            reach: Number of instances that this one is in touch with.
            live: Dispatchers in touch, which are left out.
            now: The present time in seconds.
        """
        reports = [
            report
            for report in self._recent(now, _IN_TOUCH_SECONDS)
            if not self._is_another(report.leader)
        ]
        votes = Counter(
            heard.name
            for report in reports
            for heard in report.heard
            if heard.name not in live
            and heard.term > term
            and (heard.reach, heard.name) > (reach, self._own)
        )
        return any(2 * count > len(reports) for count in votes.values())

    def _recent(self, now: float, seconds: float) -> Iterator[_Report]:
        for report in self._reports.values():
            if now - report.received_at < seconds:
                yield report

    def _is_another(self, leader: InstanceId | None) -> bool:
        if leader is None or leader == self._own:
            return False
        is_deputy = leader in self._reports
        return not (is_deputy and self.relieves_deputies)
