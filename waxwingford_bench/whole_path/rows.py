"""Rows of the table of whole paths, and how conditions are awaited."""

import asyncio
import statistics
import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

MS_IN_S = 1000


class Row(NamedTuple):
    """One line of the table.

    :ivar case: name of the case.
    :ivar leases: which lease settings.
    :ivar what: what was measured, with its unit.
    :ivar samples: all samples, in that unit.
    """

    case: str
    leases: str
    what: str
    samples: list[float]

    def line(self) -> str:
        """Write the line.

        :returns: a line of a markdown table, without its end.
        """
        figures = '- | -'
        if self.samples:
            median = statistics.median(self.samples)
            figures = f'{median:.2f} | {max(self.samples):.2f}'
        return (
            f'| {self.case} | {self.leases} | {self.what} '
            f'| {len(self.samples)} | {figures} |'
        )


class NotReached(Exception):
    """A condition did not come about before its cap."""


async def until(
    check: Callable[[], Any], cap_s: float, every_s: float = 0.02
) -> Any:
    """Poll until something true comes back.

    :param check: coroutine function.
    :param cap_s: give up after this time, in seconds.
    :param every_s: pause between polls, in seconds.
    :returns: what came back.
    :raises NotReached: at the cap.
    """
    until_s = time.monotonic() + cap_s
    while time.monotonic() < until_s:
        found = await check()
        if found:
            return found
        await asyncio.sleep(every_s)
    raise NotReached(f'{check.__qualname__}: not within {cap_s} s')


def now_ms() -> float:
    """Read the monotonic clock that all processes of a machine share.

    :returns: milliseconds.
    """
    return time.monotonic() * MS_IN_S


def spread(samples: Sequence[float]) -> list[float]:
    """Round samples for the raw output.

    :param samples: any.
    :returns: to two places.
    """
    return [round(sample, 2) for sample in samples]
