"""Steps for the emulator of the colocation benchmark."""

import numpy as np
from behave import then, when

from waxwingford.kernel import load_plugins
from waxwingford.placement import policies
from waxwingford_bench.colocation._deployments import QADRI, SCENARIOS, Scenario
from waxwingford_bench.colocation._run import run_once
from waxwingford_bench.colocation._truth import draw_kinds
from waxwingford_bench.colocation._world import World

load_plugins(['waxwingford.colocation'])
SCENARIO_BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


def _run(policy, seconds, scenario, seed):
    factory = policies.get(policy)
    return run_once(QADRI, SCENARIO_BY_NAME[scenario], factory, seed, seconds)


@when(
    'policy "{policy}" runs {seconds:d} s of scenario "{scenario}" twice with seed {seed:d}'
)
def run_twice(context, policy, seconds, scenario, seed):
    context.both = [_run(policy, seconds, scenario, seed) for _ in range(2)]


@then('both runs of the emulator give the same figures')
def check_same(context):
    assert context.both[0] == context.both[1], context.both


@when(
    'policy "{policy}" runs {seconds:d} s of scenario "{scenario}" with seed {seed:d}'
)
def run_one(context, policy, seconds, scenario, seed):
    context.figures = _run(policy, seconds, scenario, seed)


@then('no decision would have over-committed an emulated VM')
def check_violations(context):
    assert context.figures.violations == 0, context.figures


@then('the emulated members got work done')
def check_work(context):
    assert context.figures.core_h > 0, context.figures


@when('an emulated server runs {seconds:d} s with a lag of {lag:d} s')
def run_world(context, seconds, lag):
    rng = np.random.default_rng(1)
    world = World(QADRI, Scenario('lag', lag_s=lag), draw_kinds(rng), rng)
    context.arrivals = []
    for second in range(seconds):
        world.step(0.3, second + 1)
        samples = world.take_arrived_samples(second + 1)
        if samples:
            context.arrivals.append((second + 1, samples[0]))


@then(
    'its first sample arrives after {seconds:d} s and says that it is {age:d} s old'
)
def check_lag(context, seconds, age):
    arrived_s, sample = context.arrivals[0]
    assert arrived_s == seconds, arrived_s
    assert sample.sampled_ms_ago == age * 1000, sample
