"""Link of a daemon to the owner of its shard."""

import asyncio
import importlib
from typing import TYPE_CHECKING

from waxwingford.shard._intake import IntakeOutcome, IntakeRow
from waxwingford.shard._job_answers import JobAnswer

if TYPE_CHECKING:
    from waxwingford.shard._peers import OwnerCalls

#: Module that imports the libraries of calls between daemons.
CALLS_MODULE = 'waxwingford.shard._peers'


class OwnerLink:
    """Connection to the daemon that owns the shard.

    The libraries for it are imported with the first call, unless they were
    before: a daemon can serve callers without them.
    """

    def __init__(self) -> None:
        self._calls: OwnerCalls | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._calls is not None:
            self._calls.close()

    async def phase(self, endpoint: str, job_id: str) -> JobAnswer:
        """Ask the owner for the phase of a job.

        :param endpoint: IP address and port of the owner.
        """
        calls = await self._open_calls()
        return await calls.phase(endpoint, job_id)

    async def pending(self, endpoint: str, queue: str) -> int | None:
        """Ask the owner for the number of jobs that have not begun.

        :param endpoint: IP address and port of the owner.
        :returns: number of jobs, ``None`` without an answer of the owner.
        """
        calls = await self._open_calls()
        return await calls.pending(endpoint, queue)

    async def store(
        self, endpoint: str, row: IntakeRow, left_s: float
    ) -> IntakeOutcome:
        """Have the owner store a job or a cancellation.

        :param endpoint: IP address and port of the owner.
        :param left_s: time until the call has to end, in seconds.
        """
        clock = asyncio.get_running_loop().time
        until_s = clock() + left_s
        calls = await self._open_calls()
        return await calls.store(endpoint, row, until_s - clock())

    async def _open_calls(self) -> 'OwnerCalls':
        if self._calls is None:
            module = await asyncio.to_thread(
                importlib.import_module, CALLS_MODULE
            )
            self._calls = self._calls or module.OwnerCalls()
        return self._calls
