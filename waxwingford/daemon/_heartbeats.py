"""Task that exchanges heartbeats and spreads what they say."""

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from waxwingford.kernel import Clock
from waxwingford.peers import (
    BEAT_EVERY_MS,
    BeatTargets,
    Membership,
    PeerBeat,
    PeerLinks,
)
from waxwingford.settings import PeerAddress

_MS_IN_S = 1000
_JITTER = 0.2
#: Servers that were given up are looked for this often, in milliseconds.
_RELEASED_EVERY_MS = 100


class BeatHooks(NamedTuple):
    """What the rest of the daemon does with heartbeats.

    :ivar own_beat: makes the own heartbeat.
    :ivar on_beat: called for each heartbeat of a peer.
    :ivar on_round: called after each round, to spread the views.
    :ivar take_released: servers given up since the last call.
    """

    own_beat: Callable[[], PeerBeat]
    on_beat: Callable[[PeerBeat], None]
    on_round: Callable[[], None]
    take_released: Callable[[], tuple[str, ...]]


class HeartbeatTask:
    """Owns the membership; other tasks get copies of what they need."""

    def __init__(
        self,
        *,
        links: PeerLinks,
        membership: Membership,
        targets: BeatTargets,
        clock: Clock,
        hooks: BeatHooks,
    ) -> None:
        """Wire the task.

        :param links: calls to peers.
        :param membership: filled in by this task.
        :param targets: daemons to exchange with.
        :param clock: monotonic time.
        :param hooks: what the rest of the daemon does with heartbeats.
        """
        self._links = links
        self._membership = membership
        self._targets = targets
        self._clock = clock
        self._hooks = hooks
        self._random = random.Random(hooks.own_beat().incarnation)

    async def run(self) -> None:
        """Exchange heartbeats for ever, with jitter.

        Without jitter, daemons that start together after a failure domain
        comes back would all call each other in the same instant for ever.
        """
        while True:
            beat = self._hooks.own_beat()
            await self._exchange(beat, self._targets.each_interval)
            self._hooks.on_round()
            spread = self._random.uniform(1 - _JITTER, 1 + _JITTER)
            rounds = int(BEAT_EVERY_MS * spread / _RELEASED_EVERY_MS)
            for _ in itertools.repeat(None, rounds):
                await asyncio.sleep(_RELEASED_EVERY_MS / _MS_IN_S)
                await self.tell_released()

    async def tell_released(self) -> None:
        """Tell peers at once which servers were given up.

        Without it nobody holds a server from the end of one lease until the
        successor's next try; the time line showed 1.3 to 1.7 s, at each of
        thousands of planned restarts a day.
        """
        released = self._hooks.take_released()
        if released:
            beat = self._hooks.own_beat()._replace(released=released)
            await self._exchange(beat, self._targets.at_release)

    async def _exchange(
        self, beat: PeerBeat, targets: tuple[PeerAddress, ...]
    ) -> None:
        await asyncio.gather(
            *(self._one(target.daemon_id, beat) for target in targets)
        )

    async def _one(self, target: str, beat: PeerBeat) -> None:
        distance_ms = self._membership.distance_ms(target)
        told = beat._replace(distance_ms=distance_ms)
        heard = await self._links.beat(target, told, BEAT_EVERY_MS)
        if heard is None:
            return
        peer_beat, round_trip_ms = heard
        now_ms = self._clock.monotonic_ms()
        self._membership.heard(peer_beat, now_ms, round_trip_ms)
        self._hooks.on_beat(peer_beat)
