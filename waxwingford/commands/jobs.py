"""Commands ``jobs submit``, ``jobs list``, ``jobs show``, ``jobs cancel``."""

import time
from argparse import ArgumentParser, Namespace
from typing import Any

import msgspec

from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._fleet import add_fleet_options
from waxwingford.commands._output import (
    add_json_option,
    format_table,
    print_answer,
    print_error,
)
from waxwingford.commands._signed import (
    HTTP_NOT_FOUND,
    add_signer_options,
    get_signed,
    post_signed,
)

_MS_IN_S = 1000
_TASK_COLUMNS = (
    'task_id',
    'stage',
    'attempt',
    'server_id',
    'waits_for',
    'detail',
)
#: Integer options of ``jobs submit`` with their defaults.
_INTEGER_OPTIONS = (
    ('tasks', 1),
    ('processors-milli', 1000),
    ('memory-mb', 1024),
    ('accelerators', 0),
    ('run-ms', 60_000),
    ('priority', 0),
    ('finish-by-wall-ms', 0),
    ('lost-after-ms', 1_800_000),
)


def _add_submit(parser: ArgumentParser) -> None:
    parser.add_argument('name', help="unique among the member's jobs")
    parser.add_argument('--team', required=True)
    parser.add_argument('--kind', required=True, help='batch kind')
    parser.add_argument(
        '--payload', default='', help='passed to backend servers'
    )
    for name, default in _INTEGER_OPTIONS:
        parser.add_argument(f'--{name}', type=int, default=default)
    add_signer_options(parser)
    add_fleet_options(parser)


def _submit(args: Namespace) -> ExitCode:
    job = {
        'job_id': f'{args.member}.{args.name}',
        'member': args.member,
        'team': args.team,
        'kind': args.kind,
        'task_count': args.tasks,
        'resources': {
            'processors_milli': args.processors_milli,
            'memory_mb': args.memory_mb,
            'accelerators': args.accelerators,
        },
        'run_ms': args.run_ms,
        'priority': args.priority,
        'finish_by_wall_ms': args.finish_by_wall_ms,
        'lost_after_ms': args.lost_after_ms,
        'payload': args.payload,
        'submitted_wall_ms': int(time.time() * _MS_IN_S),
    }
    return post_signed(args, '/v1/jobs', msgspec.json.encode(job))


def _add_list(parser: ArgumentParser) -> None:
    add_signer_options(parser)
    add_fleet_options(parser)
    add_json_option(parser)


def _list(args: Namespace) -> ExitCode:
    answers = get_signed(args, '/v1/jobs')
    if isinstance(answers, ExitCode):
        return answers
    # Daemons of the same failure domain list the same jobs.
    job_by_id = {job['job_id']: job for jobs in answers for job in jobs}
    rows = [
        (job_id, job['state'], _counts(job))
        for job_id, job in sorted(job_by_id.items())
    ]
    print_answer(args, job_by_id, format_table(('job', 'state', 'tasks'), rows))
    return ExitCode.ok


def _counts(job: dict[str, Any]) -> str:
    return ', '.join(
        f'{count} {stage}'
        for stage, count in job['count_by_stage'].items()
        if count
    )


def _add_show(parser: ArgumentParser) -> None:
    parser.add_argument('job', metavar='JOB', help='<member>.<name>')
    add_signer_options(parser)
    add_fleet_options(parser)
    add_json_option(parser)


def _show(args: Namespace) -> ExitCode:
    answers = get_signed(args, f'/v1/jobs/{args.job}')
    if isinstance(answers, ExitCode):
        return answers
    if not answers:
        print_error(
            f'{args.job}: no daemon has this job of member {args.member}'
        )
        return ExitCode.findings
    job = answers[0]
    rows = [[task[column] for column in _TASK_COLUMNS] for task in job['tasks']]
    lines = [
        f'{job["job_id"]}: {job["state"]}, {_counts(job)}',
        *(f'failed: {reason}' for reason in job['reasons']),
        format_table(_TASK_COLUMNS, rows),
    ]
    print_answer(args, job, '\n'.join(lines))
    return ExitCode.ok


def _add_cancel(parser: ArgumentParser) -> None:
    parser.add_argument('job', metavar='JOB', help='<member>.<name>')
    add_signer_options(parser)
    add_fleet_options(parser)


def _cancel(args: Namespace) -> ExitCode:
    # Daemons of other failure domains answer 404: try the next.
    return post_signed(args, f'/v1/jobs/{args.job}/cancel', b'', HTTP_NOT_FOUND)


commands.register('jobs submit')(
    Command('submit a batch job', _add_submit, _submit)
)
commands.register('jobs list')(Command('list batch jobs', _add_list, _list))
commands.register('jobs show')(
    Command('show a job and why its tasks are pending', _add_show, _show)
)
commands.register('jobs cancel')(Command('cancel a job', _add_cancel, _cancel))
