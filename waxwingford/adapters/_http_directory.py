"""Port to the list of VMs over HTTP."""

import msgspec

from waxwingford.adapters._sessions import (
    NoAnswer,
    NotSent,
    Session,
    WholeAnswer,
)
from waxwingford.adapters._wire import decode_vm_list
from waxwingford.ports import VmList, VmListUnavailable

_CONNECTIONS = 2
_OK = 200


class HttpDirectory:
    """Reads the platform's list of VMs."""

    def __init__(self, url: str, timeout_ms: int) -> None:
        """Prepare; nothing is sent yet.

        :param url: base URL.
        :param timeout_ms: for each read, in milliseconds.
        """
        self._url = f'{url.rstrip("/")}/v1/vms'
        self._timeout_ms = timeout_ms
        self._session = Session(_CONNECTIONS)

    async def read(self) -> VmList | VmListUnavailable:
        """Read the list.

        :returns: tagged outcome.
        """
        exchange = await self._session.exchange(
            'GET', self._url, self._timeout_ms
        )
        match exchange:
            case WholeAnswer(status=status, body=body):
                return _list_outcome(status, body)
            case NotSent(reason) | NoAnswer(reason):
                return VmListUnavailable(reason)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


def _list_outcome(status: int, body: bytes) -> VmList | VmListUnavailable:
    if status != _OK:
        return VmListUnavailable(f'list answered {status}')
    try:
        return decode_vm_list(body)
    except msgspec.DecodeError as error:
        return VmListUnavailable(f'unreadable list: {error}')
