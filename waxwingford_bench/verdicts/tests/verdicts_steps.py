"""Steps for verdicts on recorded plays."""

import contextlib
import io
import json
import pathlib
import tempfile

from behave import given, then, when

from waxwingford_bench.verdicts.__main__ import main

COMMIT = '0123456789abcdef'


def write_entry(context, plays):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    context.path = pathlib.Path(folder.name) / 'entry.json'
    entry = {
        'id': 'e1',
        'cmd': 'hunt',
        'at': ['2026-01-31T08:00:00Z', '2026-01-31T08:10:00Z'],
        'head': COMMIT,
        'dirty': False,
        'site': 'here',
        'error': None,
        'days': plays,
    }
    context.path.write_text(json.dumps(entry), encoding='utf-8')


@given('an entry with the plays')
def write_plays(context):
    write_entry(
        context,
        [
            {
                'name': row['name'],
                'rules': {row['rules']: 1} if row['rules'] else {},
                'short': [row['short']] if row['short'] else [],
                'fault': None,
                'gate': row['gate'] == 'yes',
            }
            for row in context.table
        ],
    )


@given('an entry without plays')
def write_nothing(context):
    write_entry(context, [])


@given('an entry of a play that doesn\'t count because of "{fault}"')
def write_fault(context, fault):
    play = {'name': 'mix', 'rules': {}, 'short': None, 'fault': fault}
    write_entry(context, [play | {'gate': False}])


@given('an entry whose play has no rules')
def write_incomplete(context):
    write_entry(context, [{'name': 'mix', 'short': []}])


@when('the verdict is asked for')
def ask(context):
    ask_with(context, '')


@when('the verdict is asked for with "{options}"')
def ask_with(context, options):
    printed, errors = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(printed),
        contextlib.redirect_stderr(errors),
    ):
        context.exit_code = main([str(context.path), *options.split()])
    context.lines = printed.getvalue().splitlines()
    context.errors = errors.getvalue()


@then('it is "{verdict}"')
def check_verdict(context, verdict):
    assert context.lines[-1] == verdict, context.lines
    assert context.exit_code == int(verdict.startswith('not')), context.lines


@then('a line says "{text}"')
def check_line(context, text):
    assert any(text in line for line in context.lines), context.lines


@then('the tool fails and names the file, the key and what it expects')
def check_error(context):
    assert context.exit_code == 2
    assert str(context.path) in context.errors, context.errors
    assert '`rules`' in context.errors, context.errors
    assert 'days[0]' in context.errors, context.errors
