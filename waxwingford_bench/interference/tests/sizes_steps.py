"""Steps for the shares of jobs that are served, by size."""

import statistics
from concurrent import futures

from behave import then, when

from waxwingford_bench.interference._trial import DayWorth, play
from waxwingford_bench.interference._workload import NARROW

WORKERS = 2


def play_seed(seed):
    return play(NARROW, seed)


@when(
    '{days:d} days of more best-effort jobs than servers have room for are'
    ' played'
)
def play_days(context, days):
    with futures.ProcessPoolExecutor(WORKERS) as pool:
        worths = list(pool.map(play_seed, range(1, days + 1)))
    context.worth = DayWorth(*map(statistics.fmean, zip(*worths, strict=True)))


@then(
    'the largest tenth of the best-effort jobs is served at least half as'
    ' often as all'
)
def check_largest(context):
    worth = context.worth
    assert 2 * worth.served_tenth >= worth.served, worth


@then('the next largest fifth is served at least half as often as all')
def check_next_largest(context):
    worth = context.worth
    assert 2 * worth.served_fifth >= worth.served, worth
