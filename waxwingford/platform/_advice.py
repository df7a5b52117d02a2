"""The platform's advice service."""

from http import HTTPStatus

import msgspec

from waxwingford.platform._calls import Answer, Calls
from waxwingford.shard import Advised, NotAdvised

#: Time for an answer, in seconds: the service takes time for each server that
#: is named, and answers one call after the other.
ADVICE_TIMEOUT_S = 3.0
#: Validity of a ticket when the answer doesn't say, in ms.
DEFAULT_VALIDITY_MS = 1000


class _Advice(msgspec.Struct, rename='kebab'):
    # Rows of server and ticket.
    eligible: list[tuple[str, str]]
    validity_ms: int = DEFAULT_VALIDITY_MS


_decoder = msgspec.json.Decoder(_Advice)


class AdviceService:
    """Way to the advice service."""

    def __init__(self, calls: Calls, address: str) -> None:
        """Use connections.

        :param calls: to make calls with.
        :param address: of the service, empty if there is none.
        """
        self._calls = calls
        self._address = address

    async def advise(
        self, step_name: str, server_ids: tuple[str, ...]
    ) -> Advised | NotAdvised:
        """Ask which servers may run a step.

        :param step_name: of the step.
        :param server_ids: servers that might.
        :returns: the answer.
        """
        if not self._address:
            return NotAdvised('the settings name no advice service')
        content = {'step': step_name, 'workers': server_ids}
        outcome = await self._calls.post_json(
            self._address, '/api/advise', content, {}, ADVICE_TIMEOUT_S
        )
        if not isinstance(outcome, Answer):
            return NotAdvised(outcome.reason)
        if outcome.status != HTTPStatus.OK:
            return NotAdvised(f'status {outcome.status}')
        try:
            advice = _decoder.decode(outcome.body)
        except msgspec.MsgspecError as error:
            return NotAdvised(f'answer not understood: {error}')
        return Advised(dict(advice.eligible), advice.validity_ms)
