"""Steps of loads.feature."""

import math
import random
import statistics

from behave import given, then, when

from waxwingford.scheduling._loads import LoadTracker

STEP = 'job.0.0'
MEAN = 2.0


@given('a load that swings by {swing:g} with a period of {period_s:g} s')
def swinging(context, swing, period_s):
    def load(at_ms):
        return MEAN + swing * math.sin(2 * math.pi * at_ms / 1000 / period_s)

    context.load = load
    context.tracker = LoadTracker()
    context.random = random.Random(7)
    context.now_ms = 0


@when(
    'its tails are sampled {rate:d} times a second for {span_s:d} s,'
    ' with noise of {noise:g}'
)
def sample(context, rate, span_s, noise):
    context.errors_by_ahead = {100: [], 500: []}
    context.late_errors = []
    until_ms = context.now_ms + span_s * 1000
    while context.now_ms < until_ms:
        now_ms = context.now_ms
        level = context.load(now_ms) + context.random.gauss(0, noise)
        context.tracker.learn(STEP, level, now_ms)
        if now_ms > until_ms / 2:
            for ahead_ms, errors in context.errors_by_ahead.items():
                at_ms = now_ms + ahead_ms
                found = context.tracker.predict(STEP, at_ms)
                errors.append(found - context.load(at_ms))
            context.late_errors.append(level - context.load(now_ms + 500))
        context.now_ms += 1000 // rate


@when('one tail is twenty times as long')
def runaway(context):
    level = context.load(context.now_ms) + math.log(20)
    context.tracker.learn(STEP, level, context.now_ms)
    found = context.tracker.predict(STEP, context.now_ms + 100)
    context.errors_by_ahead[100] = [found - MEAN]


@when('everything older than {at_s:d} s is dropped')
def drop(context, at_s):
    context.tracker.drop_older(at_s * 1000)


@then('{ahead_s:g} s ahead its error is under {most:g}')
def error_under(context, ahead_s, most):
    errors = context.errors_by_ahead[int(ahead_s * 1000)]
    found = math.sqrt(statistics.fmean(one * one for one in errors))
    assert found < most, found


@then('the newest tails alone miss by more than {least:g}')
def late_error(context, least):
    errors = context.late_errors
    found = math.sqrt(statistics.fmean(one * one for one in errors))
    assert found > least, found


@then('nothing is known of it')
def nothing_known(context):
    assert context.tracker.predict(STEP, context.now_ms) == 0
