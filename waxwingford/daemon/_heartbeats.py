"""Task that exchanges heartbeats with peers."""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from waxwingford.kernel import Clock
from waxwingford.peers import (
    HEARTBEAT_INTERVAL_MS,
    HeartbeatTargets,
    Membership,
    PeerClients,
    PeerHeartbeat,
)
from waxwingford.settings import PeerAddress

_MS_IN_S = 1000
_JITTER_FRACTION = 0.2
#: Interval of checks for released servers, in milliseconds.
_RELEASED_POLL_INTERVAL_MS = 100


class HeartbeatHooks(NamedTuple):
    """Callbacks of the heartbeat task.

    :ivar own_heartbeat: makes this daemon's heartbeat.
    :ivar on_heartbeat: called with each heartbeat of a peer.
    :ivar on_round: called after each round of exchanges.
    :ivar pop_released_servers: returns the servers released since its last
        call.
    """

    own_heartbeat: Callable[[], PeerHeartbeat]
    on_heartbeat: Callable[[PeerHeartbeat], None]
    on_round: Callable[[], None]
    pop_released_servers: Callable[[], tuple[str, ...]]


class HeartbeatTask:
    """Exchanges heartbeats with peers and updates the membership."""

    def __init__(
        self,
        *,
        links: PeerClients,
        membership: Membership,
        targets: HeartbeatTargets,
        clock: Clock,
        hooks: HeartbeatHooks,
    ) -> None:
        """Create the task without starting it.

        :param links: connections to peers.
        :param membership: membership that this task updates.
        :param targets: peers to exchange heartbeats with.
        :param clock: source of monotonic time.
        """
        self._links = links
        self._membership = membership
        self._targets = targets
        self._clock = clock
        self._hooks = hooks
        self._random = random.Random(hooks.own_heartbeat().incarnation)

    async def run(self) -> None:
        """Exchange heartbeats at jittered intervals until cancelled.

        Without jitter, daemons that start together after an outage of their
        failure domain would stay synchronised.
        """
        while True:
            heartbeat = self._hooks.own_heartbeat()
            await self._exchange(heartbeat, self._targets.periodic)
            self._hooks.on_round()
            jitter = self._random.uniform(
                1 - _JITTER_FRACTION, 1 + _JITTER_FRACTION
            )
            polls = int(
                HEARTBEAT_INTERVAL_MS * jitter / _RELEASED_POLL_INTERVAL_MS
            )
            for _ in itertools.repeat(None, polls):
                await asyncio.sleep(_RELEASED_POLL_INTERVAL_MS / _MS_IN_S)
                await self.announce_released()

    async def announce_released(self) -> None:
        """Tell peers immediately which servers were released.

        Otherwise a released server has no holder until a peer next tries to
        acquire it.
        """
        released = self._hooks.pop_released_servers()
        if released:
            heartbeat = self._hooks.own_heartbeat()._replace(released=released)
            await self._exchange(heartbeat, self._targets.on_release)

    async def _exchange(
        self, heartbeat: PeerHeartbeat, targets: tuple[PeerAddress, ...]
    ) -> None:
        await asyncio.gather(
            *(
                self._exchange_with(target.daemon_id, heartbeat)
                for target in targets
            )
        )

    async def _exchange_with(
        self, target: str, heartbeat: PeerHeartbeat
    ) -> None:
        distance_ms = self._membership.distance_ms(target)
        outgoing = heartbeat._replace(distance_ms=distance_ms)
        response = await self._links.beat(
            target, outgoing, HEARTBEAT_INTERVAL_MS
        )
        if response is None:
            return
        peer_heartbeat, round_trip_ms = response
        now_ms = self._clock.monotonic_ms()
        self._membership.record_heartbeat(peer_heartbeat, now_ms, round_trip_ms)
        self._hooks.on_heartbeat(peer_heartbeat)
