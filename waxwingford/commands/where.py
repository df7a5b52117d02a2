"""Command ``where``: explains where a job would go now, without sending it."""

import asyncio
import pathlib
from argparse import ArgumentParser, Namespace
from http import HTTPStatus
from typing import Any

import msgspec

from waxwingford.commands._command import Command, ExitCode, commands
from waxwingford.commands._fleet import Fleet
from waxwingford.commands._http import (
    ConnectionFailed,
    HttpOutcome,
    HttpResponse,
    NoResponse,
    send_request,
)
from waxwingford.commands._output import (
    add_json_option,
    print_answer,
    print_error,
    progress,
)
from waxwingford.commands._placement_text import OwnerReport, format_report
from waxwingford.scheduling import DocumentFault, decode_job

_PATH = '/where'
#: Time for the answer of one daemon, in seconds.
_TIMEOUT_S = 3
_MAX_PORT = 65_535


def _add_arguments(parser: ArgumentParser) -> None:
    parser.add_argument('file', metavar='FILE', help='job as JSON')
    parser.add_argument(
        '--owner',
        metavar='HOST:PORT',
        required=True,
        help='metrics port of a daemon; one that is not the owner names it',
    )
    add_json_option(parser)


def _run(args: Namespace) -> ExitCode:
    host, _, port = args.owner.rpartition(':')
    if not (host and port.isdecimal() and 0 < int(port) <= _MAX_PORT):
        print_error(f'--owner: got {args.owner!r}, expected HOST:PORT')
        return ExitCode.usage
    try:
        raw = pathlib.Path(args.file).read_bytes()
    except OSError as error:
        print_error(f'{args.file}: {error.strerror}, expected a job as JSON')
        return ExitCode.usage
    spec = decode_job(raw)
    if isinstance(spec, DocumentFault):
        print_error(f'{args.file}: {spec}')
        return ExitCode.usage
    with progress('waiting for the owner'):
        address, outcome = asyncio.run(_ask(args.owner, raw))
    return _report_outcome(args, address, outcome)


async def _ask(address: str, raw: bytes) -> tuple[str, HttpOutcome]:
    """Ask a daemon, then the owner that it names.

    :returns: address of the daemon that was asked last, and its answer.
    """
    outcome = await _post(address, raw)
    if (
        isinstance(outcome, HttpResponse)
        and outcome.status == HTTPStatus.MISDIRECTED_REQUEST
    ):
        owner_address = _decode(outcome.body).get('address')
        if owner_address and isinstance(owner_address, str):
            return owner_address, await _post(owner_address, raw)
    return address, outcome


async def _post(address: str, raw: bytes) -> HttpOutcome:
    return await send_request(
        Fleet(), address, 'POST', _PATH, raw, timeout_s=_TIMEOUT_S
    )


def _decode(body: bytes) -> dict[str, Any]:
    """Decode the body of an answer.

    :returns: empty for an answer of another kind, as of an earlier version.
    """
    try:
        decoded = msgspec.json.decode(body)
    except msgspec.MsgspecError:
        return {}
    return decoded if isinstance(decoded, dict) else {}


def _report_outcome(
    args: Namespace, address: str, outcome: HttpOutcome
) -> ExitCode:
    match outcome:
        case ConnectionFailed(reason) | NoResponse(reason):
            print_error(f'{address}: {reason}')
            return ExitCode.unreachable
        case HttpResponse(status, body, retry_after):
            answer = _decode(body)
    match status, answer:
        case HTTPStatus.OK, {'steps': _}:
            return _report_placement(args, address, answer)
        case HTTPStatus.BAD_REQUEST, {
            'key': str(key),
            'given': str(given),
            'expected': str(expected),
        }:
            fault = DocumentFault(key, given, expected)
            print_error(f'{args.file}: {fault}')
            return ExitCode.usage
        case HTTPStatus.MISDIRECTED_REQUEST, {'owner': owner}:
            print_error(f'{address}: not the owner, which is {owner}')
        case _, {'reason': reason}:
            print_error(f'{address}: {reason}; retry after {retry_after} s')
        case _:
            print_error(f'{address}: {status}, expected a placement report')
    return ExitCode.findings


def _report_placement(
    args: Namespace, address: str, answer: dict[str, Any]
) -> ExitCode:
    try:
        report = msgspec.convert(answer, OwnerReport)
    except msgspec.ValidationError as error:
        # The daemon is of another version.
        print_error(f'{address}: unreadable answer: {error}')
        return ExitCode.findings
    print_answer(args, answer, format_report(report))
    return ExitCode.ok


commands.register('where')(
    Command('explain where a job would go now', _add_arguments, _run)
)
