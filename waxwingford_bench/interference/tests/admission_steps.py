"""Steps for emulated days with admission by room."""

import argparse

from behave import then, when

from waxwingford.scheduling import Features
from waxwingford_bench.interference._experiment import (
    Setting,
    Switch,
    parse_setting,
)
from waxwingford_bench.interference._trial import play
from waxwingford_bench.interference._workload import OVERLOAD

SERVERS = 4
SPAN_S = 12
SEED = 1


@when('a day at {load:g} times the load is played with and without admission')
def play_day(context, load):
    workload = OVERLOAD._replace(servers=SERVERS).at_load(load)
    context.without = play(workload, SEED, SPAN_S)
    context.admitted = play(
        workload, SEED, SPAN_S, features=Features(admission=True)
    )


@then('only with admission some best-effort jobs are refused')
def check_refused(context):
    assert context.without.refused == 0, context.without
    assert context.admitted.refused > 0, context.admitted


@then('no refused job is served')
def check_served(context):
    worth = context.admitted
    assert worth.refused + worth.served <= 1, worth


@then('"{feature}" is read as a feature, and "{constant}" as a constant')
def check_ways(context, feature, constant):
    assert parse_setting(feature) == Switch(feature)
    assert parse_setting(constant) == Setting('module', 'NAME', 1)


@then('"{text}" is read as neither')
def check_neither(context, text):
    try:
        setting = parse_setting(text)
    except argparse.ArgumentTypeError:
        return
    raise AssertionError(setting)
