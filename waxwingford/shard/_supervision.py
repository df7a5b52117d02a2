"""Limits what an unexpected error ends to the work in which it occurred.

Such an error may come from a record, a registration or an answer that the next
owner reads as well. If it ended the owner, it would end each successor in turn.
"""

import asyncio
from collections.abc import Callable, Coroutine

import logbook

from waxwingford.metrics import Metrics

#: Delay before a part that has failed runs again, in seconds; doubles up to the
#: maximum while the part goes on failing.
MIN_RESTART_DELAY_S = 0.05
MAX_RESTART_DELAY_S = 0.8
#: Run time in seconds after which a part counts as working again.
WORKING_AFTER_S = 2.0
#: Failures in succession, without such a run time, after which a part is given
#: up: about 6 s.
MAX_FAILURES = 12

_log = logbook.Logger('shard')

#: Starts a part; called again after each failure.
StartPart = Callable[[], Coroutine[None, None, None]]


class ErrorReport:
    """Logs and counts unexpected errors."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._count_by_place: dict[str, int] = {}

    def add(self, place: str, error: BaseException, **fields: object) -> None:
        """Report an error.

        All are counted. Only counts that are powers of two are logged, to bound
        the log volume.

        :param place: part of the program in which it occurred.
        :param fields: fields of the log line.
        """
        count = self._count_by_place.get(place, 0) + 1
        self._count_by_place[place] = count
        self._metrics.count('unexpected_errors_total', place=place)
        is_power_of_two = not count & (count - 1)
        if is_power_of_two:
            _log.error(
                'unexpected error',
                extra={'place': place, 'times': count, **fields},
                exc_info=(type(error), error, error.__traceback__),
            )

    def add_failed_task(self, task: asyncio.Task[None]) -> None:
        """Report the error of a task that has ended, if it has one."""
        if not task.cancelled() and task.exception() is not None:
            self.add(task.get_name(), task.exception())


class Supervisor:
    """Runs the parts of an owner or a daemon, and restarts those that fail."""

    def __init__(
        self, errors: ErrorReport, give_up: Callable[[str], None]
    ) -> None:
        """Create a supervisor without any part.

        :param give_up: called with the name of a part that goes on failing, as
            another process may be able to do its work.
        """
        self.errors = errors
        self._give_up = give_up
        self._tasks: list[asyncio.Task[None]] = []

    def spawn(self, name: str, start: StartPart) -> None:
        """Run a part until it returns or is cancelled.

        :param name: name of the part in logs and metrics.
        """
        task = asyncio.create_task(self._keep_running(name, start), name=name)
        self._tasks.append(task)

    def cancel(self) -> None:
        """Cancel all parts."""
        for task in self._tasks:
            task.cancel()

    async def _keep_running(self, name: str, start: StartPart) -> None:
        loop = asyncio.get_running_loop()
        failures = 0
        delay_s = MIN_RESTART_DELAY_S
        while True:
            started_s = loop.time()
            try:
                return await start()
            except Exception as error:
                self.errors.add(name, error)
            if loop.time() - started_s >= WORKING_AFTER_S:
                failures = 0
                delay_s = MIN_RESTART_DELAY_S
            failures += 1
            if failures >= MAX_FAILURES:
                return self._give_up(name)
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, MAX_RESTART_DELAY_S)
