"""Learned interference of pairs of images, bounded in memory and in the store."""

import itertools
import math

import msgspec

from waxwingford.scheduling._coefficients import InterferenceCoefficient

#: Pairs that are kept; those that were learned from least recently are forgotten.
MAX_PAIRS = 4096
#: Longest names of the images of a pair together, in bytes; longer ones aren't
#: learned.
MAX_NAMES_BYTES = 1024
#: Largest size of the stored pairs, in bytes. The most recent ones are stored.
MAX_ROW_BYTES = 128_000

_PairRow = tuple[str, str, float, float]
_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(list[_PairRow])
#: Estimate for pairs that nothing was learned of; it is never corrected.
_PRIOR = InterferenceCoefficient()


class LearnedPairs:
    """Coefficients by pair of a serving and a best-effort image."""

    def __init__(self) -> None:
        # Least recently learned first.
        self._coefficient_by_pair: dict[
            tuple[str, str], InterferenceCoefficient
        ] = {}

    def __len__(self) -> int:
        """Number of pairs that are kept."""
        return len(self._coefficient_by_pair)

    def find(self, serving: str, best_effort: str) -> InterferenceCoefficient:
        """Look up a coefficient, that of an unknown pair by default."""
        return self._coefficient_by_pair.get((serving, best_effort), _PRIOR)

    def learn(self, serving: str, best_effort: str) -> InterferenceCoefficient:
        """Return the coefficient of a pair that is observed, to be corrected."""
        pair = serving, best_effort
        found = self._coefficient_by_pair.pop(pair, None)
        coefficient = found or InterferenceCoefficient()
        names = serving.encode() + best_effort.encode()
        if len(names) <= MAX_NAMES_BYTES:
            self._add(pair, coefficient)
        return coefficient

    def encode(self) -> bytes:
        """Serialise the pairs for the store, as many as fit into a row.

        :returns: MessagePack list of serving image, best-effort image, mean and
            variance.
        """
        recent_first = (
            _encoder.encode((*pair, coefficient.mean, coefficient.variance))
            for pair, coefficient in reversed(self._coefficient_by_pair.items())
        )
        rows: list[msgspec.Raw] = []
        left_bytes = MAX_ROW_BYTES
        for row in recent_first:
            left_bytes -= len(row)
            if left_bytes < 0:
                break
            rows.append(msgspec.Raw(row))
        rows.reverse()
        return _encoder.encode(rows)

    def restore(self, raw: bytes) -> None:
        """Load the pairs of a previous owner.

        :param raw: bytes returned by ``encode``.
        :raises ValueError: if the bytes are malformed.
        """
        rows = _decoder.decode(raw)
        for *pair, mean, variance in rows:
            if not (0 <= mean < math.inf and 0 < variance < math.inf):
                raise ValueError(f'{pair}: mean {mean}, variance {variance}')
        for serving, best_effort, mean, variance in rows:
            coefficient = InterferenceCoefficient(mean, variance)
            self._add((serving, best_effort), coefficient)

    def _add(
        self, pair: tuple[str, str], coefficient: InterferenceCoefficient
    ) -> None:
        self._coefficient_by_pair[pair] = coefficient
        excess = len(self._coefficient_by_pair) - MAX_PAIRS
        for oldest in tuple(
            itertools.islice(self._coefficient_by_pair, max(0, excess))
        ):
            del self._coefficient_by_pair[oldest]
