"""Client for signed operator requests to the daemons of a local run."""

import asyncio
import time

import aiohttp

from waxwingford.bundles import sign_request
from waxwingford_standins.layout import DaemonPlace
from waxwingford_standins.local_run import LocalRun

_MS_PER_S = 1000
_RETRY_S = 0.3
_HTTP_TIMEOUT_S = 5
_MAX_ATTEMPTS = 20
ACCEPTED_STATUSES = frozenset((200, 201, 202))
_FINAL_STATUSES = ACCEPTED_STATUSES | {400, 409, 413, 422}


class Operator:
    """Client that signs requests with the keys of the run's members."""

    def __init__(self, local_run: LocalRun) -> None:
        """Create a client for a run.

        :param local_run: run that provides the keys and addresses.
        """
        self._run = local_run

    async def post_until_final(
        self, member: str, daemon: DaemonPlace, path: str, body: bytes = b''
    ) -> tuple[int, str]:
        """Send a signed request until a final response arrives.

        Retries go to daemons of the same failure domain, whose stream
        deduplicates repeated submissions.

        :param member: member whose key signs the request.
        :param daemon: daemon to try first.
        :returns: status and text of the last response; status 0 if there was
            none.
        """
        others = [
            target
            for target in self._run.layout.daemons
            if target.failure_domain == daemon.failure_domain
            and target != daemon
        ]
        candidates = [daemon, *others]
        status, reply = 0, ''
        for attempt in range(_MAX_ATTEMPTS):
            target = candidates[attempt % len(candidates)]
            status, reply = await self.post(member, target, path, body)
            if status in _FINAL_STATUSES:
                break
            await asyncio.sleep(_RETRY_S)
        return status, reply

    async def post(
        self, member: str, daemon: DaemonPlace, path: str, body: bytes = b''
    ) -> tuple[int, str]:
        """Send a signed request once.

        :param member: member whose key signs the request.
        :returns: status and text of the response; status 0 and the error if
            there was none.
        """
        headers = sign_request(
            self._run.key_by_member[member],
            member,
            'POST',
            path,
            body,
            int(time.time() * _MS_PER_S),
        )
        try:
            async with self._run.switches.client.post(
                f'{daemon.url}{path}',
                data=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(total=_HTTP_TIMEOUT_S),
            ) as answer:
                return answer.status, await answer.text()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return 0, f'{type(error).__name__}: {error}'
