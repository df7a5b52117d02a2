"""What the scheduler needs of a platform, and the registry of adapters."""

from collections.abc import Callable
from typing import Protocol

from waxwingford.kernel import Registry
from waxwingford.scheduling import TaskRunners, Terms
from waxwingford.shard._advice_asker import Advisor
from waxwingford.shard._desk import ShardDesk
from waxwingford.shard._fleet import ServerDirectory
from waxwingford.shard._log_port import SharedLog


class SchedulerPlatform(ServerDirectory, Protocol):
    """An adapter to a platform.

    :ivar log: shared log.
    :ivar runners: way to backend servers.
    :ivar advisor: way to the advice service.
    """

    log: SharedLog
    runners: TaskRunners
    advisor: Advisor

    async def follow_terms(
        self, apply: Callable[[Terms], None], failed: Callable[[], None]
    ) -> None:
        """Follow the configuration for ever.

        :param apply: takes each one, never an older one.
        :param failed: called when it can't be read.
        """
        ...

    async def serve(self, desk: ShardDesk, endpoint: str) -> None:
        """Answer callers.

        :param desk: does what they ask.
        :param endpoint: IP number and port to listen at.
        """
        ...

    def begin_closing(self) -> None:
        """Close each connection of a caller after its next answer."""
        ...

    async def close(self) -> None:
        """Finish open requests, then close all connections."""
        ...


#: Adapters by the name in the settings, each opened with the addresses of the
#: store and of the advice service, the latter empty if there is none.
scheduler_platforms: Registry[Callable[[str, str], SchedulerPlatform]] = (
    Registry('platform of the scheduler')
)
