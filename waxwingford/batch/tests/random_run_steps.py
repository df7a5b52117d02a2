"""Steps for randomised runs of a failure domain."""

from behave import then, when
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from waxwingford_bench.random_run import (
    act,
    describe,
    finish,
    play,
    random_settings,
)
from waxwingford_bench.virtual.actions import Run, weight_by_action
from waxwingford_bench.virtual.domain import VirtualDomain

EXAMPLES = 25
STEPS = 120


def silent(line):
    """Drop a line of the trace."""


class DomainMachine(RuleBasedStateMachine):
    """Work and faults in any order."""

    @initialize(seed=st.integers(0, 65_535))
    def begin(self, seed):
        self.run = Run(VirtualDomain(seed, settings=random_settings))
        self.run.domain.run(5000)

    @rule(
        action=st.sampled_from(
            [
                one
                for one, weight in weight_by_action.items()
                for _ in range(weight)
            ],
        ),
    )
    def act(self, action):
        act(self.run, action)

    def teardown(self):
        if hasattr(self, 'run'):
            finish(self.run)


@when('hypothesis runs sequences of operations and faults')
def run_sequences(context):
    profile = settings(
        settings.get_profile('ci'),
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
    )
    run_state_machine_as_test(DomainMachine, settings=profile)


@when('randomised runs with seeds 11, 12 and 13 execute {steps:d} actions each')
def run_seeds(context, steps):
    context.domains = [play(seed, steps, silent) for seed in (11, 12, 13)]


@then('no invariant was violated, and all accepted jobs finished')
def no_invariant_violated(context):
    """The step before raises if an invariant is violated."""


@then('the runs include checkpoints, refusals and unknown outcomes')
def includes_all(context):
    lines = ' '.join(map(describe, context.domains))
    assert 'JobRefused' in lines, lines
    assert 'JobOutcomeUnknown' in lines, lines
    assert sum(one.oracle.evictions for one in context.domains), lines
