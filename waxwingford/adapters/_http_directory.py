"""HTTP adapter of the VM list."""

import msgspec

from waxwingford.adapters._sessions import (
    CompleteResponse,
    HttpSession,
    NoResponse,
    NotSent,
)
from waxwingford.adapters._wire import decode_vm_list
from waxwingford.ports import VmList, VmListUnavailable

_MAX_CONNECTIONS = 2
_OK = 200


class HttpDirectory:
    """Client of the platform's VM list."""

    def __init__(self, url: str, timeout_ms: int) -> None:
        """Initialize without connecting.

        :param url: base URL.
        :param timeout_ms: timeout of each read, in milliseconds.
        """
        self._url = f'{url.rstrip("/")}/v1/vms'
        self._timeout_ms = timeout_ms
        self._session = HttpSession(_MAX_CONNECTIONS)

    async def read(self) -> VmList | VmListUnavailable:
        """Read the VM list."""
        exchange = await self._session.exchange(
            'GET', self._url, self._timeout_ms
        )
        match exchange:
            case CompleteResponse(status=status, body=body):
                return _list_outcome(status, body)
            case NotSent(reason) | NoResponse(reason):
                return VmListUnavailable(reason)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


def _list_outcome(status: int, body: bytes) -> VmList | VmListUnavailable:
    if status != _OK:
        return VmListUnavailable(f'VM list returned HTTP status {status}')
    try:
        return decode_vm_list(body)
    except msgspec.DecodeError as error:
        return VmListUnavailable(f'cannot decode VM list: {error}')
