"""Ablation of the learned policy: no attribution by sample time."""

import dataclasses

from waxwingford.colocation import LearnedPolicy
from waxwingford.placement import Reaction, RunningTask, ServerView
from waxwingford.ports import Resources, UsageSample


class ArrivalAttribution(LearnedPolicy):
    """Attributes every sample to the tasks that run when it arrives."""

    def __init__(self, *arguments: object) -> None:
        """Initialise the learned policy.

        :param arguments: passed on to :class:`LearnedPolicy`.
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
        """Learn from a sample as if it had been taken on arrival.

        :param server_id: server on which the sample was taken.
        :param sample: usage of the server and its tasks.
        :param received_ms: monotonic time of its arrival, in milliseconds.
        :param kind_by_task_id: batch kind of each task in the sample.
        """
        running = self._running_by_server.get(server_id, ())
        present = dataclasses.replace(
            sample,
            running=tuple(task.key for task in running),
            used_by_task_id={task.key.task_id: _use(task) for task in running},
        )
        super().observe(server_id, present, received_ms, kind_by_task_id)

    def react(self, servers: list[ServerView], now_ms: int) -> list[Reaction]:
        """Record the running tasks, then react as the learned policy.

        :param servers: servers that this daemon holds.
        :param now_ms: monotonic time, in milliseconds.
        :returns: reactions for running attempts.
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
