"""Election of the control instance that dispatches.

The election needs no quorum: endpoints obey the highest fencing token, and a
later term has higher tokens.  Each side of a network partition therefore has
a dispatcher of its own.  When the partition heals, the dispatcher that is in
touch with more control instances and followed by more entries continues and
the other one resigns.

Control instances that are partitioned from one another may still be in touch
with the same entries.  The election therefore also takes into account which
dispatcher the entries report.
"""

import math
from dataclasses import dataclass, replace
from typing import Final

from cuminstack.core import InstanceId
from cuminstack.fleet._entry_reports import REPORT_SECONDS, EntryReports
from cuminstack.fleet._messages import ControlBeat, HeardDispatcher
from cuminstack.pool import MAX_TERM

#: Seconds without a heartbeat after which an instance counts as lost: a
#: little more than three heartbeat intervals.
HEARTBEAT_TIMEOUT_SECONDS: Final = 0.35
#: Seconds after its start for which an instance only listens and cannot lead.
_STARTUP_SECONDS: Final = 0.5
#: The same if other control instances are in touch and none of them knows a
#: dispatcher, as after a loss of power of all: two heartbeat intervals.
_LEADERLESS_STARTUP_SECONDS: Final = 0.2
#: Control instances that must say so.  A single one may be cut off from the
#: dispatcher together with this instance.
_MIN_LEADERLESS: Final = 2
#: Seconds for which endpoints must have obeyed a later term before this
#: instance begins a term above it.  If the dispatcher of that term is
#: reachable, its heartbeat arrives well before.
_FENCED_SECONDS: Final = 1.0
#: Seconds without a refusal after which endpoints no longer obey a later term:
#: longer than the interval between orders to one that refuses them.
_FENCED_GAP_SECONDS: Final = 2.5
#: Terms by which to outrank a rival that is out of reach.  Its term is usually
#: one above this dispatcher's; equal terms would leave the endpoints divided.
_RIVAL_STEP: Final = 2
#: Seconds for which an instance must have been the first candidate before it
#: leads, so that heartbeats in flight can still arrive.
_CANDIDACY_SECONDS: Final = 0.1
#: Seconds after the start of a term in which entries may not know it yet.
_NEW_TERM_SECONDS: Final = 1.0


@dataclass(frozen=True, slots=True)
class _ReceivedBeat:
    beat: ControlBeat
    received_at: float


class Election:
    """Decides whether one control instance leads.

    Args:
        own: This instance.
        highest_term: The highest term that was known before the start; 0 if
            there is none.
        now: The present time in seconds.
    """

    def __init__(
        self,
        own: InstanceId,
        *,
        highest_term: int = 0,
        now: float,
    ) -> None:
        self._own = own
        self._eligible_at = now + _STARTUP_SECONDS
        # The same if no other control instance knows a dispatcher.
        self._leaderless_at = now + _LEADERLESS_STARTUP_SECONDS
        self._beats: dict[InstanceId, _ReceivedBeat] = {}
        self._reports = EntryReports(own)
        self._highest_term = _within_range(highest_term)
        self._term = 0
        self._term_began_at: float = 0
        self._candidate_since: float | None = None
        self._ticked_at = now
        self._fenced_since: float | None = None
        self._fenced_at = now
        self._has_obeyed = False
        self._step = 1
        self._resigned_term = 0

    @property
    def term(self) -> int:
        """The term in which this instance leads; 0 if it doesn't lead."""
        return self._term

    @property
    def resigned_term(self) -> int:
        """The latest term that this instance resigned from; 0 if none."""
        return self._resigned_term

    @property
    def highest_term(self) -> int:
        """The highest term that is known."""
        return self._highest_term

    def is_leaderless(self, *, now: float) -> bool:
        """Return whether this instance knows no live dispatcher."""
        is_known = bool(self._term or self._rivals(now))
        return not (is_known or self._reports.most_follow_another(now=now))

    def live(self, *, now: float) -> tuple[InstanceId, ...]:
        """Return the other control instances with a recent heartbeat.

        Instances that are about to end are left out.
        """
        return tuple(
            sorted(
                name
                for name, last in self._beats.items()
                if now - last.received_at < HEARTBEAT_TIMEOUT_SECONDS
                and not last.beat.leaves
            ),
        )

    def receive_beat(
        self,
        sender: InstanceId,
        beat: ControlBeat,
        *,
        now: float,
    ) -> None:
        """Record a heartbeat of another control instance.

        If the sender led in a later term than this one and has resigned, some
        endpoints obey that term, and a new one begins at once.  Its sender may
        have resigned before its first heartbeat as a leader arrived here.
        """
        beat = replace(
            beat,
            term=_within_range(beat.term),
            resigned_term=_within_range(beat.resigned_term),
        )
        self._beats[sender] = _ReceivedBeat(beat, now)
        self._learn_term(beat.term)
        if self._term and beat.resigned_term >= self._term:
            self._begin_term(now)

    def reach(self, *, now: float) -> int:
        """Return the number of instances that this one is in touch with.

        Unlike the weight, it includes entries that follow another dispatcher.
        """
        entries = self._reports.count_in_touch(now=now)
        return entries + len(self.live(now=now))

    def record_leader_report(
        self,
        entry: InstanceId,
        leader: InstanceId | None,
        *,
        term: int = 0,
        heard: tuple[HeardDispatcher, ...] = (),
        now: float,
    ) -> None:
        """Record the dispatcher that an entry reports.

        Args:
            entry: The entry.
            leader: The dispatcher that it follows, if any.
            term: The term of that dispatcher.
            heard: Other dispatchers that the entry hears.
            now: The present time in seconds.
        """
        self._reports.record(entry, leader, heard, now=now)
        for known_term in (term, *(each.term for each in heard)):
            self._learn_term(known_term)

    def tick(
        self,
        *,
        weight: int,
        now: float,
        relieves_deputies: bool = False,
    ) -> None:
        """Decide whether to lead.

        Args:
            weight: Number of live control instances and of entries that
                follow this one.
            now: The present time in seconds.
            relieves_deputies: Whether to lead although most entries follow
                deputies.
        """
        self._reports.relieves_deputies = relieves_deputies
        if now - self._ticked_at > HEARTBEAT_TIMEOUT_SECONDS:
            # The heartbeats that came during a pause are still unread.
            self._candidate_since = None
        self._ticked_at = now
        rivals = self._rivals(now)
        if self._term:
            self._resolve_rivals(rivals, weight, now)
        elif (
            rivals
            or not self._is_first_candidate(now)
            or self._reports.most_follow_another(now=now)
            or self._is_outreached(now)
        ):
            self._candidate_since = None
        else:
            self._advance_candidacy(now)

    def handle_fenced(self, term: int, *, has_obeyed: bool, now: float) -> None:
        """Handle that an endpoint obeys a later term than any known one.

        The dispatcher of that term is unreachable, or its stored term was
        lost.  A term above it begins once this has lasted, but only while an
        entry in touch follows this dispatcher and no rival is known.

        Args:
            term: Term of the refused order.
            has_obeyed: Whether the endpoint obeyed that term before.
            now: The present time in seconds.
        """
        if term != self._term:
            # Several endpoints refuse the orders of a term that has ended.
            return
        if self._rivals(now) or not self._reports.has_followers(now=now):
            self._fenced_since = None
            return
        self._has_obeyed = self._has_obeyed or has_obeyed
        is_new = now - self._fenced_at > _FENCED_GAP_SECONDS
        self._fenced_at = now
        if self._fenced_since is None or is_new:
            self._fenced_since = now
        elif now - self._fenced_since >= _FENCED_SECONDS:
            self._begin_term(now, step=self._next_step())

    def renew_term(self, term: int, *, now: float) -> None:
        """Begin a later term if this is the term in which tokens run low."""
        if self._term and term == self._term:
            self._begin_term(now)

    def leave(self) -> None:
        """Resign, and never lead again."""
        self._resign()
        self._postpone(math.inf)

    def _learn_term(self, term: int) -> None:
        self._highest_term = max(self._highest_term, _within_range(term))

    def _rivals(self, now: float) -> tuple[InstanceId, ...]:
        """Return the other live control instances that dispatch."""
        return tuple(
            name for name in self.live(now=now) if self._beats[name].beat.leads
        )

    def _resolve_rivals(
        self,
        rivals: tuple[InstanceId, ...],
        weight: int,
        now: float,
    ) -> None:
        """Resign in favour of a better leader, or outrank a worse one.

        A leader resigns if most entries follow another dispatcher, once its
        term is no longer new; the rival's heartbeat may be older than that.
        Otherwise the leader with more weight is the better one, and the name
        decides between equals.
        """
        is_new = now - self._term_began_at < _NEW_TERM_SECONDS
        if not is_new and self._reports.most_follow_another(now=now):
            self._resign()
            return
        if self._is_outreached(now):
            self._resign()
            # Entries out of touch still seem to follow this instance.
            self._postpone(now + REPORT_SECONDS)
            return
        for rival in rivals:
            beat = self._beats[rival].beat
            if (beat.weight, rival) > (weight, self._own):
                self._resign()
                return
            if beat.term >= self._term:
                self._begin_term(now)

    def _is_outreached(self, now: float) -> bool:
        """Return whether a rival out of reach can serve this one's entries.

        Only entries connect the two.  They lose nothing by following the
        rival; otherwise the two would take the endpoints from each other until
        they can talk again.
        """
        return self._reports.most_hear_better(
            term=self._term,
            reach=self.reach(now=now),
            live=self.live(now=now),
            now=now,
        )

    def _is_first_candidate(self, now: float) -> bool:
        others = self.live(now=now)
        is_least = all(self._own < other for other in others)
        return is_least and self._is_eligible(others, now)

    def _is_eligible(self, others: tuple[InstanceId, ...], now: float) -> bool:
        """Return whether this instance has listened for long enough."""
        if now >= self._eligible_at:
            return True
        return (
            now >= self._leaderless_at
            and len(others) >= _MIN_LEADERLESS
            and all(self._beats[other].beat.leaderless for other in others)
        )

    def _postpone(self, until: float) -> None:
        self._eligible_at = until
        self._leaderless_at = until

    def _advance_candidacy(self, now: float) -> None:
        """Lead once this has been the first candidate for long enough."""
        if self._candidate_since is None:
            self._candidate_since = now
        if now - self._candidate_since >= _CANDIDACY_SECONDS:
            self._begin_term(now)

    def _next_step(self) -> int:
        """Return by how much to raise the term of a fenced dispatcher.

        Endpoints that have obeyed the present term now obey a rival that is
        live, whose term is close.  Otherwise the term that they obey may have
        been lost with all stored state, and steps that double find it soon.
        """
        return _RIVAL_STEP if self._has_obeyed else 2 * self._step

    def _begin_term(self, now: float, *, step: int = 1) -> None:
        self._step = step
        self._has_obeyed = False
        self._fenced_since = None
        self._highest_term = min(self._highest_term + step, MAX_TERM)
        self._term = self._highest_term
        self._term_began_at = now

    def _resign(self) -> None:
        self._resigned_term = max(self._resigned_term, self._term)
        self._term = 0
        self._candidate_since = None


def _within_range(term: int) -> int:
    """Return a term, or 0 if endpoints can't read its tokens.

    An instance of an earlier version may know such a term.  It is taken for
    lost: if endpoints obey a later term than those that are known, a fenced
    dispatcher finds it.
    """
    return term if term <= MAX_TERM else 0
