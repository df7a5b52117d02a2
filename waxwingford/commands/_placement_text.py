"""Text of an explanation where a job would go."""

import datetime
import itertools
from collections.abc import Iterator

from waxwingford.commands._output import format_table
from waxwingford.scheduling import (
    Candidate,
    GangReport,
    PlacementReport,
    StepReport,
)

_MS_PER_S = 1000
_RANK_COLUMNS = ('rank', 'server', 'rack', 'cost')


class OwnerReport(PlacementReport):
    """Report of a daemon, which names itself."""

    owner: str


def format_report(report: OwnerReport) -> str:
    """Format where a job would go."""
    steps = itertools.chain.from_iterable(map(_step_lines, report['steps']))
    return '\n'.join((*_job_lines(report), *steps))


def _job_lines(report: OwnerReport) -> Iterator[str]:
    yield (
        f'queue {report["queue"]}, service {report["service"]}, priority '
        f'{report["priority"]}, asked {report["owner"]}'
    )
    if report['accepted']:
        yield 'accepted now'
    else:
        until = _format_time(report['refused_until_ms'])
        yield (
            f'refused for {report["retry_after_s"]} s, until {until}: '
            f'{report["refusal_reason"]}'
        )
    if report['due_ms']:
        yield f'first due at {_format_time(report["due_ms"])}'
    if report['steps_not_shown']:
        yield f'{report["steps_not_shown"]} later steps are not explained'


def _step_lines(step: StepReport) -> Iterator[str]:
    after = ', '.join(f'step {earlier}' for earlier in step['after'])
    tasks = f'{step["tasks"]} {step["kind"]} task'
    yield ''
    yield (
        f'step {step["step"]}: {tasks}{"" if step["tasks"] == 1 else "s"}'
        f'{f", after {after}" if after else ""}'
    )
    if step['candidates']:
        yield _format_candidates(step['candidates'])
    else:
        yield 'no server takes a task now'
    if step['needs_ticket']:
        yield 'these servers need a ticket of the advice service first'
    if step['gang'] is not None:
        yield _format_gang(step['gang'])
    yield _format_left_out(step)
    least = '' if step['ahead_complete'] else 'at least '
    yield f'ahead: {least}{step["ahead"]} tasks for the same service'


def _format_candidates(candidates: list[Candidate]) -> str:
    terms = list(
        dict.fromkeys(
            term for one in candidates for term in one['cost_by_term']
        )
    )
    rows = [
        (
            rank,
            one['server'],
            one['rack'],
            f'{one["cost"]:.3f}',
            *(f'{one["cost_by_term"].get(term, 0):.3f}' for term in terms),
        )
        for rank, one in enumerate(candidates, 1)
    ]
    return format_table((*_RANK_COLUMNS, *terms), rows)


def _format_gang(gang: GangReport) -> str:
    text = f'gang: {gang["room_for"]} of {gang["members"]} members fit'
    if gang['fits'] is None:
        return f'{text} on the servers that were evaluated'
    if not gang['fits']:
        return f'{text}, so none starts'
    return f'{text}, on {gang["rack"] or "several racks"}'


def _format_left_out(step: StepReport) -> str:
    count_by_reason = step['left_out_by_reason']
    reasons = ', '.join(
        f'{count} {reason}' for reason, count in count_by_reason.items()
    )
    evaluated = (
        f'{step["fitting"]} of {step["evaluated"]} servers fit'
        if step['evaluated'] == step['servers']
        else f'{step["fitting"]} of {step["evaluated"]} evaluated servers fit, '
        f'of {step["servers"]}'
    )
    return f'{evaluated}; left out: {reasons or "none"}'


def _format_time(unix_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(unix_ms / _MS_PER_S, datetime.UTC)
    return moment.strftime('%Y-%m-%dT%H:%M:%SZ')
