"""Task that exchanges heartbeats and spreads what they say."""

import asyncio
import random
from collections.abc import Callable

from waxwingford.kernel import Clock
from waxwingford.peers import (
    BEAT_EVERY_MS,
    Membership,
    PeerBeat,
    PeerLinks,
)

_MS_IN_S = 1000
_JITTER = 0.2


class HeartbeatTask:
    """Owns the membership; other tasks get copies of what they need."""

    def __init__(
        self,
        *,
        links: PeerLinks,
        membership: Membership,
        targets: tuple[str, ...],
        clock: Clock,
        own_beat: Callable[[], PeerBeat],
        on_round: Callable[[], None],
    ) -> None:
        """Wire the task.

        :param links: calls to peers.
        :param membership: filled in by this task.
        :param targets: ids of daemons to exchange with.
        :param clock: monotonic time.
        :param own_beat: makes the own heartbeat.
        :param on_round: called after each round, to spread the views.
        """
        self._links = links
        self._membership = membership
        self._targets = targets
        self._clock = clock
        self._own_beat = own_beat
        self._on_round = on_round
        self._random = random.Random(own_beat().incarnation)

    async def run(self) -> None:
        """Exchange heartbeats for ever, with jitter.

        Without jitter, daemons that start together after a failure domain
        comes back would all call each other in the same instant for ever.
        """
        while True:
            beat = self._own_beat()
            await asyncio.gather(
                *(self._one(target, beat) for target in self._targets)
            )
            self._on_round()
            spread = self._random.uniform(1 - _JITTER, 1 + _JITTER)
            await asyncio.sleep(BEAT_EVERY_MS * spread / _MS_IN_S)

    async def _one(self, target: str, beat: PeerBeat) -> None:
        heard = await self._links.beat(target, beat, BEAT_EVERY_MS)
        if heard is None:
            return
        peer_beat, round_trip_ms = heard
        now_ms = self._clock.monotonic_ms()
        self._membership.heard(peer_beat, now_ms, round_trip_ms)
