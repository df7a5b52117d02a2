"""Limits the starts in progress to what the owner's VM handles in time."""

from waxwingford.shard._lateness import Lateness

#: Smallest window, so that tasks go on to start on any VM.
MIN_STARTS = 2
INITIAL_STARTS = 16
#: Lateness of answers below which the window grows, and above which it shrinks, in
#: seconds.
LOW_LATENESS_S = 0.07
HIGH_LATENESS_S = 0.13
GROWTH_FACTOR = 1.15
SHRINK_FACTOR = 0.75
#: Share of the window that must be in use for it to grow: until then nothing is
#: known about more starts at a time.
USED_SHARE = 0.5
#: Time for which starts count as limited after answers were late, in ms.
RECENT_LAG_MS = 5000
#: Time between two changes of the window, in ms: the lateness follows with a delay.
CHANGE_INTERVAL_MS = 200


class StartWindow:
    """Number of starts that may be in progress at a time.

    A start is in progress from its placement until its server has answered. Without
    a limit, starts queue up behind each other in an overloaded event loop, or in a full
    link, for longer than their timeout; they are then doubted, stopped and repeated,
    which is more work than the starts themselves.

    :ivar exhausted: whether the smallest window is too large for the owner.
    """

    def __init__(self, lateness: Lateness) -> None:
        """Start with the initial window."""
        self._starts: float = INITIAL_STARTS
        self._lateness = lateness
        self._changed_ms = 0
        self._most_in_progress = 0
        self._late_ms = -RECENT_LAG_MS

    @property
    def limited_by_lag(self) -> bool:
        """Whether late answers keep the window from growing.

        Otherwise starts wait for something else, for example for a slow store.
        """
        return self._lateness.mean_s >= LOW_LATENESS_S

    @property
    def exhausted(self) -> bool:
        """Whether the owner is overloaded although it starts next to nothing."""
        return self._starts <= MIN_STARTS and not self._lateness.acceptable

    def recently_limited(self, now_ms: int) -> bool:
        """Whether late answers have kept the window from growing recently.

        The lateness falls as soon as fewer starts are in progress, while the backlog
        is still there.

        :param now_ms: current monotonic time, in ms.
        """
        return now_ms - self._late_ms < RECENT_LAG_MS

    def room(self, in_progress: int, now_ms: int) -> int:
        """Adapt the window and compute how many starts may be added.

        :param in_progress: starts in progress.
        :param now_ms: current monotonic time, in ms.
        """
        if self.limited_by_lag:
            self._late_ms = now_ms
        self._note_in_progress(in_progress)
        if now_ms - self._changed_ms >= CHANGE_INTERVAL_MS:
            self._changed_ms = now_ms
            self._adapt(self._most_in_progress)
            self._most_in_progress = in_progress
        return max(0, int(self._starts) - in_progress)

    def note_added(self, in_progress: int, added: int) -> None:
        """Note the starts that a decision has added.

        Most may be answered before the next decision, if those are far apart, although
        all of the window was used.

        :param in_progress: starts that were in progress before.
        """
        self._note_in_progress(in_progress + added)

    def _note_in_progress(self, in_progress: int) -> None:
        self._most_in_progress = max(self._most_in_progress, in_progress)

    def _adapt(self, in_progress: int) -> None:
        late_s = self._lateness.mean_s
        if late_s > HIGH_LATENESS_S and in_progress:
            # A part of the window that wasn't used didn't cause it.
            used = min(self._starts, in_progress)
            self._starts = max(MIN_STARTS, used * SHRINK_FACTOR)
        elif (
            late_s < LOW_LATENESS_S and in_progress >= self._starts * USED_SHARE
        ):
            self._starts *= GROWTH_FACTOR
