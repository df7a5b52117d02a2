"""Reports of simulated faults as Markdown or JSON."""

from typing import NamedTuple

import msgspec

from waxwingford_bench.storms.meter import RetrySpread


class Load(NamedTuple):
    """Load in steady state or during a burst.

    :ivar messages_per_s: mean message rate of all daemons.
    :ivar busiest_messages: messages in the busiest second.
    :ivar busiest_messages_10_s: messages per second in the busiest ten
        seconds.
    :ivar kib_per_s: mean KiB per second and daemon.
    :ivar busiest_kib: KiB in the busiest second of the busiest daemon.
    :ivar busiest_kib_10_s: KiB per second in the busiest ten seconds of the
        busiest daemon.
    :ivar spent_ms_per_s: mean processor time per second and daemon, in
        milliseconds.
    :ivar busiest_spent_ms: processor time in the busiest second of the
        busiest daemon.
    :ivar busiest_spent_ms_10_s: processor time per second in the busiest ten
        seconds of the busiest daemon.
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
    """Load and recovery of one simulated fault.

    :ivar case: name of the case.
    :ivar servers: number of backend servers.
    :ivar seed: seed of all random delays.
    :ivar steady: load before the fault.
    :ivar burst: load from the fault until steady again.
    :ivar spent_above_s: longest run of seconds in which a daemon exceeds the
        budget of processor time.
    :ivar bytes_above_s: longest run of seconds in which a daemon exceeds the
        budget of bytes.
    :ivar steady_after_s: seconds from the end of the fault until the message
        rate is steady for ten seconds; -1 if it never is.
    :ivar commanded_after_s: seconds from the end of the fault until every
        live server is leased by a daemon and no more tasks and submitters
        wait than in steady state; -1 if that is never reached.
    :ivar not_calm_s: seconds of the fault in which a live server was not
        leased, or more tasks or submitters waited than in steady state.
    :ivar spreads: minute with the most concentrated retries, for each kind.
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
    spreads: list[RetrySpread]


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


def format_row(report: Report) -> str:
    """Format a report as a row of a Markdown table.

    :param report: report of one run.
    :returns: the row.
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
    return format_line(cells)


def format_line(cells: tuple[str, ...]) -> str:
    """Format a line of a Markdown table.

    :param cells: texts of the cells.
    :returns: the line.
    """
    return f'| {" | ".join(cells)} |'


def format_json(report: Report) -> str:
    """Format a report as JSON.

    :param report: report of one run.
    :returns: one line of JSON.
    """
    whole = report._replace(
        steady=report.steady._asdict(),
        burst=report.burst._asdict(),
        spreads=[spread._asdict() for spread in report.spreads],
    )
    return msgspec.json.encode(whole._asdict()).decode()
