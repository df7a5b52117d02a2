"""Steps for the report of a daemon on the code that it runs."""

import asyncio
from unittest import mock

from behave import given, then

from waxwingford.build_info import BuildInfo, read_build_info
from waxwingford.scheduler import _start_report
from waxwingford.scheduler.tests.daemon_steps import records_of_event
from waxwingford.scheduler.tests.start_steps import POLL_INTERVAL_S, TIMEOUT_S

OTHER_BUILD = BuildInfo('0.1.0', '00112233aabbccdd')
RECORDED_BUILD = BuildInfo('0.1.0', 'ddccbbaa33221100')
DIFFERENCE = 'sources differ from the installed package'


def replace_in_report(context, name, **behaviour):
    patch = mock.patch.object(_start_report, name, **behaviour)
    patch.start()
    context.add_cleanup(patch.stop)


@given('a digest is recorded with its package')
def record_digest(context):
    replace_in_report(
        context, 'recorded_build_info', return_value=RECORDED_BUILD
    )


@given('the sources beside its package have another digest')
def differ_from_sources(context):
    replace_in_report(context, 'SOURCES_DELAY_S', new=0)
    replace_in_report(
        context, 'find_differing_sources', return_value=OTHER_BUILD
    )


@given("its source files can't be read")
def fail_to_read(context):
    error = OSError('not permitted')
    replace_in_report(context, 'read_build_info', side_effect=error)


def wait_for_line(context, event):
    async def _wait():
        async with asyncio.timeout(TIMEOUT_S):
            while not records_of_event(context, event):
                await asyncio.sleep(POLL_INTERVAL_S)

    context.runner.run(_wait())
    records = records_of_event(context, event)
    assert len(records) == 1, records
    return records[0]


def reported_fields(context):
    return wait_for_line(context, 'started').extra


@then(
    'the line of its start and its metrics tell version and digest of the code'
)
def check_reported(context):
    build = read_build_info()
    assert build._asdict().items() <= reported_fields(context).items()
    labels = f'digest="{build.digest}",version="{build.version}"'
    line = f'waxwingford_build_info{{{labels}}} 1'
    metrics = context.daemon._observer.metrics.render().splitlines()
    assert line in metrics, metrics


@then('no line tells of other sources')
def check_no_difference_told(context):
    assert not records_of_event(context, DIFFERENCE)


@then('a warning tells both digests')
def check_difference_told(context):
    installed = reported_fields(context)['digest']
    record = wait_for_line(context, DIFFERENCE)
    assert record.level_name == 'WARNING'
    digests = {'installed': installed, 'sources': OTHER_BUILD.digest}
    assert digests.items() <= record.extra.items(), record.extra


@then('the line of its start tells the recorded digest')
def check_recorded_told(context):
    assert reported_fields(context)['digest'] == RECORDED_BUILD.digest


@then('a warning tells that they are not read')
def check_unread_told(context):
    record = wait_for_line(context, 'source files not read')
    assert record.extra['reason'] == 'not permitted'


@then('the line of its start tells that the digest is unknown')
def check_digest_unknown(context):
    assert reported_fields(context)['digest'] == 'unknown'
