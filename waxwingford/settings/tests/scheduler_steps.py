"""Steps for the settings of the scheduler daemon."""

import json
import tomllib

from behave import given, then, use_fixture

from waxwingford.settings import SchedulerSettings, load_scheduler_settings
from waxwingford.settings.tests.settings_steps import settings_directory

VALID_SETTINGS = """
identity = {daemon_id = "front-1", failure_domain = "gulberg", region = "lahore"}
bounds = {longest_lease_ms = 6000, stop_grace_s = 6}
vm = {}
logging = {}
scheduling = {}
[listen]
host = "127.0.0.1"
callers = "127.0.0.1:8001"
readiness = "127.0.0.1:8002"
peers_port = 8003
[store]
adapter = "waxwingford.platform"
address = "127.0.0.1:9000"
"""


@given('the settings of a scheduler daemon')
def create_scheduler_settings(context):
    use_fixture(settings_directory, context)
    context.document = tomllib.loads(VALID_SETTINGS)


def render(value):
    if not isinstance(value, dict):
        return json.dumps(value)
    inner = (f'{key} = {render(nested)}' for key, nested in value.items())
    return f'{{{", ".join(inner)}}}'


def load(context):
    path = context.directory / 'settings.toml'
    path.write_text(
        '\n'.join(
            f'{key} = {render(value)}'
            for key, value in context.document.items()
        )
    )
    return load_scheduler_settings(path)


@then(
    'they are loaded with a core share of {share}, a grace of {grace} s and'
    ' level "{level}"'
)
def check_scheduler_settings(context, share, grace, level):
    loaded = load(context)
    assert isinstance(loaded, SchedulerSettings), loaded
    found = (loaded.vm.core_share, loaded.bounds.stop_grace_s)
    assert found == (float(share), float(grace)), found
    assert loaded.logging.level == level
    assert isinstance(loaded.bounds.stop_grace_s, float)
    assert loaded.listen.metrics_port is None


@then(
    'the only problem of the scheduler daemon is at "{place}", got {got}, and'
    ' expects "{expected}"'
)
def check_only_problem(context, place, got, expected):
    problems = load(context).problems
    found = [problem for problem in problems if problem.key == place]
    assert len(found) == 1, problems
    # A table without its keys has a problem for each of them.
    assert len(problems) == 1 or got == 'nothing', problems
    assert found[0].value == got, found
    assert found[0].expected == f'expected {expected}', found
    assert found[0].file.endswith('settings.toml'), found


@then('the problems of the scheduler daemon are at "{places}"')
def check_problem_places(context, places):
    found = ', '.join(problem.key for problem in load(context).problems)
    assert found == places, found
