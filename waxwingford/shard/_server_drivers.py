"""Drivers of all backend servers that the owner of a shard uses."""

import random

from waxwingford.scheduling import (
    Batch,
    Engine,
    Pace,
    Server,
    Start,
    Stop,
)
from waxwingford.shard._clocks import monotonic_ms
from waxwingford.shard._drivers import ServerDriver
from waxwingford.shard._order_sender import DriverPorts
from waxwingford.shard._registration_port import RegistrationSource

#: An owner is cut off if more than half of the servers that have tasks have not
#: answered for this time, in ms, which is shorter than a lease. With fewer servers
#: than this minimum it is never taken for cut off.
MIN_SERVERS_WITH_TASKS = 4
UNREACHABLE_AFTER_MS = 1200
#: Idle servers that are polled at a time while others don't answer.
PROBED_SERVERS = 2


class ServerDrivers:
    """Keeps a driver for each backend server that the engine knows."""

    def __init__(
        self,
        engine: Engine,
        ports: DriverPorts,
        directory: RegistrationSource,
    ) -> None:
        self._engine = engine
        self._ports = ports
        self._directory = directory
        self._driver_by_server: dict[str, ServerDriver] = {}
        # Servers at the latest update, empty if one had no address.
        self._updated_servers: list[Server] = []

    @property
    def cut_off(self) -> bool:
        """Check whether another daemon may reach more servers than this one.

        An owner in a partitioned failure domain may still reach the store and
        keep the shard, while tasks on the servers outside lose their leases.

        :returns: whether most servers that have tasks don't answer.
        """
        now_ms = monotonic_ms()
        with_tasks = [
            server
            for server in self._engine.state.server_by_id.values()
            if server.registered and server.run_by_key
        ]
        unreachable = [
            server
            for server in with_tasks
            if server.failing_since_ms is not None
            and now_ms - server.failing_since_ms >= UNREACHABLE_AFTER_MS
        ]
        return (
            len(with_tasks) >= MIN_SERVERS_WITH_TASKS
            and len(unreachable) > len(with_tasks) / 2
        )

    async def register(self) -> None:
        """Read the registrations and create drivers for new servers."""
        entries = await self._directory.entries()
        if entries is None:
            return
        self._engine.register(entries, monotonic_ms())
        self._update_drivers()
        for driver in self._driver_by_server.values():
            if driver.server.claimed_ms:
                driver.wake()

    def probe_idle(self) -> None:
        """Poll some idle servers if others don't answer.

        Their answers tell whether the cause lies with those servers.
        """
        servers = self._engine.state.server_by_id.values()
        if not any(map(_seems_lost, servers)):
            return
        idle = [
            driver
            for driver in self._driver_by_server.values()
            if driver.server.failing_since_ms is None
            and not driver.server.run_by_key
        ]
        for driver in random.sample(idle, min(len(idle), PROBED_SERVERS)):
            driver.probing = True
            driver.wake()

    def send_orders(self) -> None:
        """Send orders that need no stored record, and update the drivers."""
        self._update_drivers()
        for order in self._engine.state.take_orders():
            driver = self._driver_by_server.get(order.server_id)
            match order:
                case Stop(_, key) if driver is not None:
                    driver.stop(key)
                case Pace() if driver is not None:
                    driver.pace(order)

    def send_starts(self, batch: Batch, starts: list[Start]) -> None:
        """Send the starts of a stored batch, and resume polls that wait for it.

        :param starts: starts in it that are still needed.
        """
        for start in starts:
            driver = self._driver_by_server.get(start.server_id)
            if driver is not None:
                driver.start(start.run)
        for end in batch.ends:
            driver = self._driver_by_server.get(end.incarnation.server_id)
            if driver is not None:
                driver.wake()

    def close(self) -> None:
        """Close all drivers."""
        for driver in self._driver_by_server.values():
            driver.close()
        self._driver_by_server.clear()
        self._updated_servers = []

    def _update_drivers(self) -> None:
        """Keep one driver for the current incarnation of each server."""
        server_by_id = self._engine.state.server_by_id
        servers = list(server_by_id.values())
        if servers == self._updated_servers:
            return
        for server_id, driver in list(self._driver_by_server.items()):
            if server_by_id.get(server_id) is not driver.server:
                self._driver_by_server.pop(server_id).close()
        for server_id, server in server_by_id.items():
            has_driver = server_id in self._driver_by_server
            if not has_driver and server.entry.endpoint:
                self._driver_by_server[server_id] = ServerDriver(
                    server, self._engine, self._ports
                )
        complete = len(self._driver_by_server) == len(servers)
        self._updated_servers = servers if complete else []


def _seems_lost(server: Server) -> bool:
    # A server without a registration isn't polled, so it never fails.
    unlisted = not server.entry.endpoint and bool(server.run_by_key)
    return unlisted or server.failing_since_ms is not None
