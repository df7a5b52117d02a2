"""What fills do to the tails of tasks that serve beside them, learned.

Which image harms which differs by pair, and strongly: most pairs do nothing
to each other, some double a tail with one task. A rule that slows all fills
alike slows mostly harmless ones and leaves batch work unfinished.

The headroom of a serving task (see ``_loads``) is that of its step's own load,
less, for each image of fills beside it, an effect times the share of the server's
cpu that those fills use. Each sample corrects both by their uncertainty: a load
is measured on all servers of its step, an effect on all servers with its pair.
"""

import math
from typing import NamedTuple

import msgspec

from waxwingford.scheduling._effects import Effect, Term
from waxwingford.scheduling._loads import Load
from waxwingford.scheduling._occupants import (
    fill_runs,
    full_share,
    serving_runs,
    serving_steps,
    share_by_image,
)
from waxwingford.scheduling._samples import Sample, Seen, take_sample
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Run, Step

#: A serving task younger than this may not have its usual tail yet, in ms.
WARM_MS = 1500
#: Samples of one task are taken no closer than this, in ms: the nearer they
#: are, the more the rounding to whole ms counts in their difference.
LEAST_SPAN_MS = 200
#: Headroom of a queue that is full: how full it is can't be seen any more.
FULL_HEADROOM = 0.25
#: A sample further off than so many standard deviations counts as this far: a
#: server that is slow for a cause of its own must not pass for a load.
MOST_DEVIATIONS = 3.0
#: Times ahead for which loads are foretold when a fill is placed, in ms: a
#: fill works for some seconds, a swing takes 8 to 16 s.
AHEAD_MS = (300, 1500)
#: Forecasts for a server are used for so long, in ms.
FORECAST_KEPT_MS = 100
#: Headroom that the start of a fill must leave to the tasks beside it.
START_HEADROOM = 1.3
#: Headroom that fills must leave to the tasks beside them when they are placed.
SAFE_HEADROOM = 1.1
#: Loads that have not been measured for this long are dropped, in ms.
FORGET_MS = 30000
_FULL_PERCENT = 100

_decoder = msgspec.msgpack.Decoder(list[tuple[str, str, float, float]])


class _Spare(NamedTuple):
    """Headroom that the fills of a server leave a serving step at full pace.

    :ivar step: which.
    :ivar headroom: the least of the seconds to come.
    :ivar present: what fills leave at the paces that they have now.
    """

    step: Step
    headroom: float
    present: float


class Allowance(NamedTuple):
    """How much more of one image of fills a server bears.

    A fill works at full pace until a first change of pace takes effect, and a
    queue that is overloaded for a tenth of a second stays over its target for
    most of a second: a start needs more room than going on.

    :ivar sustained: share of the server's cpu over the seconds to come.
    :ivar start: share of it that may start now.
    """

    sustained: float
    start: float


class _Spares(NamedTuple):
    """Prediction for a server.

    :ivar changes: count of its changes for which it holds.
    :ivar at_ms: when it was made, steady time.
    :ivar spares: one for each step that serves there.
    :ivar allowance_by_image: worked out so far, by image of fills.
    """

    changes: int
    at_ms: int
    spares: list[_Spare]
    allowance_by_image: dict[str, Allowance]


class HarmModel:
    """Learned loads of serving steps and effects of fills on them."""

    def __init__(self) -> None:
        """Know nothing but what is expected."""
        self._effect_by_pair: dict[tuple[str, str], Effect] = {}
        self._load_by_step: dict[str, Load] = {}
        self._seen_by_server: dict[str, Seen] = {}
        self._spares_by_server: dict[str, _Spares] = {}
        self._forgot_ms = 0

    def learn(self, server: Server, now_ms: int) -> None:
        """Learn from what a look at a server listed.

        :param server: just looked at.
        :param now_ms: steady time.
        """
        server_id = server.entry.server_id
        self._spares_by_server.pop(server_id, None)
        former = self._seen_by_server.get(server_id)
        if former is not None and now_ms - former.at_ms < LEAST_SPAN_MS:
            return
        serving = serving_runs(server)
        seen = Seen(
            now_ms,
            {run.key: run.figure for run, _ in serving},
            share_by_image(server),
        )
        self._seen_by_server[server_id] = seen
        if former is None:
            return
        for run, step in serving:
            before = former.tail_by_run.get(run.key)
            warm = run.adopted or now_ms - run.since_ms >= WARM_MS
            if warm and before and run.figure > 0:
                sample = take_sample(
                    step.spec.target_ms, before, run.figure, seen, former
                )
                self._learn(step, sample, seen, former)
        self._forget(now_ms)

    def encode(self) -> bytes:
        """Write what is known of pairs for the store.

        :returns: its bytes.
        """
        return msgspec.msgpack.encode(
            [
                (*pair, effect.mean, effect.variance)
                for pair, effect in self._effect_by_pair.items()
            ]
        )

    def restore(self, raw: bytes) -> None:
        """Go on from what a former owner knew.

        :param raw: as ``encode`` wrote it.
        """
        self._effect_by_pair = {
            (serving, fill): Effect(mean, variance)
            for serving, fill, mean, variance in _decoder.decode(raw)
        }

    def effect(self, serving: Step, fill: Step) -> float:
        """Predict what a fill takes of a serving task's headroom.

        :param serving: step that serves.
        :param fill: step that fills.
        :returns: headroom for a whole server's cpu.
        """
        return self._effect(serving.spec.image, fill.spec.image).mean

    def allowance(self, server: Server, fill: Step, now_ms: int) -> Allowance:
        """Predict how much more of a fill's image a server bears.

        :param server: where.
        :param fill: step of the fill.
        :param now_ms: steady time.
        :returns: shares of the server's cpu, below 0 where there is too much.
        """
        spares = self._spares(server, now_ms)
        image = fill.spec.image
        found = spares.allowance_by_image.get(image)
        if found is None:
            found = self._allow(spares.spares, image)
            spares.allowance_by_image[image] = found
        return found

    def _allow(self, spares: list[_Spare], image: str) -> Allowance:
        sustained = math.inf
        start = math.inf
        for spare in spares:
            effect = self._effect(spare.step.spec.image, image)
            room = (spare.present - START_HEADROOM) / effect.surely
            start = min(start, room)
            if effect.mean > 0:
                ahead = (spare.headroom - SAFE_HEADROOM) / effect.mean
                sustained = min(sustained, ahead)
        return Allowance(sustained, start)

    def _spares(self, server: Server, now_ms: int) -> _Spares:
        """Predict what the fills of a server leave of its headrooms.

        Kept for a moment, or until a run comes or leaves or a sample is
        learned: it is asked for with every fill that waits.

        :param server: where.
        :param now_ms: steady time.
        :returns: the prediction.
        """
        server_id = server.entry.server_id
        kept = self._spares_by_server.get(server_id)
        if (
            kept is not None
            and kept.changes == server.changes
            and now_ms - kept.at_ms < FORECAST_KEPT_MS
        ):
            return kept
        fills = fill_runs(server)
        spares = [
            self._spare(server, step, fills, now_ms)
            for step in serving_steps(server)
        ]
        made = _Spares(server.changes, now_ms, spares, {})
        self._spares_by_server[server_id] = made
        return made

    def _spare(
        self,
        server: Server,
        serving: Step,
        fills: list[tuple[Run, Step]],
        now_ms: int,
    ) -> _Spare:
        taken: float = 0
        taken_now: float = 0
        for run, fill in fills:
            takes = self.effect(serving, fill) * full_share(server, fill)
            taken += takes
            pace = _FULL_PERCENT if run.pace is None else run.pace
            taken_now += takes * pace / _FULL_PERCENT
        load = self.load(serving, now_ms)
        ahead = min(load.forecast(now_ms + span) for span in AHEAD_MS)
        present = load.forecast(now_ms + AHEAD_MS[0]) - taken_now
        return _Spare(serving, ahead - taken, present)

    def load(self, serving: Step, now_ms: int) -> Load:
        """Give the load of a serving step.

        :param serving: which.
        :param now_ms: steady time.
        :returns: its headroom without fills.
        """
        found = self._load_by_step.get(serving.name)
        if found is None:
            found = Load(now_ms)
            self._load_by_step[serving.name] = found
        return found

    def _effect(self, serving: str, fill: str) -> Effect:
        found = self._effect_by_pair.get((serving, fill))
        if found is None:
            found = Effect()
            self._effect_by_pair[serving, fill] = found
        return found

    def _learn(
        self, step: Step, sample: Sample, seen: Seen, former: Seen
    ) -> None:
        load = self.load(step, seen.at_ms)
        load.advance(seen.at_ms)
        expected = load.level(sample.before_s)
        variance = load.variance(sample.before_s) + sample.variance
        terms = self._terms(step, seen, former)
        expected -= sum(term.effect.mean * term.share for term in terms)
        variance += sum(term.variance for term in terms)
        if max(expected, sample.headroom) < FULL_HEADROOM:
            return
        surprise = sample.headroom - max(0, expected)
        most = MOST_DEVIATIONS * math.sqrt(variance)
        scaled = max(-most, min(most, surprise)) / variance
        load.correct(sample.before_s, scaled)
        load.shrink(sample.before_s, variance)
        for term in terms:
            term.correct(scaled, variance)

    def _terms(self, step: Step, seen: Seen, former: Seen) -> list[Term]:
        images = {**seen.share_by_image, **former.share_by_image}
        return [
            Term(
                self._effect(step.spec.image, image),
                seen.share_by_image.get(image, 0),
                former.share_by_image.get(image, 0),
            )
            for image in images
        ]

    def _forget(self, now_ms: int) -> None:
        """Drop what was not seen for long.

        :param now_ms: steady time.
        """
        if now_ms - self._forgot_ms < FORGET_MS:
            return
        self._forgot_ms = now_ms
        self._load_by_step = {
            name: load
            for name, load in self._load_by_step.items()
            if now_ms - load.at_ms < FORGET_MS
        }
        self._seen_by_server = {
            server_id: seen
            for server_id, seen in self._seen_by_server.items()
            if now_ms - seen.at_ms < FORGET_MS
        }
