"""Commands ``jobs submit``, ``jobs list``, ``jobs show``, ``jobs cancel``."""

import time
from argparse import ArgumentParser, Namespace
from typing import Any

import msgspec

from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._fleet import add_fleet, fleet_of, wanted
from waxwingford.commands._http import HttpAnswer, ask_all
from waxwingford.commands._output import (
    add_json,
    complain,
    progress,
    show,
    table,
)
from waxwingford.commands._signed import (
    NOT_FOUND,
    OK,
    add_signer,
    send_signed,
)

_MS_IN_S = 1000
#: Fields of a job that are numbers, with their defaults.
_NUMBERS = (
    ('tasks', 1),
    ('processors-milli', 1000),
    ('memory-mb', 1024),
    ('accelerators', 0),
    ('run-ms', 60_000),
    ('priority', 0),
    ('finish-by-wall-ms', 0),
    ('lost-after-ms', 0),
)


def _add_submit(parser: ArgumentParser) -> None:
    parser.add_argument('name', help='unique among the jobs of the member')
    parser.add_argument('--team', required=True)
    parser.add_argument('--kind', required=True, help='batch kind')
    parser.add_argument('--payload', default='', help='for backend servers')
    for name, default in _NUMBERS:
        parser.add_argument(f'--{name}', type=int, default=default)
    add_signer(parser)
    add_fleet(parser)


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
    return send_signed(args, '/v1/jobs', msgspec.json.encode(job))


def _add_list(parser: ArgumentParser) -> None:
    add_fleet(parser)
    add_json(parser)


def _list(args: Namespace) -> ExitCode:
    answers = _read(args, '/v1/jobs')
    if isinstance(answers, ExitCode):
        return answers
    found = [job for answer in answers for job in _jobs_in(answer)]
    # Every daemon of a failure domain lists the same jobs.
    job_by_id = {job['job_id']: job for job in found}
    rows = [
        (job_id, job['state'], job.get('why', ''))
        for job_id, job in sorted(job_by_id.items())
    ]
    show(args, job_by_id, table(('job', 'state', 'why'), rows))
    return ExitCode.ok


def _jobs_in(answer: Any) -> list[dict[str, Any]]:
    return answer['jobs'] if isinstance(answer, dict) else answer


def _add_show(parser: ArgumentParser) -> None:
    parser.add_argument('job', metavar='JOB', help='<member>.<name>')
    add_fleet(parser)
    add_json(parser)


def _show(args: Namespace) -> ExitCode:
    answers = _read(args, f'/v1/jobs/{args.job}')
    if isinstance(answers, ExitCode):
        return answers
    if not answers:
        complain(f'{args.job}: no daemon knows this job')
        return ExitCode.findings
    job = answers[0]
    rows = [
        tuple(
            task.get(key, '')
            for key in ('task_id', 'attempt', 'state', 'server_id', 'why')
        )
        for task in job.get('tasks', ())
    ]
    head = ('task', 'attempt', 'state', 'server', 'why it waits')
    text = f'{job["job_id"]}: {job["state"]}  {job.get("why", "")}'
    show(args, job, f'{text}\n{table(head, rows)}')
    return ExitCode.ok


def _read(args: Namespace, path: str) -> list[Any] | ExitCode:
    """Ask all daemons, for a job lives in one failure domain only.

    :param args: parsed arguments.
    :param path: what to get.
    :returns: answers of those that know, or the exit code after a complaint.
    """
    fleet = fleet_of(args)
    if isinstance(fleet, ExitCode):
        return fleet
    if not wanted(fleet, 'daemons'):
        return ExitCode.usage
    with progress(f'asking {len(fleet.daemons)} daemons'):
        outcomes = ask_all(fleet, fleet.daemons, path)
    known = [
        msgspec.json.decode(outcome.body)
        for outcome in outcomes.values()
        if isinstance(outcome, HttpAnswer) and outcome.status == OK
    ]
    silent = [
        address
        for address, outcome in outcomes.items()
        if not isinstance(outcome, HttpAnswer)
    ]
    if silent:
        complain(f'no answer from {", ".join(silent)}')
    if known or not silent:
        return known
    return ExitCode.unreachable


def _add_cancel(parser: ArgumentParser) -> None:
    parser.add_argument('job', metavar='JOB', help='<member>.<name>')
    add_signer(parser)
    add_fleet(parser)


def _cancel(args: Namespace) -> ExitCode:
    # A daemon of another failure domain does not know the job: ask the next.
    return send_signed(args, f'/v1/jobs/{args.job}/cancel', b'', NOT_FOUND)


commands.register('jobs submit')(
    Command('submit a batch job', _add_submit, _submit)
)
commands.register('jobs list')(Command('list batch jobs', _add_list, _list))
commands.register('jobs show')(
    Command('show a job and why its tasks wait', _add_show, _show)
)
commands.register('jobs cancel')(Command('give a job up', _add_cancel, _cancel))
