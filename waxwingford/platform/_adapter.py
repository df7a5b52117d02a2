"""Adapter object: ports of the scheduler daemon and a server for clients."""

import asyncio
import functools
from collections.abc import Callable

import logbook

from waxwingford.http_server import HttpServer, ServerLimits
from waxwingford.inbound import Account
from waxwingford.platform._advice import PlatformAdviceClient
from waxwingford.platform._client_api import ClientApi
from waxwingford.platform._http_client import HttpClient
from waxwingford.platform._records import (
    Configuration,
    decode_configuration,
    evacuated_domains,
)
from waxwingford.platform._registrations import Registrations
from waxwingford.platform._store import PlatformLog
from waxwingford.platform._workers import PlatformWorkers
from waxwingford.scheduling import ServerEntry, Terms
from waxwingford.shard import (
    CaughtUp,
    Mirror,
    ShardFrontend,
    scheduler_platforms,
)

#: Maximum time of a long poll for a new configuration, in ms: bounds the delay
#: before an unresponsive connection is detected.
CONFIG_WAIT_MS = 500
RETRY_DELAY_S = 0.1
_CONFIG_TOPIC = 'op'
_CONFIG_KEY = 'config'
_SERVERS_TOPIC = 'servers'

_log = logbook.Logger('platform')


class UsersPlatform:
    """Ports to the platform, and the HTTP API for its clients."""

    def __init__(self, store_address: str, advice_address: str) -> None:
        self._http_client = HttpClient()
        self.traffic_by_call = self._http_client.traffic.by_call
        self.advice_client = PlatformAdviceClient(
            self._http_client, advice_address
        )
        self.log = PlatformLog(self._http_client, store_address)
        self.backend_client = PlatformWorkers(self._http_client)
        self._servers = Mirror(self.log, _SERVERS_TOPIC)
        self._registrations = Registrations()
        self._client_api: ClientApi | None = None
        self._configuration: Configuration | None = None
        self._server: HttpServer | None = None

    async def entries(self) -> tuple[ServerEntry, ...] | None:
        """Read the registrations of all backend servers.

        :returns: the newest valid registration of each server, ``None`` if the
            store can't be read.
        """
        # Not part of the records: a server that is missing in it may follow.
        read = await self._servers.read_to_end()
        if not isinstance(read, CaughtUp):
            return None
        return self._registrations.read(
            self._servers.payload_by_key, read.changed
        )

    async def follow_configuration(
        self, apply: Callable[[Terms], None], failed: Callable[[], None]
    ) -> None:
        """Read the configuration from the store until cancelled.

        :param apply: called with the newest configuration after each
            successful read; versions never decrease.
        :param failed: called after each failed read.
        """
        mirror = Mirror(self.log, _CONFIG_TOPIC)
        while True:
            outcome = await mirror.catch_up(CONFIG_WAIT_MS)
            if mirror.behind:
                outcome = await mirror.read_to_end()
            raw = mirror.payload_by_key.get(_CONFIG_KEY)
            if not isinstance(outcome, CaughtUp):
                failed()
            if raw is None or not isinstance(outcome, CaughtUp):
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._apply_configuration(_try_decode(raw))
            if self._configuration is not None:
                domains = evacuated_domains(mirror.payload_by_key)
                terms = self._configuration.terms
                apply(terms._replace(evacuated_domains=domains))

    def _apply_configuration(self, configuration: Configuration | None) -> None:
        if configuration is None:
            return
        version = configuration.terms.version
        if (
            self._configuration is None
            or version > self._configuration.terms.version
        ):
            self._configuration = configuration
            if self._client_api is not None:
                self._client_api.configuration = configuration
            _log.info('configuration', extra={'version': version})

    async def serve(
        self,
        frontend: ShardFrontend,
        endpoint: str,
        account: Account | None = None,
    ) -> None:
        """Start the HTTP server for clients.

        :param endpoint: IP address and port to listen on.
        :param account: budget of all connections of clients, ``None`` for no bound.
        """
        self._client_api = ClientApi(frontend)
        self._client_api.configuration = self._configuration
        limits = ServerLimits(body_bytes=self._client_api.max_body_bytes)
        self._server = HttpServer(self._client_api.handle, limits, account)
        await self._server.serve(endpoint)

    def start_draining(self) -> None:
        """Close each client connection after its next response."""
        if self._client_api is not None:
            self._client_api.closing = True

    async def close(self) -> None:
        """Complete open requests, then close all connections."""
        if self._server is not None:
            await self._server.close()
        await self._http_client.close()


@functools.lru_cache(maxsize=1)
def _try_decode(raw: bytes) -> Configuration | None:
    # Cached, as the same configuration is returned by each long poll until the
    # next version is written.
    try:
        return decode_configuration(raw)
    except Exception as error:
        # Any error: the previous configuration stays in force.
        _log.error('configuration not read', extra={'reason': str(error)})
        return None


@scheduler_platforms.register('waxwingford.platform')
def open_platform(store_address: str, advice_address: str) -> UsersPlatform:
    """Create the adapter; no connection is opened yet.

    :param store_address: IP address and port of the platform's store.
    :param advice_address: IP address and port of the advice service, empty if
        there is none.
    """
    return UsersPlatform(store_address, advice_address)
