"""Orders with their lease and fencing token."""

from waxwingford.ports import Resources, fits_resources
from waxwingford.scheduling._book import Book
from waxwingford.scheduling._runners import LookOrder, StartOrder
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Run, RunPhase

_NOTHING = Resources(0, 0, 0)


class OrderFactory:
    """Makes the orders of one owner.

    :ivar token: fencing token of the owner.
    :ivar lease_ms: length of the leases given to servers.
    """

    def __init__(self, book: Book, token: int, lease_ms: int) -> None:
        """Work on a book.

        :param book: of the shard.
        :param token: fencing token of the owner.
        :param lease_ms: length of the leases given to servers.
        """
        self.token = token
        self._book = book
        self.lease_ms = lease_ms

    def look(
        self, server: Server, now_ms: int, wait_ms: int, extend: bool
    ) -> LookOrder:
        """Make a look at a server.

        :param server: which.
        :param now_ms: steady time.
        :param wait_ms: how long the server may wait for an end.
        :param extend: whether the lease is extended.
        :returns: the order.
        """
        lease_until_ms = None
        # A server that doesn't answer may still get what it is sent: with each
        # look its lease would grow, and never be over for us.
        answers = (
            server.clock_ahead_ms is not None and server.failing_ms is None
        )
        withheld = server.entry.server_id in self._book.withheld
        if extend and answers and server.run_by_key and not withheld:
            lease_until_ms = server.grant_lease(now_ms, self.lease_ms)
        return LookOrder(self.token, server.seen_end, lease_until_ms, wait_ms)

    def start(self, run: Run, now_ms: int) -> StartOrder | None:
        """Make the order of a start whose record is stored.

        :param run: what to start.
        :param now_ms: steady time.
        :returns: the order, ``None`` if the run is no longer wanted.
        """
        server = self._book.server_by_id.get(run.server_id)
        job = self._book.job_by_id.get(run.key.task.job_id)
        if server is None or job is None or run.stopping:
            return None
        if run.key not in server.run_by_key or server.gone:
            return None
        if (
            server.failing_ms is not None
            or run.server_id in self._book.withheld
        ):
            # The lease of a silent server would grow with each start that waits
            # its turn, and its tasks stand still until the lease is over.
            run.stopping = True
            return None
        if not fits_resources(_NOTHING, server.room):
            # Its capacity has shrunk since the run was planned; a server that
            # doesn't guard its capacity would start it all the same.
            run.stopping = True
            return None
        step = server.step_by_run[run.key]
        ticket = self._book.advice.ticket(step, run.server_id, now_ms)
        if self._book.queue_of(job).advised and not ticket:
            # Its record was stored too late, or other orders went first. The
            # server would refuse it; settled, it is planned on a new ticket.
            run.stopping = True
            return None
        server.enter(run, RunPhase.sent, now_ms)
        return StartOrder(
            run.key,
            job.spec.payload,
            server.grant_lease(now_ms, self.lease_ms),
            self.token,
            run.checkpoint,
            ticket,
        )
