"""Memory and connections that the peers of a listener may use together."""

import collections
import enum
import itertools
import operator
import sys
import time
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

#: Memory of an open connection on which nothing has arrived, in bytes.
CONNECTION_BYTES = 4096
#: Connections that hold at most this much may use the whole share, in bytes.
SMALL_BYTES = 32_768
#: Part of a share that one connection may use.
CONNECTION_PART = 0.25
#: Part of a share that connections beyond ``SMALL_BYTES`` may use together.
LARGE_PART = 0.75
#: Time without progress after which a connection makes room for others, in seconds.
STILL_S = 1.0
#: Time after which a request that is still arriving makes room, in seconds.
SLOW_S = 10.0
#: Time between two searches for connections that make room, in seconds.
SEARCH_INTERVAL_S = 0.05


class Activity(enum.IntEnum):
    """What a connection does, in the order in which connections make room.

    :cvar unread: its peer doesn't read a response.
    :cvar receiving: a request is arriving.
    :cvar silent: it is open, and no request has arrived on it yet.
    :cvar idle: all of its requests are answered.
    :cvar busy: a request is handled; it never makes room.
    """

    unread = 0
    receiving = 1
    silent = 2
    idle = 3
    busy = 4


_WITHOUT_REQUEST = frozenset((Activity.receiving, Activity.silent))


class Share(NamedTuple):
    """Part of the resources of a process.

    :ivar max_bytes: memory, in bytes.
    :ivar max_connections: open connections, one descriptor each.
    :ivar keeps_silent: whether a connection without a request makes room for another
        one only after it has stood still.
    """

    max_bytes: int
    max_connections: int
    keeps_silent: bool = False


#: Share of a server that needs no bound, for example in a test.
UNLIMITED = Share(sys.maxsize, sys.maxsize)


def _do_nothing() -> None:
    """Take the place of the eviction of a connection that was closed."""


class Holder:
    """A connection, and what it holds of a share.

    :ivar activity: what the connection does.
    :ivar held_bytes: memory that is reserved for it, in bytes.
    :ivar began_s: time since which it does that, by the clock of the account, in
        seconds.
    """

    def __init__(self, account: 'Account', evict: Callable[[], None]) -> None:
        """Register a connection; ``Account.open`` calls this.

        :param evict: closes the connection, and closes this holder.
        """
        self.activity = Activity.silent
        self.held_bytes = 0
        self.evict = evict
        self._account = account
        self.began_s = account.clock_s()
        self._progress_s = self.began_s

    @property
    def max_bytes(self) -> int:
        """Memory that one connection may hold, in bytes."""
        return self._account.connection_bytes

    def begin(self, activity: Activity) -> None:
        """Note that the connection does something else from now on."""
        self.activity = activity
        self.began_s = self._account.clock_s()
        self._progress_s = self.began_s

    def progress(self) -> None:
        """Note that the peer has sent or read something."""
        self._progress_s = self._account.clock_s()

    def stands_still(self, now_s: float) -> bool:
        """Tell whether the connection makes no progress, or too little.

        :param now_s: time by the clock of the account, in seconds.
        """
        slow = now_s - self.began_s >= SLOW_S
        return now_s - self._progress_s >= STILL_S or (
            slow and self.activity is Activity.receiving
        )

    def reserve(self, size: int) -> bool:
        """Reserve memory; ``Reservation`` gives it back.

        :returns: whether it may be used.
        """
        return self._account.take(self, size)

    def give_back(self, size: int) -> None:
        """Give reserved memory back, also after the connection is closed."""
        self.held_bytes -= size
        self._account.give_back(size)

    def close(self) -> None:
        """Give the connection back; a second call does nothing."""
        self._account.close(self)


class Reservation:
    """Memory for one purpose, which may outlast its connection.

    :ivar size: reserved memory, in bytes.
    """

    __slots__ = ('_holder', 'size')

    def __init__(self, holder: Holder) -> None:
        self.size = 0
        self._holder = holder

    @property
    def max_bytes(self) -> int:
        """Memory that one connection may hold, in bytes."""
        return self._holder.max_bytes

    def grow(self, size: int) -> bool:
        """Reserve more.

        :returns: whether it may be used; otherwise nothing has changed.
        """
        if not self._holder.reserve(size):
            return False
        self.size += size
        return True

    def resize(self, size: int) -> bool:
        """Reserve more, or give a part back.

        :param size: size from now on, in bytes.
        :returns: whether it may be used; otherwise nothing has changed.
        """
        if size > self.size:
            return self.grow(size - self.size)
        self._holder.give_back(self.size - size)
        self.size = size
        return True

    def release(self) -> None:
        """Give all of it back; a second call does nothing."""
        self._holder.give_back(self.size)
        self.size = 0


class Account:
    """Accounts for the connections of a listener and for their memory.

    :ivar used_bytes: memory that is reserved, in bytes.
    :ivar count_by_event: refusals (``connection``, ``memory``) and evictions (name
        of the activity) since the start.
    """

    def __init__(
        self, share: Share, clock_s: Callable[[], float] = time.monotonic
    ) -> None:
        """Start without connections.

        :param clock_s: monotonic clock, in seconds.
        """
        self.share = share
        self.clock_s = clock_s
        self.connection_bytes = int(share.max_bytes * CONNECTION_PART)
        self.used_bytes = 0
        self._large_bytes = int(share.max_bytes * LARGE_PART)
        self.count_by_event: collections.Counter[str] = collections.Counter()
        self._holders: set[Holder] = set()
        self._next_search_s: float = 0

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._holders)

    def open(self, evict: Callable[[], None]) -> Holder | None:
        """Account for a connection that was accepted.

        :param evict: closes the connection, and closes its holder.
        :returns: its holder, ``None`` if it has to be closed.
        """
        if self.connections >= self.share.max_connections:
            # A request arrives in ms, so the oldest are no ordinary ones.
            self._evict(
                itertools.chain(
                    self._find_still(Activity.idle), self._find_arriving()
                ),
                lambda: self.connections < self.share.max_connections,
            )
        holder = Holder(self, evict)
        full = self.connections >= self.share.max_connections
        if full or not self.take(holder, CONNECTION_BYTES):
            self.count_by_event['connection'] += 1
            return None
        self._holders.add(holder)
        return holder

    def close(self, holder: Holder) -> None:
        """Account for the end of a connection; a second call does nothing."""
        if holder in self._holders:
            self._holders.remove(holder)
            holder.evict = _do_nothing
            holder.give_back(CONNECTION_BYTES)

    def take(self, holder: Holder, size: int) -> bool:
        """Reserve memory for a connection.

        :returns: whether it may be used.
        """
        held = holder.held_bytes + size
        large = held > SMALL_BYTES
        limit = self._large_bytes if large else self.share.max_bytes
        if held > self.connection_bytes:
            self.count_by_event['memory'] += 1
            return False
        if self.used_bytes + size > limit:
            self._evict(
                self._find_still(Activity.receiving, holder),
                lambda: self.used_bytes + size <= limit,
            )
        if self.used_bytes + size > limit:
            self.count_by_event['memory'] += 1
            return False
        self.used_bytes += size
        holder.held_bytes = held
        return True

    def give_back(self, size: int) -> None:
        """Account for memory that a connection has given back."""
        self.used_bytes -= size

    def _find_still(
        self, last: Activity, asking: Holder | None = None
    ) -> list[Holder]:
        """List the connections that make room, in that order.

        :param last: last activity of which connections are listed.
        :param asking: connection that is left out.
        """
        now_s = self.clock_s()
        if now_s < self._next_search_s:
            return []
        self._next_search_s = now_s + SEARCH_INTERVAL_S
        still = [
            holder
            for holder in self._holders
            if holder.activity <= last
            and holder is not asking
            and holder.stands_still(now_s)
        ]
        return sorted(still, key=operator.attrgetter('activity', 'began_s'))

    def _find_arriving(self) -> Iterator[Holder]:
        """Find the connection without a complete request that is the oldest."""
        if self.share.keeps_silent:
            return
        arriving = [
            holder
            for holder in self._holders
            if holder.activity in _WITHOUT_REQUEST
        ]
        if arriving:
            yield min(arriving, key=operator.attrgetter('began_s'))

    def _evict(
        self, holders: Iterable[Holder], has_room: Callable[[], bool]
    ) -> None:
        for holder in holders:
            if has_room():
                break
            self.count_by_event[holder.activity.name] += 1
            holder.evict()
        else:
            return
        # More may be asked for at once, and a search takes time.
        self._next_search_s = 0
