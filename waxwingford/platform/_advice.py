"""Client of the platform's advice service."""

from http import HTTPStatus

import msgspec

from waxwingford.platform._decoding import decode_json
from waxwingford.platform._http_client import HttpClient, HttpResponse
from waxwingford.shard import TicketsIssued, TicketsUnavailable

#: Timeout of a request, in seconds: the service handles requests one at a time,
#: in a time proportional to the number of servers in each.
ADVICE_TIMEOUT_S = 3.0
#: Validity of a ticket if the response does not specify one, in ms.
DEFAULT_VALIDITY_MS = 1000


class _Advice(msgspec.Struct, rename='kebab'):
    # Pairs of server id and ticket.
    eligible: list[tuple[str, str]]
    validity_ms: int = DEFAULT_VALIDITY_MS


_decoder = msgspec.json.Decoder(_Advice)


class PlatformAdviceClient:
    """Client of the advice service."""

    def __init__(self, http_client: HttpClient, address: str) -> None:
        """Create the client; no connection is opened yet.

        :param address: IP address and port of the service, empty if there is
            none.
        """
        self._http_client = http_client
        self._address = address

    async def advise(
        self, step_name: str, server_ids: tuple[str, ...]
    ) -> TicketsIssued | TicketsUnavailable:
        """Request the servers that may run a step."""
        if not self._address:
            return TicketsUnavailable('no advice service configured')
        content = {'step': step_name, 'workers': server_ids}
        outcome = await self._http_client.post_json(
            self._address, '/api/advise', content, {}, ADVICE_TIMEOUT_S
        )
        if not isinstance(outcome, HttpResponse):
            return TicketsUnavailable(outcome.reason)
        if outcome.status != HTTPStatus.OK:
            return TicketsUnavailable(f'status {outcome.status}')
        try:
            advice = decode_json(_decoder, outcome.body)
        except msgspec.MsgspecError as error:
            return TicketsUnavailable(f'response not decoded: {error}')
        return TicketsIssued(dict(advice.eligible), advice.validity_ms)
