"""Plays faults of a whole failure domain in virtual time.

``python -m waxwingford_bench.storms --seed 1 --case rack_lost --servers 48``
"""

import argparse
import gc
import itertools
import sys

from waxwingford_bench.storms.cases import Case, case_by_name
from waxwingford_bench.storms.domain import DAEMONS, StormDomain
from waxwingford_bench.storms.meter import busiest, longest_above, mean
from waxwingford_bench.storms.pauses import FixedPauses, Pauses
from waxwingford_bench.storms.report import (
    COLUMNS,
    Load,
    Report,
    write_json,
    write_line,
    write_row,
)

SPENT_BUDGET_MS = 15
BYTES_BUDGET = 15 * 1024
_MS_IN_S = 1000
_KIB = 1024
_WARM_MS = 120_000
_STEADY_MS = 60_000
_LONGEST_BACK_S = 900
_MOST_CALM_S = 900
_WINDOW_S = 10
_LONG_WINDOW_S = 10
_STEADY_SHARE = 0.2
_NOT_REACHED = -1


def play(
    name: str, seed: int, servers: int, pauses: Pauses | None = None
) -> Report:
    """Play a case.

    :param name: of the case.
    :param seed: of all delays.
    :param servers: backend servers.
    :param pauses: of the daemons' loops; those of a daemon if None.
    :returns: figures.
    :raises Violation: if something ran that must not, or is lost.
    """
    domain = StormDomain(seed, servers, pauses or Pauses(seed))
    case = case_by_name[name]
    domain.run(_WARM_MS)
    most_waiting = _run_steadily(domain)
    began_s = domain.now_ms // _MS_IN_S
    steady_rate = domain.meter.rate(_steady_from_s(), began_s)
    not_calm_s = _play_fault(domain, case, most_waiting)
    ended_s = domain.now_ms // _MS_IN_S
    commanded_s = _run_until_calm(domain, most_waiting, steady_rate)
    until_s = domain.now_ms // _MS_IN_S
    steady_s = _steady_again_s(domain, steady_rate, (ended_s, until_s))
    burst = (began_s, until_s)
    _finish(domain)
    return Report(
        name,
        servers,
        seed,
        _load(domain, (_steady_from_s(), began_s)),
        _load(domain, burst),
        _longest_above(domain, burst, 'spent'),
        _longest_above(domain, burst, 'bytes'),
        _since(steady_s, ended_s),
        _since(commanded_s, ended_s),
        not_calm_s,
        [
            domain.meter.worst_spread(
                kind, began_s * _MS_IN_S, until_s * _MS_IN_S
            )
            for kind in domain.meter.retry_kinds()
        ],
    )


def _steady_from_s() -> int:
    return _WARM_MS // _MS_IN_S


def _run_steadily(domain: StormDomain) -> tuple[int, int]:
    seen = []
    for _ in range(_STEADY_MS // _MS_IN_S):
        domain.run(_MS_IN_S)
        seen.append((domain.waiting(), domain.submitters.at_once))
    waiting, submitters = zip(*seen, strict=True)
    return max(waiting), max(submitters)


def _play_fault(
    domain: StormDomain, case: Case, most_waiting: tuple[int, int]
) -> int:
    """Play a fault from its begin to its end.

    :param domain: in steady state.
    :param case: the fault.
    :param most_waiting: tasks and submitters that wait in steady state.
    :returns: seconds of the fault in which more waits, or a server is not
        held.
    """
    case.begin(domain)
    not_calm_s = 0
    for _ in range(case.lasts_ms // _MS_IN_S):
        domain.run(_MS_IN_S)
        not_calm_s += not _is_calm(domain, most_waiting)
    case.end(domain)
    return not_calm_s


def _is_calm(domain: StormDomain, most_waiting: tuple[int, int]) -> bool:
    most_tasks, most_submitters = most_waiting
    return (
        domain.not_held() == 0
        and domain.waiting() <= most_tasks
        and domain.submitters.at_once <= most_submitters
    )


def _run_until_calm(
    domain: StormDomain, most_waiting: tuple[int, int], steady_rate: float
) -> int:
    """Let time pass until nothing is left of the fault.

    :param domain: after the fault.
    :param most_waiting: tasks and submitters that wait in steady state.
    :param steady_rate: messages a second in steady state.
    :returns: second since which all servers are held and no more wait than
        that, or -1.
    """
    ended_s = domain.now_ms // _MS_IN_S
    commanded_s = _NOT_REACHED
    for _ in range(_LONGEST_BACK_S):
        domain.run(_MS_IN_S)
        now_s = domain.now_ms // _MS_IN_S
        if not _is_calm(domain, most_waiting):
            commanded_s = _NOT_REACHED
        elif commanded_s == _NOT_REACHED:
            commanded_s = now_s
        steady_s = _steady_again_s(domain, steady_rate, (ended_s, now_s))
        is_calm_long = now_s - commanded_s >= _WINDOW_S
        is_back = commanded_s != _NOT_REACHED and steady_s != _NOT_REACHED
        if is_back and is_calm_long:
            break
    return commanded_s


def _steady_again_s(
    domain: StormDomain, steady_rate: float, span: tuple[int, int]
) -> int:
    from_s, until_s = span
    for start_s in range(from_s, until_s - _WINDOW_S + 1):
        rate = domain.meter.rate(start_s, start_s + _WINDOW_S)
        if abs(rate - steady_rate) <= _STEADY_SHARE * steady_rate:
            return start_s
    return _NOT_REACHED


def _finish(domain: StormDomain) -> None:
    domain.submitters.is_open = False
    for _ in range(_MOST_CALM_S):
        domain.run(_MS_IN_S)
        if not (domain.fold.jobs_by_id or domain.submitters.at_once):
            break
    domain.oracle.check_finished(domain.fold)


def _since(reached_s: int, ended_s: int) -> int:
    return _NOT_REACHED if reached_s == _NOT_REACHED else reached_s - ended_s


def _load(domain: StormDomain, span: tuple[int, int]) -> Load:
    meter = domain.meter
    spent = [meter.spent_ms(name) for name in domain.daemon_by_id]
    sent = [meter.bytes_by_daemon[name] for name in domain.daemon_by_id]
    return Load(
        mean(meter.messages, *span),
        busiest(meter.messages, span, 1),
        busiest(meter.messages, span, _LONG_WINDOW_S),
        sum(mean(one, *span) for one in sent) / DAEMONS / _KIB,
        max(busiest(one, span, 1) for one in sent) / _KIB,
        max(busiest(one, span, _LONG_WINDOW_S) for one in sent) / _KIB,
        sum(mean(one, *span) for one in spent) / DAEMONS,
        max(busiest(one, span, 1) for one in spent),
        max(busiest(one, span, _LONG_WINDOW_S) for one in spent),
    )


def _longest_above(
    domain: StormDomain, span: tuple[int, int], what: str
) -> int:
    meter = domain.meter
    names = domain.daemon_by_id
    if what == 'bytes':
        sent = (meter.bytes_by_daemon[name] for name in names)
        return max(longest_above(one, span, BYTES_BUDGET) for one in sent)
    spent = (meter.spent_ms(name) for name in names)
    return max(longest_above(one, span, SPENT_BUDGET_MS) for one in spent)


def main() -> None:
    """Play the cases asked for and print what they showed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1, help='first seed')
    parser.add_argument('--runs', type=int, default=1, help='seeds in a row')
    parser.add_argument('--case', choices=case_by_name, action='append')
    parser.add_argument('--servers', type=int, action='append')
    parser.add_argument('--fixed', action='store_true', help='without jitter')
    parser.add_argument('--json', action='store_true')
    options = parser.parse_args()
    if not options.json:
        _write(write_line(COLUMNS))
        _write(write_line(('---',) * len(COLUMNS)))
    make_pauses = FixedPauses if options.fixed else Pauses
    show = write_json if options.json else write_row
    seeds = range(options.seed, options.seed + options.runs)
    names = options.case or case_by_name
    # One collection here walks the memory of all daemons and servers and would
    # be booked to whichever daemon runs; it is done between plays.
    gc.disable()
    plays = itertools.product(names, options.servers or [48], seeds)
    for name, servers, seed in plays:
        _write(show(play(name, seed, servers, make_pauses(seed))))
        gc.collect()


def _write(line: str) -> None:
    sys.stdout.write(f'{line}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
