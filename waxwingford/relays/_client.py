"""Client of the backend servers that shares its calls among relays."""

import asyncio

from waxwingford.relays._demand import RelayDemand
from waxwingford.relays._messages import (
    Call,
    PaceCall,
    PollCall,
    StartCall,
    StopCall,
)
from waxwingford.relays._pool import RelayLink, RelayPool
from waxwingford.scheduling import (
    Address,
    BackendClient,
    OrderNotSent,
    OrderOutcome,
    OrderOutcomeUnknown,
    PollOrder,
    PollOutcome,
    RunKey,
    StartOrder,
)

_MS_PER_S = 1000
#: Time for an order by way of a relay, in seconds: that of an order, and what
#: two hops between daemons may take.
ORDER_TIMEOUT_S = 1.0
#: The same for a poll, in addition to its hold time.
POLL_TIMEOUT_S = 1.2
#: Time in seconds for which a server is called directly after a call by way of a
#: relay had no answer, as the relay may be the one that doesn't reach it.
DIRECT_AFTER_FAILURE_S = 5.0
#: Bytes of a request beside its payload, about.
_REQUEST_BYTES = 250


class RelayingClient:
    """Calls backend servers directly, or by way of relays under load.

    :ivar spared_bytes: total of the bytes that relays have sent in its place.
    """

    def __init__(
        self, direct: BackendClient, pool: RelayPool, demand: RelayDemand
    ) -> None:
        """Use relays of a pool while they are needed.

        :param direct: client that calls servers from this daemon.
        """
        self.spared_bytes = 0
        self._direct = direct
        self._pool = pool
        self._demand = demand
        self._direct_until_s_by_server: dict[str, float] = {}

    async def start(self, address: Address, order: StartOrder) -> OrderOutcome:
        """Send a start order once, without retries."""
        relay = None
        if self._relays_needed(address):
            relay = self._pool.choose_for_start(order.run.task.job_id)
        if relay is None:
            return await self._direct.start(address, order)
        self.spared_bytes += len(order.payload)
        call = StartCall(
            self._pool.next_number(),
            address,
            order.run,
            order.lease_until_ms,
            order.fencing_token,
            order.checkpoint,
            order.ticket,
        )
        return await self._relay(
            relay, address, call, ORDER_TIMEOUT_S, order.payload
        )

    async def stop(
        self, address: Address, run: RunKey, fencing_token: int
    ) -> OrderOutcome:
        """Stop a run; the server also refuses a start that arrives later.

        :param fencing_token: fencing token of the shard's owner.
        """
        relay = self._choose(address)
        if relay is None:
            return await self._direct.stop(address, run, fencing_token)
        call = StopCall(self._pool.next_number(), address, run, fencing_token)
        return await self._relay(relay, address, call, ORDER_TIMEOUT_S)

    async def pace(
        self, address: Address, run: RunKey, percent: int, fencing_token: int
    ) -> OrderOutcome:
        """Limit the speed of a run.

        :param percent: limit from 0 to 100 percent of full speed.
        :param fencing_token: fencing token of the shard's owner.
        """
        relay = self._choose(address)
        if relay is None:
            return await self._direct.pace(address, run, percent, fencing_token)
        call = PaceCall(
            self._pool.next_number(), address, run, percent, fencing_token
        )
        return await self._relay(relay, address, call, ORDER_TIMEOUT_S)

    async def poll(self, address: Address, order: PollOrder) -> PollOutcome:
        """Poll a server and extend its lease.

        :returns: runs and ends that the server lists, or why there are none.
        """
        relay = self._choose(address)
        if relay is None:
            return await self._direct.poll(address, order)
        call = PollCall(self._pool.next_number(), address, order)
        timeout_s = POLL_TIMEOUT_S + order.wait_ms / _MS_PER_S
        return await self._relay(relay, address, call, timeout_s)

    def _choose(self, address: Address) -> RelayLink | None:
        if not self._relays_needed(address):
            return None
        return self._pool.choose(address.server_id)

    def _relays_needed(self, address: Address) -> bool:
        now_s = asyncio.get_running_loop().time()
        self._demand.update(now_s)
        direct_until_s = self._direct_until_s_by_server.get(address.server_id)
        if direct_until_s is not None and now_s < direct_until_s:
            return False
        self._direct_until_s_by_server.pop(address.server_id, None)
        return self._demand.needed

    async def _relay(
        self,
        relay: RelayLink,
        address: Address,
        call: Call,
        timeout_s: float,
        payload: str = '',
    ) -> OrderOutcome | PollOutcome:
        self.spared_bytes += _REQUEST_BYTES
        outcome = await relay.call(call, timeout_s, payload)
        if isinstance(outcome, OrderNotSent | OrderOutcomeUnknown):
            self._direct_until_s_by_server[address.server_id] = (
                asyncio.get_running_loop().time() + DIRECT_AFTER_FAILURE_S
            )
        return outcome
