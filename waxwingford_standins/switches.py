"""Client of the admin interfaces of the stand-ins of a local run."""

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
    """Injects faults into the stand-ins and reads their audits.

    :ivar platform_url: base URL of the platform, bypassing the relay.
    :ivar tls: TLS context for daemon URLs, or whether to verify certificates.
    """

    def __init__(
        self, layout: Layout, authorities: Iterable[pathlib.Path] = ()
    ) -> None:
        """Create a client without connecting.

        :param authorities: authorities of the daemons' certificates; empty
            without TLS.
        """
        self.platform_url = f'http://{HOST}:{layout.platform_port}'
        self._backends_url = f'http://{HOST}:{layout.backend_admin_port}'
        self._relay_url = f'http://{HOST}:{layout.relay_admin_port}'
        self.tls = client_ssl_context(authorities)
        self._client: aiohttp.ClientSession | None = None

    @property
    def client(self) -> aiohttp.ClientSession:
        """HTTP session, opened on first use."""
        if self._client is None:
            self._client = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(ssl=self.tls),
                timeout=aiohttp.ClientTimeout(total=_HTTP_TIMEOUT_S),
            )
        return self._client

    async def close(self) -> None:
        """Close the HTTP session."""
        if self._client is not None:
            await self._client.close()
            self._client = None

    async def platform_fault(self, **switches: Any) -> None:
        """Inject faults into the log and the VM list.

        :param switches: fields of ``PlatformFault``.
        """
        await self._post(f'{self.platform_url}/fault', switches)

    async def server_fault(self, **switches: Any) -> None:
        """Inject faults into backend servers.

        :param switches: fields of ``ServerFault``.
        """
        await self._post(f'{self._backends_url}/fault', switches)

    async def isolate(self, *domains: str) -> None:
        """Partition failure domains from everything outside them.

        :param domains: names of the failure domains; none heals the
            partition.
        """
        await self._post(
            f'{self._relay_url}/fault', {'isolated': list(domains)}
        )

    async def cut_log_off(self, *domains: str) -> None:
        """Partition failure domains from the platform only.

        :param domains: names of the failure domains; none heals the
            partition.
        """
        pairs = [(domain, PLATFORM) for domain in domains]
        await self._post(
            f'{self._relay_url}/fault', {'isolated': [], 'cut': pairs}
        )

    async def server_audit(self) -> bytes:
        """Read the audits of all backend servers.

        :returns: JSON array of ``ServerAudit``; empty if the request failed.
        """
        return await self._get_body(f'{self._backends_url}/audit')

    async def platform_audit(self) -> bytes:
        """Read the counters of the platform.

        :returns: JSON of ``PlatformCounts``; empty if the request failed.
        """
        return await self._get_body(f'{self.platform_url}/audit')

    async def get(self, url: str) -> tuple[int, str]:
        """Send a GET request.

        :param url: absolute URL.
        :returns: status and text of the response; status 0 and the error if
            there was none.
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
