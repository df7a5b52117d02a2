"""Interface of the scheduler to a platform, and the registry of adapters."""

from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from waxwingford.inbound import Account
from waxwingford.kernel import Registry
from waxwingford.scheduling import BackendClient, Terms
from waxwingford.shard._advice_port import AdviceClient
from waxwingford.shard._frontend import ShardFrontend
from waxwingford.shard._log_port import SharedLog
from waxwingford.shard._registration_port import RegistrationSource


class CallTraffic(NamedTuple):
    """Traffic of one kind of call.

    :ivar calls: requests sent, with those that got no response.
    :ivar sent_bytes: bytes of the requests, without those of TCP and IP.
    :ivar received_bytes: bytes of the responses, also incomplete ones.
    """

    calls: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


class SchedulerPlatform(RegistrationSource, Protocol):
    """Adapter to a platform.

    :ivar log: shared log that stores the shards.
    :ivar traffic_by_call: totals of calls to the platform, by kind of call.
    """

    log: SharedLog
    backend_client: BackendClient
    advice_client: AdviceClient
    traffic_by_call: Mapping[str, CallTraffic]

    async def follow_configuration(
        self, apply: Callable[[Terms], None], failed: Callable[[], None]
    ) -> None:
        """Follow the configuration until cancelled.

        :param apply: called with each configuration, never with an older version.
        :param failed: called when the configuration can't be read.
        """
        ...

    async def serve(
        self, frontend: ShardFrontend, endpoint: str, account: Account
    ) -> None:
        """Serve callers.

        :param endpoint: IP address and port to listen on.
        :param account: budget of all connections of callers.
        """
        ...

    def start_draining(self) -> None:
        """Close the connection of each caller after its next response."""
        ...

    async def close(self) -> None:
        """Finish open requests, then close all connections."""
        ...


#: Adapters by their name in the settings. Each is called with the addresses of the
#: store and of the advice service; the latter is empty if there is none.
scheduler_platforms: Registry[Callable[[str, str], SchedulerPlatform]] = (
    Registry('platform of the scheduler')
)
