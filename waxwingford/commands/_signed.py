"""Signed requests of operators: one daemon after the other until one takes."""

import asyncio
import time
from argparse import ArgumentParser, Namespace
from collections.abc import Sequence
from typing import Any

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey

from waxwingford.bundles import sign_request
from waxwingford.commands._command import ExitCode
from waxwingford.commands._fleet import Fleet, fleet_of, wanted
from waxwingford.commands._http import (
    HttpAnswer,
    HttpOutcome,
    NoAnswer,
    NotReached,
    ask_all,
    call,
)
from waxwingford.commands._keys import read_key
from waxwingford.commands._output import complain, progress

OK = 200
NOT_FOUND = 404
_MULTIPLE_CHOICES = 300
_UNAVAILABLE = 503
#: Statuses after which the request may have run.
_UNKNOWN = frozenset((500, 502, 504))
_MS_IN_S = 1000


def add_signer(parser: ArgumentParser) -> None:
    """Declare who signs.

    :param parser: of a command that changes something.
    """
    parser.add_argument('--member', required=True, help='who asks')
    parser.add_argument('--key', required=True, help="the member's key file")


def send_signed(
    args: Namespace, path: str, body: bytes, also_next: int = _UNAVAILABLE
) -> ExitCode:
    """Post a signed request to the first daemon that takes it.

    A daemon that was not reached, or that says that it has not run the
    request, is followed by the next; after anything else there is no next.

    :param args: with fleet, member and key.
    :param path: what to post to.
    :param body: what to post.
    :param also_next: another status after which the next daemon is asked.
    :returns: exit code, after the answer was printed.
    """
    prepared = _prepare(args)
    if isinstance(prepared, ExitCode):
        return prepared
    fleet, key = prepared
    with progress('waiting for an answer'):
        outcome = asyncio.run(
            _send(fleet, key, args.member, path, body, {also_next})
        )
    return _tell(outcome)


def read_signed(args: Namespace, path: str) -> list[Any] | ExitCode:
    """Ask all daemons, for a job lives in one failure domain only.

    :param args: with fleet, member and key.
    :param path: what to get.
    :returns: answers of those that know, or the exit code after a complaint.
    """
    prepared = _prepare(args)
    if isinstance(prepared, ExitCode):
        return prepared
    fleet, key = prepared
    with progress(f'asking {len(fleet.daemons)} daemons'):
        outcomes = ask_all(
            fleet,
            fleet.daemons,
            path,
            lambda: _headers(key, args.member, 'GET', path, b''),
        )
    known = [
        msgspec.json.decode(outcome.body)
        for outcome in outcomes.values()
        if isinstance(outcome, HttpAnswer) and outcome.status == OK
    ]
    faults = {address: _fault(outcome) for address, outcome in outcomes.items()}
    for address, fault in faults.items():
        if fault:
            complain(f'{address}: {fault}')
    if known or not any(faults.values()):
        return known
    is_refused = any(
        isinstance(outcome, HttpAnswer) for outcome in outcomes.values()
    )
    return ExitCode.findings if is_refused else ExitCode.unreachable


def _fault(outcome: HttpOutcome) -> str:
    match outcome:
        case NotReached(reason) | NoAnswer(reason):
            return reason
        case HttpAnswer(status) if status in {OK, NOT_FOUND}:
            return ''
        case HttpAnswer(status, body):
            return f'{status} {body.decode(errors="replace")}'


def _prepare(
    args: Namespace,
) -> tuple[Fleet, Ed25519PrivateKey] | ExitCode:
    fleet = fleet_of(args)
    if isinstance(fleet, ExitCode):
        return fleet
    if not wanted(fleet, 'daemons'):
        return ExitCode.usage
    key = read_key(args.key)
    if isinstance(key, str):
        complain(key)
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
        outcome = await call(fleet, address, 'POST', path, body, headers)
        if not _asks_next(outcome, next_statuses | {_UNAVAILABLE}):
            return outcome
        outcomes.append(outcome)
    return _most_telling(outcomes)


def _asks_next(outcome: HttpOutcome, statuses: set[int]) -> bool:
    match outcome:
        case NotReached():
            return True
        case HttpAnswer(status):
            return status in statuses
        case NoAnswer():
            return False


def _most_telling(outcomes: Sequence[HttpOutcome]) -> HttpOutcome:
    answers = [
        outcome for outcome in outcomes if isinstance(outcome, HttpAnswer)
    ]
    return answers[-1] if answers else outcomes[-1]


def _tell(outcome: HttpOutcome) -> ExitCode:
    match outcome:
        case NotReached(reason):
            complain(f'not sent: {reason}')
            return ExitCode.unreachable
        case NoAnswer(reason):
            complain(f'unknown, it may have taken effect: {reason}')
            return ExitCode.unknown
        case HttpAnswer(status, body, retry_after):
            return _tell_answer(
                status, body.decode(errors='replace'), retry_after
            )


def _tell_answer(status: int, text: str, retry_after: str) -> ExitCode:
    if status < _MULTIPLE_CHOICES:
        print(text.rstrip('\n'))
        return ExitCode.ok
    if status in _UNKNOWN:
        complain(f'unknown, it may have taken effect: {status} {text}')
        return ExitCode.unknown
    hint = f' (again after {retry_after} s)' if retry_after else ''
    complain(f'refused, nothing changed: {status} {text}{hint}')
    return ExitCode.findings
