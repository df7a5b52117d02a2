"""Drivers of all backend servers of an owner."""

from typing import Protocol

from waxwingford.scheduling import (
    Batch,
    Engine,
    Pace,
    ServerEntry,
    Start,
    Stop,
)
from waxwingford.shard._drivers import DriverPorts, ServerDriver
from waxwingford.shard._times import steady_ms

#: More than half of the servers with tasks, of so many at least, have to be
#: silent for so long, in ms, for the owner to be cut off; leases last longer.
LEAST_HELD = 4
CUT_OFF_MS = 1200


class ServerDirectory(Protocol):
    """Registrations of backend servers, as the owner needs them."""

    async def entries(self) -> tuple[ServerEntry, ...] | None:
        """Read all registrations.

        :returns: them, ``None`` if they can't be read now.
        """
        ...


class Fleet:
    """Keeps a driver for each server of the engine."""

    def __init__(
        self,
        engine: Engine,
        ports: DriverPorts,
        directory: ServerDirectory,
    ) -> None:
        """Start without drivers.

        :param engine: decides.
        :param ports: what drivers need besides.
        :param directory: registrations of the servers.
        """
        self._engine = engine
        self._ports = ports
        self._directory = directory
        self._driver_by_server: dict[str, ServerDriver] = {}

    @property
    def cut_off(self) -> bool:
        """Tell whether another daemon may reach more servers than this one.

        An owner in a failure domain that is cut off from the others still has
        the store. It would stay, while the tasks on all servers outside lose
        their leases.

        :returns: whether most servers with tasks don't answer.
        """
        now_ms = steady_ms()
        held = [
            server
            for server in self._engine.book.server_by_id.values()
            if server.listed and server.run_by_key
        ]
        silent = [
            server
            for server in held
            if server.failing_ms is not None
            and now_ms - server.failing_ms >= CUT_OFF_MS
        ]
        return len(held) >= LEAST_HELD and len(silent) > len(held) / 2

    async def register(self) -> None:
        """Read the registrations and keep drivers for them."""
        entries = await self._directory.entries()
        if entries is None:
            return
        self._engine.register(entries, steady_ms())
        for server_id, server in self._engine.book.server_by_id.items():
            known = server_id in self._driver_by_server
            if not known and server.entry.endpoint:
                self._driver_by_server[server_id] = ServerDriver(
                    server, self._engine, self._ports
                )

    def send_orders(self) -> None:
        """Send the orders that need no record; close drivers without use."""
        for order in self._engine.book.take_orders():
            driver = self._driver_by_server.get(order.server_id)
            match order:
                case Stop(_, key) if driver is not None:
                    driver.stop(key)
                case Pace() if driver is not None:
                    driver.pace(order)
        for server_id in list(self._driver_by_server):
            if server_id not in self._engine.book.server_by_id:
                self._driver_by_server.pop(server_id).close()

    def act_on(self, batch: Batch, starts: list[Start]) -> None:
        """Do what had to wait for the store.

        :param batch: that is stored.
        :param starts: starts in it that are still wanted.
        """
        for start in starts:
            driver = self._driver_by_server.get(start.server_id)
            if driver is not None:
                driver.start(start.run)
        for seen in batch.ends:
            driver = self._driver_by_server.get(seen.server_id)
            if driver is not None:
                driver.wake()

    def close(self) -> None:
        """Stop talking to all servers."""
        for driver in self._driver_by_server.values():
            driver.close()
        self._driver_by_server.clear()
