"""Client of simulated backend servers, with lost and delayed orders."""

import asyncio

from waxwingford.scheduling import (
    OrderAccepted,
    OrderNotSent,
    OrderOutcomeUnknown,
    PollResult,
    ServerReplaced,
)
from waxwingford.shard import TicketsIssued
from waxwingford.shard.tests.virtual_servers import (
    ANSWER_S,
    MS_PER_S,
    TIMEOUT_S,
    VirtualServer,
    VirtualServers,
)

#: Response time of the advice service: for a question, and more for each server in
#: it, in seconds.
ADVICE_BASE_S = 0.02
ADVICE_PER_SERVER_S = 0.005


class VirtualServerClient:
    """Connections of one daemon to all backend servers."""

    def __init__(self, fleet: VirtualServers, daemon_id: str):
        self._fleet = fleet
        self._daemon_id = daemon_id
        self.start_count = 0
        self.poll_count = 0
        #: Incarnation at the other end of the connection for polls, by server.
        self._peer_by_server = {}

    async def entries(self):
        await asyncio.sleep(ANSWER_S)
        if self._daemon_id in self._fleet.store.silent:
            return None
        return tuple(
            server.outdated_entry or server.entry
            for server in self._fleet.server_by_id.values()
            if server.registered
        )

    async def start(self, address, order):
        self.start_count += 1
        server = self._fleet.server_by_id[address.server_id]
        if server.starts_to_fail:
            server.starts_to_fail -= 1
            return OrderNotSent('no connection')
        return await self._order(address, VirtualServer.start, order)

    async def stop(self, address, run, fencing_token):
        return await self._order(
            address, VirtualServer.stop, run, fencing_token
        )

    async def pace(self, address, run, percent, fencing_token):
        await asyncio.sleep(ANSWER_S)
        return OrderAccepted(0)

    async def poll(self, address, order):
        self.poll_count += 1
        if self._fleet.call_cpu_s:
            timeout_s = order.wait_ms / MS_PER_S + TIMEOUT_S
            return await self._call_with_cpu_time(
                self._poll(address, order), timeout_s
            )
        return await self._poll(address, order)

    async def _poll(self, address, order):
        server = self._fleet.server_by_id[address.server_id]
        server.poll_count += 1
        peer = self._peer_by_server.pop(address.server_id, None)
        failure = await self._connect(server)
        if failure is not None:
            return failure
        if peer is not server or order.started_ms != server.started_ms:
            order = order._replace(acknowledged_end=0)
        end_count = len(server.ends)
        answer = server.poll(order)
        if (
            order.wait_ms
            and isinstance(answer, PollResult)
            and not answer.ended
        ):
            try:
                await asyncio.wait_for(
                    server.changed.wait(), order.wait_ms / MS_PER_S
                )
            except TimeoutError:
                end_count = len(server.ends)
            failure = await self._lost_connection(server)
            if failure is not None:
                return failure
            if end_count != len(server.ends) or server.run_by_task:
                answer = server.poll(order)
        self._peer_by_server[address.server_id] = server
        return answer

    async def _lost_connection(self, server):
        """Find what became of a call that was in progress.

        :returns: its outcome if the server can't answer any more, otherwise
            ``None``.
        """
        if server.resets and not self._is_partitioned(server):
            return OrderOutcomeUnknown('reset', connection_lost=True)
        reachable = await self._is_reachable(server)
        return None if reachable else OrderOutcomeUnknown('cut')

    async def advise(self, step_name, server_ids):
        await asyncio.sleep(
            ADVICE_BASE_S + ADVICE_PER_SERVER_S * len(server_ids)
        )
        tickets = {
            server_id: self._fleet.issue_ticket(server_id, step_name)
            for server_id in server_ids
        }
        return TicketsIssued(tickets, self._fleet.ticket_validity_ms)

    async def _call_with_cpu_time(self, call, timeout_s):
        """Make a call that takes processor time of the daemon.

        :returns: outcome of the call, unknown if the answer was read too late.
        """
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        # Blocks the event loop of the daemon.
        loop.stall(self._fleet.call_cpu_s)
        outcome = await call
        # Yields as a client that awaits the head and the body of a response.
        await asyncio.sleep(0)
        loop.stall(self._fleet.call_cpu_s)
        if loop.time() - sent_s > timeout_s:
            return OrderOutcomeUnknown('read too late')
        return outcome

    async def _order(self, address, order_method, *order_args):
        if self._fleet.call_cpu_s:
            call = self._carry_out(address, order_method, *order_args)
            return await self._call_with_cpu_time(call, TIMEOUT_S)
        return await self._carry_out(address, order_method, *order_args)

    async def _carry_out(self, address, order_method, *order_args):
        server = self._fleet.server_by_id[address.server_id]
        failure = await self._connect(server)
        if failure is not None:
            return failure
        if not server.up:
            return ServerReplaced()
        if self._fleet.random.random() < self._fleet.late_share:
            delay_s = self._fleet.random.uniform(*self._fleet.late_range_s)
            asyncio.get_running_loop().call_later(
                delay_s,
                _apply_late,
                server,
                order_method,
                order_args,
            )
            await asyncio.sleep(TIMEOUT_S)
            return OrderOutcomeUnknown('late')
        await asyncio.sleep(self._fleet.order_delay_s)
        # The next incarnation carries the order out if the server has restarted
        # under its id meanwhile.
        server = self._fleet.server_by_id[address.server_id]
        if not server.up:
            return OrderOutcomeUnknown('reset', connection_lost=True)
        return order_method(server, *order_args)

    async def _connect(self, server):
        """Connect to a server.

        :returns: outcome of the call if it fails here, otherwise ``None``.
        """
        if server.replaced and await self._is_successor_reachable(server):
            return ServerReplaced()
        if server.connect_timeout_s is not None:
            return await _fail_to_connect(server)
        if not await self._is_reachable(server):
            return OrderOutcomeUnknown('cut')
        return None

    async def _is_successor_reachable(self, server):
        await asyncio.sleep(ANSWER_S)
        return not self._is_partitioned(server)

    def _is_partitioned(self, server):
        return (self._daemon_id, server.server_id) in self._fleet.cut

    async def _is_reachable(self, server):
        await asyncio.sleep(ANSWER_S)
        cut = self._is_partitioned(server)
        if cut or not server.up:
            await asyncio.sleep(TIMEOUT_S)
            return False
        return True


async def _fail_to_connect(server):
    await asyncio.sleep(server.connect_timeout_s)
    return OrderNotSent('no connection')


def _apply_late(server, order_method, order_args):
    if server.fleet.late_orders_survive:
        server = server.fleet.server_by_id[server.server_id]
    if server.up:
        order_method(server, *order_args)
