"""Signed operator requests, sent to the daemons of a fleet."""

import asyncio
import time
from argparse import ArgumentParser, Namespace
from collections.abc import Sequence
from typing import Any

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from waxwingford.bundles import sign_request
from waxwingford.commands._command import ExitCode
from waxwingford.commands._fleet import Fleet, load_fleet, require_fields
from waxwingford.commands._http import (
    ConnectionFailed,
    HttpOutcome,
    HttpResponse,
    NoResponse,
    get_from_all,
    send_request,
)
from waxwingford.commands._keys import read_key
from waxwingford.commands._output import print_error, progress

HTTP_OK = 200
HTTP_NOT_FOUND = 404
_HTTP_MULTIPLE_CHOICES = 300
_HTTP_UNAVAILABLE = 503
#: HTTP statuses that leave open whether the request was executed.
_OUTCOME_UNKNOWN_STATUSES = frozenset((500, 502, 504))
_MS_IN_S = 1000


def add_signer_options(parser: ArgumentParser) -> None:
    """Add the options that name the signing member and its key."""
    parser.add_argument('--member', required=True, help='member that signs')
    parser.add_argument(
        '--key', required=True, help="file of the member's private key"
    )


def post_signed(
    args: Namespace,
    path: str,
    body: bytes,
    next_status: int = _HTTP_UNAVAILABLE,
) -> ExitCode:
    """Post a signed request to the first daemon that accepts it.

    The next daemon is tried only if the connection failed or the response
    says that the request was not executed, so that it never runs twice.

    :param args: parsed arguments with the fleet, member and key options.
    :param next_status: HTTP status, besides 503, after which the next daemon
        is tried.
    :returns: exit code, after the outcome was printed.
    """
    prepared = _load_fleet_and_key(args)
    if isinstance(prepared, ExitCode):
        return prepared
    fleet, key = prepared
    with progress('waiting for a response'):
        outcome = asyncio.run(
            _send(fleet, key, args.member, path, body, {next_status})
        )
    return _report_outcome(outcome)


def get_signed(args: Namespace, path: str) -> list[Any] | ExitCode:
    """Send a signed GET request to all daemons.

    All are queried since a job is known in one failure domain only.

    :param args: parsed arguments with the fleet, member and key options.
    :returns: decoded bodies of the responses with status 200; or the exit
        code, after errors were printed, if there are errors only.
    """
    prepared = _load_fleet_and_key(args)
    if isinstance(prepared, ExitCode):
        return prepared
    fleet, key = prepared
    with progress(f'querying {len(fleet.daemons)} daemons'):
        outcomes = get_from_all(
            fleet,
            fleet.daemons,
            path,
            lambda: _headers(key, args.member, 'GET', path, b''),
        )
    decoded = [
        msgspec.json.decode(outcome.body)
        for outcome in outcomes.values()
        if isinstance(outcome, HttpResponse) and outcome.status == HTTP_OK
    ]
    error_by_address = {
        address: _error_text(outcome) for address, outcome in outcomes.items()
    }
    for address, error_text in error_by_address.items():
        if error_text:
            print_error(f'{address}: {error_text}')
    if decoded or not any(error_by_address.values()):
        return decoded
    is_refused = any(
        isinstance(outcome, HttpResponse) for outcome in outcomes.values()
    )
    return ExitCode.findings if is_refused else ExitCode.unreachable


def _error_text(outcome: HttpOutcome) -> str:
    match outcome:
        case ConnectionFailed(reason) | NoResponse(reason):
            return reason
        case HttpResponse(status) if status in {HTTP_OK, HTTP_NOT_FOUND}:
            return ''
        case HttpResponse(status, body):
            return f'{status} {body.decode(errors="replace")}'


def _load_fleet_and_key(
    args: Namespace,
) -> tuple[Fleet, Ed25519PrivateKey] | ExitCode:
    fleet = load_fleet(args)
    if isinstance(fleet, ExitCode):
        return fleet
    if not require_fields(fleet, 'daemons'):
        return ExitCode.usage
    key = read_key(args.key)
    if isinstance(key, str):
        print_error(key)
        return ExitCode.usage
    return fleet, key


def _headers(
    key: Ed25519PrivateKey, member: str, method: str, path: str, body: bytes
) -> dict[str, str]:
    wall_ms = int(time.time() * _MS_IN_S)
    return sign_request(key, member, method, path, body, wall_ms)


async def _send(
    fleet: Fleet,
    key: Ed25519PrivateKey,
    member: str,
    path: str,
    body: bytes,
    next_statuses: set[int],
) -> HttpOutcome:
    outcomes: list[HttpOutcome] = []
    for address in fleet.daemons:
        headers = _headers(key, member, 'POST', path, body)
        outcome = await send_request(
            fleet, address, 'POST', path, body, headers
        )
        if not _should_try_next(outcome, next_statuses | {_HTTP_UNAVAILABLE}):
            return outcome
        outcomes.append(outcome)
    return _final_outcome(outcomes)


def _should_try_next(outcome: HttpOutcome, statuses: set[int]) -> bool:
    match outcome:
        case ConnectionFailed():
            return True
        case HttpResponse(status):
            return status in statuses
        case NoResponse():
            return False


def _final_outcome(outcomes: Sequence[HttpOutcome]) -> HttpOutcome:
    answers = [
        outcome for outcome in outcomes if isinstance(outcome, HttpResponse)
    ]
    return answers[-1] if answers else outcomes[-1]


def _report_outcome(outcome: HttpOutcome) -> ExitCode:
    match outcome:
        case ConnectionFailed(reason):
            print_error(f'not sent: {reason}')
            return ExitCode.unreachable
        case NoResponse(reason):
            print_error(f'unknown, it may have taken effect: {reason}')
            return ExitCode.unknown
        case HttpResponse(status, body, retry_after):
            return _report_response(
                status, body.decode(errors='replace'), retry_after
            )


def _report_response(status: int, text: str, retry_after: str) -> ExitCode:
    if status < _HTTP_MULTIPLE_CHOICES:
        print(text.rstrip('\n'))
        return ExitCode.ok
    if status in _OUTCOME_UNKNOWN_STATUSES:
        print_error(f'unknown, it may have taken effect: {status} {text}')
        return ExitCode.unknown
    hint = f' (retry after {retry_after} s)' if retry_after else ''
    print_error(f'refused, nothing changed: {status} {text}{hint}')
    return ExitCode.findings
