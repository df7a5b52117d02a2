"""Bounds on the leases of previous owners, derived from heartbeats.

An owner extends leases only after an acknowledged heartbeat, and not on servers
that its newest heartbeat lists as silent. So the newest heartbeat bounds every
lease. If the bounds were counted from the claim, each change of owner would
restart the wait for an unreachable server, whose tasks stay unplaced meanwhile.
"""

import asyncio
from typing import NamedTuple

from waxwingford.scheduling import Engine, InheritedLeases, take_listed
from waxwingford.shard._clocks import monotonic_ms
from waxwingford.shard._journal import Predecessor

#: Greatest age of the newest proof of ownership, in ms, at which leases are
#: extended. With the lease it outlasts most outages of the store. A successor
#: waits for this age plus the lease before it restarts
#: long-running tasks of an unreachable server, which must take less than 9 s.
MAX_PROOF_AGE_MS = 2600
#: Largest ratio between the rates of the clocks of VMs and servers.
MAX_CLOCK_DRIFT = 1.04
#: Added to each bound, in ms, for rounding to whole ms and for readings of a
#: server's clock that are up to 2 s old. Leases expire by the server's clock,
#: so that the transit time of orders does not count.
CLOCK_SLACK_MS = 250
#: The same for bounds reported in heartbeats, as ratio and in ms. They already
#: allow for the clocks of servers, so that only those of VMs are left.
REPORTED_CLOCK_DRIFT = 1.01
REPORTED_SLACK_MS = 50
#: Time for servers to answer the first poll of a new owner, in seconds; an answer
#: takes some ms. Servers that have not answered by then are reported as silent.
FIRST_POLL_TIMEOUT_S = 0.06


class LeaseReport(NamedTuple):
    """Fields of a heartbeat that describe leases, see ``OwnerRecord``."""

    silent: dict[str, int]
    rest_ms: int | None = None
    read_to: int | None = None


def bound_leases(
    predecessor: Predecessor, first_end: int, now_ms: int, lease_ms: int
) -> InheritedLeases:
    """Bound the leases of all previous owners.

    :param first_end: offset after the new owner's first heartbeat, from which
        on the store refuses heartbeats of previous owners.
    :param now_ms: monotonic time at which that heartbeat was acknowledged.
    :returns: bounds in this daemon's monotonic time.
    """
    record = predecessor.record
    if record is None and first_end == 1:
        return InheritedLeases(now_ms, {})
    longest_ms = _bound(now_ms, MAX_PROOF_AGE_MS + lease_ms)
    if record is None or record.silent is None:
        # Sent by an older version, which extended leases after any append.
        return InheritedLeases(longest_ms, {})
    if first_end != predecessor.end + 1:
        # Another heartbeat was stored after the one that was read.
        return InheritedLeases(longest_ms, {})
    if record.rest_ms is None:
        until_ms = _bound(predecessor.read_ms, MAX_PROOF_AGE_MS + lease_ms)
    elif record.read_to in {None, predecessor.offset}:
        until_ms = min(
            longest_ms, _reported_bound(predecessor.read_ms, record.rest_ms)
        )
    else:
        # Its sender had not read the last heartbeat of its predecessor.
        return InheritedLeases(longest_ms, {})
    return InheritedLeases(
        until_ms,
        {
            server_id: _reported_bound(predecessor.read_ms, left_ms)
            for server_id, left_ms in record.silent.items()
        },
    )


def _bound(from_ms: int, span_ms: int) -> int:
    return from_ms + int(span_ms * MAX_CLOCK_DRIFT) + CLOCK_SLACK_MS


def _reported_bound(from_ms: int, span_ms: int) -> int:
    return from_ms + int(span_ms * REPORTED_CLOCK_DRIFT) + REPORTED_SLACK_MS


class LeaseLedger:
    """Keeps the leases of an owner consistent with its heartbeats.

    :ivar first_stored: set when the first heartbeat is stored, from which on
        previous owners cannot extend leases.
    :ivar inherited: bounds of previous owners' leases, valid once
        ``first_stored`` is set.
    :ivar extending: set when the owner is about to extend leases.
    """

    def __init__(self, predecessor: Predecessor, lease_ms: int) -> None:
        self.first_stored = asyncio.Event()
        self.extending = asyncio.Event()
        self.inherited = InheritedLeases(0, {})
        self._predecessor = predecessor
        self._lease_ms = lease_ms
        self._engine: Engine | None = None

    async def wait_first_stored(self, stopped: asyncio.Event) -> None:
        """Wait until previous owners cannot extend leases, or until stopped."""
        waits = [
            asyncio.ensure_future(event.wait())
            for event in (self.first_stored, stopped)
        ]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    async def start_extending(self, engine: Engine) -> None:
        """Allow the owner to extend leases once servers had time to answer.

        Until then heartbeats repeat the bounds of previous owners, so that an
        owner that dies before it extends a lease does not prolong the wait.

        :param engine: engine of the owner, which already polls the servers.
        """
        await asyncio.sleep(FIRST_POLL_TIMEOUT_S)
        self._engine = engine
        self.extending.set()

    def next_report(self) -> LeaseReport:
        """Compute the lease fields of the next heartbeat.

        From this call on, leases on the servers reported as silent are not
        extended.
        """
        now_ms = monotonic_ms()
        if self._engine is not None:
            return LeaseReport(
                self._engine.lease_withholding.withhold_silent(
                    now_ms, self._engine.timely
                )
            )
        if self.first_stored.is_set():
            bounds, read_to = self.inherited, None
        else:
            read_to = self._predecessor.end
            bounds = bound_leases(
                self._predecessor, read_to + 1, now_ms, self._lease_ms
            )
        # The bound for all servers holds for those that aren't listed.
        listed = take_listed(bounds.until_by_server)
        return LeaseReport(
            {
                server_id: max(0, bounds.until_by_server[server_id] - now_ms)
                for server_id in listed
            },
            max(0, bounds.until_ms - now_ms),
            read_to,
        )

    def heartbeat_stored(self, report: LeaseReport, end: int) -> None:
        """Process the acknowledgement of a heartbeat.

        :param end: offset after the heartbeat.
        """
        if not self.first_stored.is_set():
            self.inherited = bound_leases(
                self._predecessor, end, monotonic_ms(), self._lease_ms
            )
            self.first_stored.set()
        if self._engine is not None and report.rest_ms is None:
            self._engine.lease_withholding.heartbeat_stored(report.silent)
