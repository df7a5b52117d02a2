"""Figures of a play, and how they are printed."""

from typing import NamedTuple

import msgspec

from waxwingford_bench.storms.meter import Spread


class Load(NamedTuple):
    """Load of steady state, or of a burst.

    :ivar messages_per_s: of all daemons.
    :ivar busiest_messages: in the busiest second.
    :ivar busiest_messages_10_s: a second, in the busiest ten seconds.
    :ivar kib_per_s: mean of a daemon; of the busiest second and ten seconds
        of the busiest daemon in a burst.
    :ivar busiest_kib: in the busiest second of the busiest daemon.
    :ivar busiest_kib_10_s: a second, in its busiest ten seconds.
    :ivar spent_ms_per_s: processor time of the controller, mean of a daemon.
    :ivar busiest_spent_ms: in the busiest second of the busiest daemon.
    :ivar busiest_spent_ms_10_s: a second, in its busiest ten seconds.
    """

    messages_per_s: float
    busiest_messages: float
    busiest_messages_10_s: float
    kib_per_s: float
    busiest_kib: float
    busiest_kib_10_s: float
    spent_ms_per_s: float
    busiest_spent_ms: float
    busiest_spent_ms_10_s: float


class Report(NamedTuple):
    """What one play showed.

    :ivar case: its name.
    :ivar servers: backend servers.
    :ivar seed: of all delays.
    :ivar steady: load before the fault.
    :ivar burst: load from the fault until steady again.
    :ivar spent_above_s: longest time without a break for which a daemon
        exceeds the budget of processor time.
    :ivar bytes_above_s: the same for bytes.
    :ivar steady_after_s: from the fault's end until the rate of messages is
        steady for ten seconds; -1 if that was not reached.
    :ivar commanded_after_s: from the fault's end until every server is
        held by a daemon and no more tasks and submitters wait than in steady
        state; -1 if that was not reached.
    :ivar not_calm_s: seconds of the fault itself in which a live server was
        not held, or more waited than in steady state.
    :ivar spreads: worst minute of each kind of retry.
    """

    case: str
    servers: int
    seed: int
    steady: Load
    burst: Load
    spent_above_s: int
    bytes_above_s: int
    steady_after_s: int
    commanded_after_s: int
    not_calm_s: int
    spreads: list[Spread]


COLUMNS = (
    'case',
    'servers',
    'seed',
    'messages/s: steady (busiest s), busiest s, 10 s',
    'KiB/s: steady (busiest s), busiest s, 10 s',
    'ms/s: steady (busiest s), busiest s, 10 s',
    's above 15 ms/s',
    's above 15 KiB/s',
    's to steady',
    's not calm in the fault',
    's to all commanded',
    'retries: largest share in 100 ms (largest/minute)',
)


def write_row(report: Report) -> str:
    """Write a row of the table.

    :param report: of one play.
    :returns: markdown.
    """
    steady, burst = report.steady, report.burst
    spreads = ', '.join(
        f'{spread.kind} {spread.share:.2%} ({spread.largest}/{spread.retries})'
        for spread in report.spreads
        if spread.retries
    )
    cells = (
        report.case,
        str(report.servers),
        str(report.seed),
        f'{steady.messages_per_s:.0f} ({steady.busiest_messages:.0f}), {burst.busiest_messages:.0f}, '
        f'{burst.busiest_messages_10_s:.0f}',
        f'{steady.kib_per_s:.1f} ({steady.busiest_kib:.1f}), {burst.busiest_kib:.1f}, '
        f'{burst.busiest_kib_10_s:.1f}',
        f'{steady.spent_ms_per_s:.1f} ({steady.busiest_spent_ms:.1f}), {burst.busiest_spent_ms:.1f}, '
        f'{burst.busiest_spent_ms_10_s:.1f}',
        str(report.spent_above_s),
        str(report.bytes_above_s),
        str(report.steady_after_s),
        str(report.not_calm_s),
        str(report.commanded_after_s),
        spreads or 'fewer than 50 in any minute',
    )
    return write_line(cells)


def write_line(cells: tuple[str, ...]) -> str:
    """Write a line of a table.

    :param cells: its cells.
    :returns: markdown.
    """
    return f'| {" | ".join(cells)} |'


def write_json(report: Report) -> str:
    """Write a report for programs.

    :param report: of one play.
    :returns: one line of JSON.
    """
    whole = report._replace(
        steady=report.steady._asdict(),
        burst=report.burst._asdict(),
        spreads=[spread._asdict() for spread in report.spreads],
    )
    return msgspec.json.encode(whole._asdict()).decode()
