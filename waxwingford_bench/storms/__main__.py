"""Simulates faults of a whole failure domain in virtual time.

``python -m waxwingford_bench.storms --seed 1 --case rack_lost --servers 48``
"""

import argparse
import gc
import itertools
import sys

from waxwingford_bench.storms.cases import Case, case_by_name
from waxwingford_bench.storms.domain import DAEMONS, StormDomain
from waxwingford_bench.storms.meter import (
    longest_run_above,
    mean_rate,
    peak_rate,
)
from waxwingford_bench.storms.pauses import FixedPauses, Pauses
from waxwingford_bench.storms.report import (
    COLUMNS,
    Load,
    Report,
    format_json,
    format_line,
    format_row,
)

CPU_BUDGET_MS = 15
BYTE_BUDGET = 15 * 1024
_MS_PER_S = 1000
_KIB = 1024
_WARM_UP_MS = 120_000
_STEADY_MS = 60_000
_RECOVERY_TIMEOUT_S = 900
_DRAIN_TIMEOUT_S = 900
_STEADY_WINDOW_S = 10
_PEAK_WINDOW_S = 10
_STEADY_TOLERANCE = 0.2
_NOT_REACHED = -1


def run_case(
    name: str, seed: int, servers: int, pauses: Pauses | None = None
) -> Report:
    """Simulate a fault and measure load and recovery.

    :param name: key in ``case_by_name``.
    :param seed: seed of all random delays.
    :param servers: number of backend servers.
    :param pauses: pauses of the daemons' loops; with jitter if None.
    :returns: measured load, recovery times and spread of retries.
    :raises Violation: if a task ran that must not run, or was lost.
    """
    domain = StormDomain(seed, servers, pauses or Pauses(seed))
    case = case_by_name[name]
    domain.run(_WARM_UP_MS)
    baseline = _run_steadily(domain)
    fault_start_s = domain.now_ms // _MS_PER_S
    steady_rate = domain.meter.rate(_steady_from_s(), fault_start_s)
    disturbed_s = _run_fault(domain, case, baseline)
    fault_end_s = domain.now_ms // _MS_PER_S
    recovered_s = _run_until_recovered(domain, baseline, steady_rate)
    until_s = domain.now_ms // _MS_PER_S
    steady_s = _steady_again_s(domain, steady_rate, (fault_end_s, until_s))
    burst = (fault_start_s, until_s)
    _drain(domain)
    return Report(
        name,
        servers,
        seed,
        _measure_load(domain, (_steady_from_s(), fault_start_s)),
        _measure_load(domain, burst),
        _longest_above_budget(domain, burst, 'spent'),
        _longest_above_budget(domain, burst, 'bytes'),
        _elapsed_s(steady_s, fault_end_s),
        _elapsed_s(recovered_s, fault_end_s),
        disturbed_s,
        [
            domain.meter.worst_spread(
                kind, fault_start_s * _MS_PER_S, until_s * _MS_PER_S
            )
            for kind in domain.meter.retry_kinds()
        ],
    )


def _steady_from_s() -> int:
    return _WARM_UP_MS // _MS_PER_S


def _run_steadily(domain: StormDomain) -> tuple[int, int]:
    samples = []
    for _ in range(_STEADY_MS // _MS_PER_S):
        domain.run(_MS_PER_S)
        samples.append((domain.waiting_tasks(), domain.submitters.active))
    waiting, submitters = zip(*samples, strict=True)
    return max(waiting), max(submitters)


def _run_fault(
    domain: StormDomain, case: Case, baseline: tuple[int, int]
) -> int:
    """Run a fault from its start to its end.

    :param domain: failure domain in steady state.
    :param case: the fault.
    :param baseline: highest numbers of waiting tasks and of unanswered
        submitters in steady state.
    :returns: seconds of the fault in which the baseline is exceeded or a
        live server has no valid lease.
    """
    case.begin(domain)
    disturbed_s = 0
    for _ in range(case.duration_ms // _MS_PER_S):
        domain.run(_MS_PER_S)
        disturbed_s += not _is_at_baseline(domain, baseline)
    case.end(domain)
    return disturbed_s


def _is_at_baseline(domain: StormDomain, baseline: tuple[int, int]) -> bool:
    max_tasks, max_submitters = baseline
    return (
        domain.unleased_servers() == 0
        and domain.waiting_tasks() <= max_tasks
        and domain.submitters.active <= max_submitters
    )


def _run_until_recovered(
    domain: StormDomain, baseline: tuple[int, int], steady_rate: float
) -> int:
    """Run until load and backlog are back in steady state.

    :param domain: failure domain after the fault.
    :param baseline: highest numbers of waiting tasks and of unanswered
        submitters in steady state.
    :param steady_rate: messages per second in steady state.
    :returns: second since which all live servers are leased and the baseline
        is not exceeded, or -1 on timeout.
    """
    fault_end_s = domain.now_ms // _MS_PER_S
    recovered_s = _NOT_REACHED
    for _ in range(_RECOVERY_TIMEOUT_S):
        domain.run(_MS_PER_S)
        now_s = domain.now_ms // _MS_PER_S
        if not _is_at_baseline(domain, baseline):
            recovered_s = _NOT_REACHED
        elif recovered_s == _NOT_REACHED:
            recovered_s = now_s
        steady_s = _steady_again_s(domain, steady_rate, (fault_end_s, now_s))
        is_stable = now_s - recovered_s >= _STEADY_WINDOW_S
        has_recovered = recovered_s != _NOT_REACHED and steady_s != _NOT_REACHED
        if has_recovered and is_stable:
            break
    return recovered_s


def _steady_again_s(
    domain: StormDomain, steady_rate: float, span: tuple[int, int]
) -> int:
    from_s, until_s = span
    for start_s in range(from_s, until_s - _STEADY_WINDOW_S + 1):
        rate = domain.meter.rate(start_s, start_s + _STEADY_WINDOW_S)
        if abs(rate - steady_rate) <= _STEADY_TOLERANCE * steady_rate:
            return start_s
    return _NOT_REACHED


def _drain(domain: StormDomain) -> None:
    domain.submitters.is_open = False
    for _ in range(_DRAIN_TIMEOUT_S):
        domain.run(_MS_PER_S)
        if not (domain.fold.jobs_by_id or domain.submitters.active):
            break
    domain.oracle.check_finished(domain.fold)


def _elapsed_s(reached_s: int, fault_end_s: int) -> int:
    return (
        _NOT_REACHED if reached_s == _NOT_REACHED else reached_s - fault_end_s
    )


def _measure_load(domain: StormDomain, span: tuple[int, int]) -> Load:
    meter = domain.meter
    spent = [meter.cpu_ms_by_second(name) for name in domain.daemon_by_id]
    sent = [meter.bytes_by_daemon[name] for name in domain.daemon_by_id]
    return Load(
        mean_rate(meter.messages, *span),
        peak_rate(meter.messages, span, 1),
        peak_rate(meter.messages, span, _PEAK_WINDOW_S),
        sum(mean_rate(one, *span) for one in sent) / DAEMONS / _KIB,
        max(peak_rate(one, span, 1) for one in sent) / _KIB,
        max(peak_rate(one, span, _PEAK_WINDOW_S) for one in sent) / _KIB,
        sum(mean_rate(one, *span) for one in spent) / DAEMONS,
        max(peak_rate(one, span, 1) for one in spent),
        max(peak_rate(one, span, _PEAK_WINDOW_S) for one in spent),
    )


def _longest_above_budget(
    domain: StormDomain, span: tuple[int, int], what: str
) -> int:
    meter = domain.meter
    names = domain.daemon_by_id
    if what == 'bytes':
        sent = (meter.bytes_by_daemon[name] for name in names)
        return max(longest_run_above(one, span, BYTE_BUDGET) for one in sent)
    spent = (meter.cpu_ms_by_second(name) for name in names)
    return max(longest_run_above(one, span, CPU_BUDGET_MS) for one in spent)


def main() -> None:
    """Run the selected cases and print their reports."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--runs', type=int, default=1, help='seeds in a row')
    parser.add_argument('--case', choices=case_by_name, action='append')
    parser.add_argument('--servers', type=int, action='append')
    parser.add_argument('--fixed', action='store_true', help='without jitter')
    parser.add_argument('--json', action='store_true')
    options = parser.parse_args()
    if not options.json:
        _print_line(format_line(COLUMNS))
        _print_line(format_line(('---',) * len(COLUMNS)))
    make_pauses = FixedPauses if options.fixed else Pauses
    show = format_json if options.json else format_row
    seeds = range(options.seed, options.seed + options.runs)
    names = options.case or case_by_name
    server_counts = options.servers or [48]
    for name, servers in itertools.product(names, server_counts):
        least = case_by_name[name].min_servers
        if servers < least:
            parser.error(
                f'--servers {servers}: expected at least {least} for {name},'
                ' as the servers left have to finish the accepted jobs'
            )
    # A garbage collection walks the memory of all daemons and servers, and its
    # time would be counted for the daemon that runs; collect between runs.
    gc.disable()
    plays = itertools.product(names, server_counts, seeds)
    for name, servers, seed in plays:
        _print_line(show(run_case(name, seed, servers, make_pauses(seed))))
        gc.collect()


def _print_line(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
