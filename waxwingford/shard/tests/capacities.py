"""History of a simulated backend server's capacity."""

import asyncio

#: Longest time until an owner has read a changed capacity, in seconds.
MAX_STALENESS_S = 4.5


class CapacityHistory:
    def __init__(self, capacity):
        #: Pairs of a start time and the capacity from then on.
        self._changes = [(0, capacity)]

    @property
    def current(self):
        return self._changes[-1][1]

    def change(self, capacity):
        """Set the capacity from now on."""
        now_s = asyncio.get_running_loop().time()
        self._changes.append((now_s, capacity))

    def upper_bound(self):
        """Find the largest capacity that an owner may still assume.

        :returns: maximum of each resource.
        """
        stale_before_s = asyncio.get_running_loop().time() - MAX_STALENESS_S
        ends_s = [since_s for since_s, _ in self._changes[1:]]
        recent = [
            capacity
            for end_s, (_, capacity) in zip(ends_s, self._changes)
            if end_s > stale_before_s
        ]
        return tuple(map(max, zip(*recent, self.current)))


def exceeds(needs, limit):
    """Check whether tasks need more resources than available.

    :returns: whether the sum of any resource exceeds the limit.
    """
    return any(
        sum(column) > maximum for column, maximum in zip(zip(*needs), limit)
    )
