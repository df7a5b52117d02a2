"""Creation of orders with their lease and fencing token."""

from waxwingford.ports import Resources, fits_resources
from waxwingford.scheduling._backend_client import PollOrder, StartOrder
from waxwingford.scheduling._servers import Server, keeps_runs
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._specs import QueueTerms
from waxwingford.scheduling._state import Run, RunPhase

_NOTHING = Resources(0, 0, 0)


class OrderFactory:
    """Creates the orders of one owner.

    :ivar token: fencing token of the owner.
    :ivar lease_ms: length of the leases granted to servers, in ms.
    """

    def __init__(self, state: ShardState, token: int, lease_ms: int) -> None:
        self.token = token
        self._state = state
        self.lease_ms = lease_ms

    def poll(
        self, server: Server, now_ms: int, wait_ms: int, extend: bool
    ) -> PollOrder:
        """Create a poll of a server.

        :param now_ms: current monotonic time, in ms.
        :param wait_ms: time in ms for which the server may delay its answer
            until a run ends.
        :param extend: whether to extend the lease if the server answers, has
            runs and is not withheld.
        """
        lease_until_ms = None
        # A server that doesn't answer may still receive polls. If they extended
        # its lease, the lease would never expire and its runs never be settled.
        answers = (
            server.clock_offset_ms is not None
            and server.failing_since_ms is None
        )
        withheld = server.entry.server_id in self._state.withheld_servers
        if extend and answers and keeps_runs(server) and not withheld:
            lease_until_ms = server.grant_lease(now_ms, self.lease_ms)
        return PollOrder(
            self.token,
            server.next_acknowledgement,
            lease_until_ms,
            wait_ms,
            server.incarnation.started_ms,
        )

    def start(self, run: Run, now_ms: int) -> StartOrder | None:
        """Create the start order of a run whose record is stored.

        A run that can't start any more is marked to be stopped.

        :param now_ms: current monotonic time, in ms.
        :returns: order to send, ``None`` if the run must not start.
        """
        server = self._state.server_by_id.get(run.server_id)
        job = self._state.job_by_id.get(run.key.task.job_id)
        if server is None or job is None or run.stopping:
            return None
        if run.key not in server.run_by_key or server.replaced:
            return None
        if (
            server.failing_since_ms is not None
            or run.server_id in self._state.withheld_servers
        ):
            # A start extends the lease. On a silent server it would delay the
            # restart of all its tasks elsewhere.
            run.stopping = True
            return None
        queue = self._state.queue_of(job)
        if self._may_not_start(server, queue):
            # A drain, an evacuation or a configuration came after the run was
            # placed.
            run.stopping = True
            return None
        if not fits_resources(_NOTHING, server.free_resources):
            # The capacity has shrunk since the run was placed, and the server
            # may not check it.
            run.stopping = True
            return None
        step = server.step_by_run[run.key]
        ticket = self._state.tickets.ticket(step, run.incarnation, now_ms)
        if queue.advised and not ticket:
            # The ticket has expired and the server would refuse the start. The
            # task is placed again with a new ticket.
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

    def _may_not_start(self, server: Server, queue: QueueTerms) -> bool:
        entry = server.entry
        return (
            entry.draining
            or entry.failure_domain in self._state.terms.evacuated_domains
            or entry.service != queue.service
        )
