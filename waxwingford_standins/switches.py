"""Faults and audits of the stand-ins of one local run, over HTTP."""

import pathlib
from collections.abc import Iterable
from typing import Any

import aiohttp

from waxwingford.adapters import encode_json
from waxwingford_standins.layout import HOST, PLATFORM, Layout
from waxwingford_standins.run_certificates import client_ssl_context

_HTTP_TIMEOUT_S = 5
_OK = 200


class Switches:
    """Speaks to the administration ports of the stand-ins.

    :ivar platform_url: base URL of the platform, past the relay.
    :ivar tls: how callers of the daemons check certificates.
    """

    def __init__(
        self, layout: Layout, authorities: Iterable[pathlib.Path] = ()
    ) -> None:
        """Prepare; nothing is sent yet.

        :param layout: addresses.
        :param authorities: of the daemons' certificates; none without TLS.
        """
        self.platform_url = f'http://{HOST}:{layout.platform_port}'
        self._backends_url = f'http://{HOST}:{layout.backend_admin_port}'
        self._relay_url = f'http://{HOST}:{layout.relay_admin_port}'
        self.tls = client_ssl_context(authorities)
        self._client: aiohttp.ClientSession | None = None

    @property
    def client(self) -> aiohttp.ClientSession:
        """HTTP session for switches, audits and polls.

        :returns: the session, opened with the first use.
        """
        if self._client is None:
            self._client = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(ssl=self.tls),
                timeout=aiohttp.ClientTimeout(total=_HTTP_TIMEOUT_S),
            )
        return self._client

    async def close(self) -> None:
        """Close the session."""
        if self._client is not None:
            await self._client.close()
            self._client = None

    async def platform_fault(self, **switches: Any) -> None:
        """Set switches of the log and the list.

        :param switches: fields of PlatformFault.
        """
        await self._post(f'{self.platform_url}/fault', switches)

    async def server_fault(self, **switches: Any) -> None:
        """Set switches of backend servers.

        :param switches: fields of ServerFault.
        """
        await self._post(f'{self._backends_url}/fault', switches)

    async def isolate(self, *domains: str) -> None:
        """Cut failure domains off; without any, heal the partition.

        :param domains: their names.
        """
        await self._post(
            f'{self._relay_url}/fault', {'isolated': list(domains)}
        )

    async def cut_log_off(self, *domains: str) -> None:
        """Cut the platform off for failure domains that still reach peers.

        :param domains: their names; none heals.
        """
        pairs = [(domain, PLATFORM) for domain in domains]
        await self._post(
            f'{self._relay_url}/fault', {'isolated': [], 'cut': pairs}
        )

    async def server_audit(self) -> bytes:
        """Ask the backend servers what ran.

        :returns: JSON array of ServerAudit, empty without an answer.
        """
        return await self._get_body(f'{self._backends_url}/audit')

    async def platform_audit(self) -> bytes:
        """Ask the platform what it counted.

        :returns: JSON of PlatformCounts, empty without an answer.
        """
        return await self._get_body(f'{self.platform_url}/audit')

    async def get(self, url: str) -> tuple[int, str]:
        """Read a URL.

        :param url: full URL.
        :returns: status, 0 without an answer, and text.
        """
        try:
            async with self.client.get(url) as answer:
                return answer.status, await answer.text()
        except (aiohttp.ClientError, TimeoutError) as error:
            return 0, f'{type(error).__name__}: {error}'

    async def _get_body(self, url: str) -> bytes:
        status, text = await self.get(url)
        return text.encode() if status == _OK else b''

    async def _post(self, url: str, content: Any) -> None:
        async with self.client.post(url, data=encode_json(content)) as answer:
            answer.raise_for_status()
