"""How long leases of former owners may last, told by heartbeats.

An owner extends leases only on the proof of an acknowledged heartbeat, and none
of servers that its newest heartbeat names as silent. So the newest heartbeat
that a successor has read bounds every lease there is. Counted from the claim
instead, the wait for a server that is gone would begin anew with each change of
owner, and its tasks would stand still beside servers with room.
"""

import asyncio
from typing import NamedTuple

from waxwingford.scheduling import Engine, InheritedLeases
from waxwingford.shard._journal import OwnerRecord
from waxwingford.shard._times import steady_ms

#: Leases are extended while the newest proof of ownership is no older, in ms.
#: With the lease it is longer than most outages of the store; but a successor
#: waits both out for servers that it can't reach, and a lasting task that was on
#: one of them must be at work again within 9 s of its end.
PROOF_MS = 2600
#: Share by which clocks of VMs and servers may differ.
DRIFT = 1.04
#: Added to each bound, in ms: readings of clocks are whole ms, and those of a
#: server's clock up to 2 s old. Leases end by the server's clock, so that the
#: time that orders are on their way adds nothing.
CLOCK_SLACK_MS = 250
#: The same for bounds that an owner has worked out, as share and in ms: they allow
#: for the clocks of servers already, and the steady clocks of VMs agree.
TOLD_DRIFT = 1.01
TOLD_SLACK_MS = 50
#: Time for the first looks at servers, in seconds: an answer takes some ms. Those
#: that have not answered by then are named as silent.
FIRST_LOOKS_S = 0.06


class Predecessor(NamedTuple):
    """Newest heartbeat that a daemon had read when it claimed.

    :ivar record: the heartbeat, ``None`` if there never was one.
    :ivar read_ms: when it was read, steady time.
    :ivar end: offset after the last heartbeat that was read.
    :ivar offset: of the newest one.
    """

    record: OwnerRecord | None
    read_ms: int
    end: int
    offset: int


class LeaseNews(NamedTuple):
    """What a heartbeat says of leases, see ``OwnerRecord``.

    :ivar silent: servers that don't answer, with what is left there, in ms.
    :ivar rest_ms: bound for all others if no lease was extended yet, in ms.
    :ivar read_to: what that bound rests on.
    """

    silent: dict[str, int]
    rest_ms: int | None = None
    read_to: int | None = None


def bound_leases(
    former: Predecessor, first_end: int, now_ms: int, lease_ms: int
) -> InheritedLeases:
    """Bound the leases of all former owners.

    :param former: newest heartbeat that was read before the claim.
    :param first_end: offset after the new owner's first heartbeat; the store
        refuses those of former owners from then on.
    :param now_ms: when that one was acknowledged, steady time.
    :param lease_ms: length of leases.
    :returns: bounds by this daemon's steady clock.
    """
    record = former.record
    if record is None and first_end == 1:
        return InheritedLeases(now_ms, {})
    longest_ms = _bound(now_ms, PROOF_MS + lease_ms)
    if record is None or record.silent is None:
        # Of a version that took any append for a proof of ownership.
        return InheritedLeases(longest_ms, {})
    if first_end != former.end + 1:
        # Another heartbeat came after the one that was read.
        return InheritedLeases(longest_ms, {})
    if record.rest_ms is None:
        until_ms = _bound(former.read_ms, PROOF_MS + lease_ms)
    elif record.read_to in {None, former.offset}:
        until_ms = _told(former.read_ms, record.rest_ms)
    else:
        # Its sender had missed a heartbeat of the owner before it.
        return InheritedLeases(longest_ms, {})
    return InheritedLeases(
        until_ms,
        {
            server_id: _told(former.read_ms, left_ms)
            for server_id, left_ms in record.silent.items()
        },
    )


def _bound(from_ms: int, span_ms: int) -> int:
    return from_ms + int(span_ms * DRIFT) + CLOCK_SLACK_MS


def _told(from_ms: int, span_ms: int) -> int:
    return from_ms + int(span_ms * TOLD_DRIFT) + TOLD_SLACK_MS


class LeaseLedger:
    """Keeps leases and heartbeats of one owner in agreement.

    :ivar begun: set when the first heartbeat is stored: from then on no former
        owner can extend a lease.
    :ivar inherited: bounds of former owners' leases, set with it.
    :ivar acting: set when the owner is about to extend leases.
    """

    def __init__(self, former: Predecessor, lease_ms: int) -> None:
        """Begin before the first heartbeat.

        :param former: newest heartbeat that was read before the claim.
        :param lease_ms: length of leases.
        """
        self.begun = asyncio.Event()
        self.acting = asyncio.Event()
        self.inherited = InheritedLeases(0, {})
        self._former = former
        self._lease_ms = lease_ms
        self._engine: Engine | None = None

    async def until_begun(self, over: asyncio.Event) -> None:
        """Wait until former owners can't extend a lease any more.

        :param over: set when this owner has stopped; it begins no more then.
        """
        waits = [
            asyncio.ensure_future(event.wait()) for event in (self.begun, over)
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    async def act(self, engine: Engine) -> None:
        """Let the owner extend leases, once servers had time to answer.

        Until then heartbeats hand on the bounds of former owners: an owner that
        is killed before it has extended a lease makes nobody wait for longer.

        :param engine: of the owner, with servers that are looked at.
        """
        await asyncio.sleep(FIRST_LOOKS_S)
        self._engine = engine
        self.acting.set()

    def tell(self) -> LeaseNews:
        """Say what the next heartbeat says; the leases of silent servers are not
        extended from now on.

        :returns: it.
        """
        now_ms = steady_ms()
        if self._engine is not None:
            return LeaseNews(self._engine.withholding.name_silent(now_ms))
        if self.begun.is_set():
            bounds, read_to = self.inherited, None
        else:
            read_to = self._former.end
            bounds = bound_leases(
                self._former, read_to + 1, now_ms, self._lease_ms
            )
        return LeaseNews(
            {
                server_id: max(0, until_ms - now_ms)
                for server_id, until_ms in bounds.until_by_server.items()
            },
            max(0, bounds.until_ms - now_ms),
            read_to,
        )

    def stored(self, news: LeaseNews, end: int) -> None:
        """Note that a heartbeat is stored.

        :param news: what it says.
        :param end: offset after it.
        """
        if not self.begun.is_set():
            self.inherited = bound_leases(
                self._former, end, steady_ms(), self._lease_ms
            )
            self.begun.set()
        if self._engine is not None and news.rest_ms is None:
            self._engine.withholding.stored(news.silent)
