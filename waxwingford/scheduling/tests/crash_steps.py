"""Steps for servers that crash, alone or under a task."""

from behave import given, then, when

from waxwingford.scheduling.tests.engine_bench import step


@given('a job of 1 task that has run for {span_ms:d} ms')
def has_run(context, span_ms):
    bench = context.bench
    bench.submit(step())
    bench.pass_ms(span_ms)
    context.run = bench.planned[0]


@when('the server of the task crashes')
def server_crashes(context):
    bench = context.bench
    bench.engine.book.notes.take()
    bench.crash(context.run.server_id)


def outlived_ms(context):
    notes = context.bench.engine.book.notes.take()
    found = [
        note.inputs['outlived_ms']
        for note in notes
        if note.event == 'run.settled'
        and note.subject == str(context.run.key.task)
    ]
    assert len(found) == 1, notes
    return found[0]


@then(
    'the line about the lost run tells that the server outlived its start'
    ' by {told_ms:d} ms'
)
def outlived_by(context, told_ms):
    assert outlived_ms(context) == told_ms


@then(
    'the line about the lost run tells that the server outlived its start'
    ' by at least {least_ms:d} ms'
)
def outlived_by_least(context, least_ms):
    assert outlived_ms(context) >= least_ms
