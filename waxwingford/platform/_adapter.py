"""The adapter as the product sees it: ports and a server for clients."""

import asyncio
import functools
from collections.abc import Callable

import logbook
import msgspec
from aiohttp import web

from waxwingford.platform._advice import AdviceService
from waxwingford.platform._calls import Calls
from waxwingford.platform._entry import Entry
from waxwingford.platform._records import (
    Configuration,
    decode_configuration,
)
from waxwingford.platform._registrations import Registrations
from waxwingford.platform._store import PlatformLog
from waxwingford.platform._workers import PlatformWorkers
from waxwingford.scheduling import ServerEntry, Terms
from waxwingford.shard import (
    CaughtUp,
    Mirror,
    ShardDesk,
    scheduler_platforms,
)

#: Longest wait for a new configuration, in ms: a connection that went silent
#: is noticed soon after, within the time in which it must be in force.
CONFIG_WAIT_MS = 500
#: Pause after a read that failed, in seconds.
FAILED_PAUSE_S = 0.1
_CONFIG_TOPIC = 'op'
_CONFIG_KEY = 'config'
_SERVERS_TOPIC = 'servers'

_log = logbook.Logger('platform')


class UsersPlatform:
    """Ports to the platform, and the entry of its clients."""

    def __init__(self, store_address: str, advice_address: str) -> None:
        """Prepare; no connection is opened yet.

        :param store_address: of the platform's store, IP number and port.
        :param advice_address: of the advice service, empty if there is none.
        """
        self._calls = Calls()
        self.advisor = AdviceService(self._calls, advice_address)
        self.log = PlatformLog(self._calls, store_address)
        self.runners = PlatformWorkers(self._calls)
        self._servers = Mirror(self.log, _SERVERS_TOPIC)
        self._registrations = Registrations()
        self._entry: Entry | None = None
        self._in_force: Configuration | None = None
        self._runner: web.ServerRunner | None = None

    async def entries(self) -> tuple[ServerEntry, ...] | None:
        """Read the registrations of all backend servers.

        :returns: them, ``None`` if the store can't be read.
        """
        if not isinstance(await self._servers.catch_up(), CaughtUp):
            return None
        return self._registrations.read(self._servers.payload_by_key)

    async def follow_terms(
        self, apply: Callable[[Terms], None], failed: Callable[[], None]
    ) -> None:
        """Follow the configuration for ever.

        :param apply: takes each one, never an older one.
        :param failed: called when it can't be read.
        """
        mirror = Mirror(self.log, _CONFIG_TOPIC)
        while True:
            read = await mirror.catch_up(CONFIG_WAIT_MS)
            raw = mirror.payload_by_key.get(_CONFIG_KEY)
            if not isinstance(read, CaughtUp):
                failed()
            if raw is None or not isinstance(read, CaughtUp):
                await asyncio.sleep(FAILED_PAUSE_S)
                continue
            self._put_in_force(_configuration_of(raw))
            if self._in_force is not None:
                apply(self._in_force.terms)

    def _put_in_force(self, configuration: Configuration | None) -> None:
        if configuration is None:
            return
        version = configuration.terms.version
        if self._in_force is None or version > self._in_force.terms.version:
            self._in_force = configuration
            self._entry.configuration = configuration
            _log.info('configuration', extra={'version': version})

    async def serve(self, desk: ShardDesk, endpoint: str) -> None:
        """Answer clients.

        :param desk: does what they ask.
        :param endpoint: IP number and port to listen at.
        """
        self._entry = Entry(desk)
        self._runner = web.ServerRunner(
            web.Server(self._entry.handle, access_log=None)
        )
        await self._runner.setup()
        host, port = endpoint.rsplit(':', 1)
        await web.TCPSite(self._runner, host, int(port)).start()

    def begin_closing(self) -> None:
        """Close each connection of a client after its next answer."""
        if self._entry is not None:
            self._entry.closing = True

    async def close(self) -> None:
        """Finish open requests, then close all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
        await self._calls.close()


@functools.lru_cache(maxsize=1)
def _configuration_of(raw: bytes) -> Configuration | None:
    # Kept, as the newest one is read twice a second until there is another.
    try:
        return decode_configuration(raw)
    except msgspec.MsgspecError as error:
        # The one before stays in force; another may come.
        _log.error('configuration not read', extra={'reason': str(error)})
        return None


@scheduler_platforms.register('waxwingford.platform')
def open_platform(store_address: str, advice_address: str) -> UsersPlatform:
    """Open the adapter.

    :param store_address: of the platform's store, IP number and port.
    :param advice_address: of the advice service, empty if there is none.
    :returns: the adapter.
    """
    return UsersPlatform(store_address, advice_address)
