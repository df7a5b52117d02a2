"""Capacity of a backend server in memory: it may shrink and grow while tasks run."""

import asyncio

#: A capacity that has shrunk counts so long after, in seconds: until then an owner
#: may not have read of it.
KNOWN_AFTER_S = 4.5


class CapacityHistory:
    """What a server had when."""

    def __init__(self, capacity):
        #: Rows of the time from which on it had a capacity, and that capacity.
        self._rows = [(0, capacity)]

    @property
    def newest(self):
        return self._rows[-1][1]

    def change(self, capacity):
        """Have another capacity from now on.

        :param capacity: the new one.
        """
        now_s = asyncio.get_running_loop().time()
        self._rows.append((now_s, capacity))

    def most(self):
        """Work out what may be in use, as far as owners must know by now.

        :returns: the most of each resource.
        """
        known_s = asyncio.get_running_loop().time() - KNOWN_AFTER_S
        ends_s = [since_s for since_s, _ in self._rows[1:]]
        recent = [
            capacity
            for end_s, (_, capacity) in zip(ends_s, self._rows)
            if end_s > known_s
        ]
        return tuple(map(max, zip(*recent, self.newest)))


def exceeds(needs, limit):
    """Tell whether tasks need more than there is.

    :param needs: what each of them takes.
    :param limit: what there is.
    :returns: whether any resource doesn't suffice.
    """
    return any(sum(column) > most for column, most in zip(zip(*needs), limit))
