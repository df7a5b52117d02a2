"""Way of a daemon to backend servers in memory, with lost and late orders."""

import asyncio

from waxwingford.scheduling import (
    Looked,
    OrderNotSent,
    OrderTaken,
    OrderUnknown,
    ServerReplaced,
)
from waxwingford.shard import Advised
from waxwingford.shard.tests.virtual_servers import (
    ANSWER_S,
    MS_IN_S,
    TIMEOUT_S,
    VirtualServer,
    VirtualServers,
)

#: Time that the advice service takes for a question and for each server in it,
#: in seconds.
ADVICE_S = 0.02
ADVICE_EACH_S = 0.005


class ServersWay:
    """Way of one daemon to all backend servers."""

    def __init__(self, fleet: VirtualServers, daemon_id: str):
        self._fleet = fleet
        self._daemon_id = daemon_id

    async def entries(self):
        await asyncio.sleep(ANSWER_S)
        if self._daemon_id in self._fleet.store.silent:
            return None
        return tuple(
            server.entry
            for server in self._fleet.server_by_id.values()
            if server.listed
        )

    async def start(self, address, order):
        server = self._fleet.server_by_id[address.server_id]
        if server.starts_unsent:
            server.starts_unsent -= 1
            return OrderNotSent('no connection')
        return await self._order(address, VirtualServer.start, order)

    async def stop(self, address, run, fencing_token):
        return await self._order(
            address, VirtualServer.stop, run, fencing_token
        )

    async def pace(self, address, run, percent, fencing_token):
        await asyncio.sleep(ANSWER_S)
        return OrderTaken(0)

    async def look(self, address, order):
        if self._fleet.call_work_s:
            longest_s = order.wait_ms / MS_IN_S + TIMEOUT_S
            return await self._busy(self._look(address, order), longest_s)
        return await self._look(address, order)

    async def _look(self, address, order):
        server = self._fleet.server_by_id[address.server_id]
        server.looks += 1
        failure = await self._reach(server)
        if failure is not None:
            return failure
        known = len(server.ends)
        answer = server.look(order)
        if order.wait_ms and isinstance(answer, Looked) and not answer.ended:
            try:
                await asyncio.wait_for(
                    server.changed.wait(), order.wait_ms / MS_IN_S
                )
            except TimeoutError:
                known = len(server.ends)
            if not await self._reaches(server):
                return OrderUnknown('cut')
            if known != len(server.ends) or server.run_by_task:
                answer = server.look(order)
        return answer

    async def advise(self, step_name, server_ids):
        await asyncio.sleep(ADVICE_S + ADVICE_EACH_S * len(server_ids))
        tickets = {
            server_id: self._fleet.give_ticket(server_id, step_name)
            for server_id in server_ids
        }
        return Advised(tickets, self._fleet.ticket_ms)

    async def _busy(self, work, timeout_s):
        """Make a call on a processor that each call keeps for a while.

        :returns: its outcome; unknown if the answer was read too late.
        """
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        # Nothing else runs on the daemon's processor meanwhile.
        loop.stall(self._fleet.call_work_s)
        outcome = await work
        # As a client does that reads head and body as they come.
        await asyncio.sleep(0)
        loop.stall(self._fleet.call_work_s)
        if loop.time() - sent_s > timeout_s:
            return OrderUnknown('read too late')
        return outcome

    async def _order(self, address, act, *details):
        if self._fleet.call_work_s:
            work = self._carry_out(address, act, *details)
            return await self._busy(work, TIMEOUT_S)
        return await self._carry_out(address, act, *details)

    async def _carry_out(self, address, act, *details):
        server = self._fleet.server_by_id[address.server_id]
        failure = await self._reach(server)
        if failure is not None:
            return failure
        if not server.up:
            return ServerReplaced()
        if self._fleet.random.random() < self._fleet.late_share:
            delay_s = self._fleet.random.uniform(2, 12)
            asyncio.get_running_loop().call_later(
                delay_s, _late, server, act, details
            )
            await asyncio.sleep(TIMEOUT_S)
            return OrderUnknown('late')
        await asyncio.sleep(self._fleet.order_s)
        return act(server, *details)

    async def _reach(self, server):
        """Open a connection.

        :returns: what a call ends with that can't be made, ``None`` if it can.
        """
        if server.replaced and await self._reaches_successor(server):
            return ServerReplaced()
        if server.connect_s is not None:
            return await _not_sent(server)
        if not await self._reaches(server):
            return OrderUnknown('cut')
        return None

    async def _reaches_successor(self, server):
        await asyncio.sleep(ANSWER_S)
        return not self._is_cut(server)

    def _is_cut(self, server):
        return (self._daemon_id, server.server_id) in self._fleet.cut

    async def _reaches(self, server):
        await asyncio.sleep(ANSWER_S)
        cut = self._is_cut(server)
        if cut or not server.up:
            await asyncio.sleep(TIMEOUT_S)
            return False
        return True


async def _not_sent(server):
    await asyncio.sleep(server.connect_s)
    return OrderNotSent('no connection')


def _late(server, act, details):
    if server.up:
        act(server, *details)
