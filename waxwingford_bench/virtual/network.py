"""Simulated network of a virtual failure domain, with link faults."""

import random
from collections.abc import Callable, Mapping

from waxwingford.batch import Control
from waxwingford.ports import (
    Appended,
    AppendOutcome,
    AppendOutcomeUnknown,
    AppendRefused,
    ControlOutcome,
    ControlOutcomeUnknown,
    ControlRequest,
    LogRead,
)
from waxwingford.records import (
    DomainState,
    RecordGroup,
    decode_group,
    encode_group,
)
from waxwingford_bench.virtual.oracle import Oracle
from waxwingford_bench.virtual.server import VirtualServer
from waxwingford_bench.virtual.time import VirtualTime
from waxwingford_standins.platform_log import LogCore

DOMAIN = 'gulberg'
STREAM = f'domain/{DOMAIN}'
SNAPSHOTS = f'snapshots/{DOMAIN}'
_TIMEOUT_MS = 1500
_LOG_TIMEOUT_MS = 2000
_READ_ENTRIES = 64

TakeAppend = Callable[[AppendOutcome], None]
TakeControl = Callable[[ControlOutcome], None]


class VirtualNetwork:
    """Transports appends, reads and control requests.

    :ivar log: fake log with all streams.
    :ivar fold: state folded from the domain's stream.
    :ivar cut: pairs of names whose link is cut.
    :ivar log_down: whether the log is unavailable to the whole domain.
    :ivar lost_share: share of answers that are lost.
    :ivar late_share: share of appends, requests and answers that are late.
    :ivar duplicated_share: share of control answers that are duplicated.
    :ivar control_count: number of control requests sent.
    """

    def __init__(
        self,
        time: VirtualTime,
        rng: random.Random,
        oracle: Oracle,
        server_by_id: Mapping[str, VirtualServer],
    ) -> None:
        """Create a network without faults.

        :param time: virtual time.
        :param rng: generator of delays and losses.
        :param oracle: records appended records and checks servers.
        :param server_by_id: servers by id.
        """
        self.log = LogCore()
        self.fold = DomainState()
        self.cut: set[frozenset[str]] = set()
        self.log_down = False
        self.lost_share: float = 0
        self.late_share: float = 0
        self.duplicated_share: float = 0
        self.control_count = 0
        self._time = time
        self._rng = rng
        self._oracle = oracle
        self._server_by_id = server_by_id

    def heal(self) -> None:
        """End all faults."""
        self.cut.clear()
        self.log_down = False
        self.lost_share = 0
        self.late_share = 0
        self.duplicated_share = 0

    def is_cut(self, one: str, other: str) -> bool:
        """Tell whether the link between two nodes is cut.

        :param one: id of a daemon or server, or ``log``.
        :param other: id of the other node, or ``log``.
        :returns: whether the link is cut.
        """
        if self.log_down and 'log' in {one, other}:
            return True
        return frozenset((one, other)) in self.cut

    def append(self, daemon_id: str, payload: bytes, take: TakeAppend) -> None:
        """Append to the domain's stream for a daemon.

        :param daemon_id: id of the daemon.
        :param payload: entry to append.
        :param take: callback that receives the outcome.
        """
        unknown = AppendOutcomeUnknown('timeout')
        if self.is_cut(daemon_id, 'log'):
            refused = AppendRefused('not connected', 500)
            outcome = self._rng.choice((refused, unknown))
            self._time.at(50, lambda: take(outcome))
        elif self._draw(self.late_share):
            late_ms = self._rng.randrange(1000, 40_000)
            self._time.at(late_ms, lambda: self.land(decode_group(payload)))
            self._time.at(_LOG_TIMEOUT_MS, lambda: take(unknown))
        else:
            delay_ms = self._rng.randrange(2, 15)
            self._time.at(delay_ms, lambda: self._append(payload, take))

    def read(
        self, daemon_id: str, stream: str, from_offset: int
    ) -> LogRead | None:
        """Read a stream for a daemon, without waiting.

        :param daemon_id: id of the daemon.
        :param stream: name of the stream.
        :param from_offset: first offset to read.
        :returns: entries, or None while the log is unavailable.
        """
        if self.is_cut(daemon_id, 'log'):
            return None
        outcome = self.log.read(
            stream, from_offset, _READ_ENTRIES, self._time.now_ms
        )
        return outcome if isinstance(outcome, LogRead) else None

    def control(
        self, daemon_id: str, effect: Control, take: TakeControl
    ) -> None:
        """Send a control request to a server and return its answer.

        :param daemon_id: id of the daemon.
        :param effect: control request with its server.
        :param take: callback that receives every outcome, including late and
            duplicated ones.
        """
        self.control_count += 1
        not_sent = False
        if self.is_cut(daemon_id, effect.server_id):
            not_sent = self._rng.choice((True, False))
        else:
            delay_ms = self._delay_ms(60_000)
            self._time.at(
                delay_ms, lambda: self._deliver_control(daemon_id, effect, take)
            )
        unknown = ControlOutcomeUnknown('no answer', not_sent=not_sent)
        self._time.at(_TIMEOUT_MS, lambda: take(unknown))

    def _append(self, payload: bytes, take: TakeAppend) -> None:
        outcome = self.land(decode_group(payload))
        if self._draw(self.lost_share):
            unknown = AppendOutcomeUnknown('answer lost')
            self._time.at(_LOG_TIMEOUT_MS, lambda: take(unknown))
        else:
            self._time.at(self._rng.randrange(2, 15), lambda: take(outcome))

    def land(self, group: RecordGroup) -> AppendOutcome:
        """Append a group to the domain's stream without delay.

        :param group: record group.
        :returns: outcome from the log.
        """
        payload = encode_group(group)
        outcome = self.log.append(STREAM, payload, self._time.now_ms)
        if isinstance(outcome, Appended):
            for verdict in self.fold.apply(outcome.offset, group):
                self._oracle.note_verdict(verdict)
        return outcome

    def _deliver_control(
        self, daemon_id: str, effect: Control, take: TakeControl
    ) -> None:
        server = self._server_by_id[effect.server_id]
        request: ControlRequest = effect.request
        outcome = server.control(request, self._time.now_ms)
        self._oracle.check(self._server_by_id.values(), self._time.now_ms)
        is_lost = self._draw(self.lost_share)
        if is_lost or self.is_cut(daemon_id, effect.server_id):
            return
        delay_ms = self._delay_ms(20_000)
        self._time.at(delay_ms, lambda: take(outcome))
        if self._draw(self.duplicated_share):
            duplicate_delay_ms = delay_ms + self._rng.randrange(1, 15_000)
            self._time.at(duplicate_delay_ms, lambda: take(outcome))

    def _delay_ms(self, max_late_ms: int) -> int:
        if self._draw(self.late_share):
            return self._rng.randrange(500, max_late_ms)
        return self._rng.randrange(1, 10)

    def _draw(self, share: float) -> bool:
        return self._rng.random() < share if share else False
