"""Rows of the result table, and polling of conditions."""

import asyncio
import statistics
import time
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

MS_PER_S = 1000


class Row(NamedTuple):
    """One row of the result table.

    :ivar case: name of the case.
    :ivar leases: name of the lease settings.
    :ivar what: name of the measurement, with its unit.
    :ivar samples: all samples, in that unit.
    """

    case: str
    leases: str
    what: str
    samples: list[float]

    def format_line(self) -> str:
        """Format the row as a line of a Markdown table.

        :returns: the line, without a newline.
        """
        figures = '- | -'
        if self.samples:
            median = statistics.median(self.samples)
            figures = f'{median:.2f} | {max(self.samples):.2f}'
        return (
            f'| {self.case} | {self.leases} | {self.what} '
            f'| {len(self.samples)} | {figures} |'
        )


class MeasurementFailed(Exception):
    """The deployment did not reach a state that the measurement needs."""


async def wait_until(
    check: Callable[[], Any], timeout_s: float, interval_s: float = 0.02
) -> Any:
    """Poll until a condition returns something true.

    :param check: coroutine function to poll.
    :param timeout_s: timeout in seconds.
    :param interval_s: pause between polls, in seconds.
    :returns: first true result.
    :raises MeasurementFailed: after the timeout.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        found = await check()
        if found:
            return found
        await asyncio.sleep(interval_s)
    raise MeasurementFailed(
        f'{check.__qualname__}: not true within {timeout_s} s'
    )


def now_ms() -> float:
    """Read the monotonic clock that all processes of a machine share.

    :returns: time in milliseconds.
    """
    return time.monotonic() * MS_PER_S


def round_samples(samples: Sequence[float]) -> list[float]:
    """Round samples for the JSON output.

    :param samples: samples in any unit.
    :returns: samples rounded to two decimal places.
    """
    return [round(sample, 2) for sample in samples]
