"""Learned policy without attribution by sample time, to show what it buys."""

import dataclasses

from waxwingford.colocation import LearnedPolicy
from waxwingford.placement import Reaction, RunningTask, ServerView
from waxwingford.ports import Resources, UsageSample


class ArrivalAttribution(LearnedPolicy):
    """Takes every sample to be about what runs when it arrives."""

    def __init__(self, *arguments: object) -> None:
        """Set up as the learned policy.

        :param arguments: see :class:`LearnedPolicy`.
        """
        super().__init__(*arguments)
        self._running_by_server: dict[str, tuple[RunningTask, ...]] = {}

    def observe(
        self,
        server_id: str,
        sample: UsageSample,
        received_ms: int,
        kind_by_task_id: dict[str, str],
    ) -> None:
        """Learn from a sample as if it were of now.

        :param server_id: where it was taken.
        :param sample: the sample.
        :param received_ms: when it arrived.
        :param kind_by_task_id: batch kind of the tasks in it.
        """
        running = self._running_by_server.get(server_id, ())
        present = dataclasses.replace(
            sample,
            running=tuple(task.key for task in running),
            used_by_task_id={task.key.task_id: _use(task) for task in running},
        )
        super().observe(server_id, present, received_ms, kind_by_task_id)

    def react(self, servers: list[ServerView], now_ms: int) -> list[Reaction]:
        """Remember what runs, and react.

        :param servers: the servers that this daemon holds.
        :param now_ms: monotonic time.
        :returns: decisions about running attempts.
        """
        for server in servers:
            self._running_by_server[server.server_id] = server.running
        return super().react(servers, now_ms)


def _use(task: RunningTask) -> Resources:
    given = task.resources
    milli = given.processors_milli
    return given._replace(
        processors_milli=milli // 2 if task.throttled else milli,
    )
