"""Long work in several turns of the event loop."""

import asyncio
from collections.abc import Iterable

#: Tasks that are gone over in one turn.
TASKS_OF_TURN = 500


async def run_in_turns(parts: Iterable[int]) -> None:
    """Do work in parts, and let the rest of the process go on in between.

    :param parts: does a part each time it is advanced, and yields the number of tasks
        that it went over.
    """
    tasks = 0
    for part in parts:
        tasks += part
        if tasks >= TASKS_OF_TURN:
            tasks = 0
            await asyncio.sleep(0)


__all__ = ('run_in_turns',)
