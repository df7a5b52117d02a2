"""Steps for the commands that the pages name."""

import importlib
import subprocess
import sys

from behave import then, when

TIMEOUT_S = 60


@when('the module "{module}" is started with --help')
def start_module(context, module):
    context.finished = subprocess.run(
        (sys.executable, '-m', module, '--help'),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@when('the module "{module}" is started with the arguments "{arguments}"')
def start_with_arguments(context, module, arguments):
    context.finished = subprocess.run(
        (sys.executable, '-m', module, *arguments.split()),
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )


@then('the command is rejected with "{message}"')
def check_rejected(context, message):
    assert context.finished.returncode == 2, context.finished
    assert message in context.finished.stderr, context.finished.stderr


@then('it prints its usage')
def check_usage(context):
    assert context.finished.returncode == 0, context.finished.stderr
    printed = context.finished.stdout + context.finished.stderr
    assert 'usage:' in printed, printed


@when('the module "{module}" looks for its deployment')
def look_for_deployment(context, module):
    context.directory = importlib.import_module(module).DEPLOYMENT_DIRECTORY


@then('the file "{name}" is there')
def check_file(context, name):
    assert (context.directory / name).is_file(), context.directory
