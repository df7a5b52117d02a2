"""Parses and validates the request headers of callers."""

import dataclasses
from collections.abc import Mapping
from typing import NamedTuple

from aiohttp import web

from waxwingford.entry._limits import HttpLimits
from waxwingford.routing import Request, Urgency

MEMBER_HEADER = 'Waxwingford-Member'
DEADLINE_HEADER = 'Waxwingford-Deadline-Ms'
URGENCY_HEADER = 'Waxwingford-Urgency'
IDEMPOTENT_HEADER = 'Waxwingford-Idempotent'
ATTEMPT_HEADER = 'Waxwingford-Attempt'
AGE_HEADER = 'Waxwingford-Age-Ms'
KEY_HEADER = 'Idempotency-Key'
_ALL_HEADERS = (
    MEMBER_HEADER,
    DEADLINE_HEADER,
    URGENCY_HEADER,
    IDEMPOTENT_HEADER,
    ATTEMPT_HEADER,
    AGE_HEADER,
    KEY_HEADER,
)
_IDEMPOTENT_BY_TEXT: Mapping[str, bool] = {'true': True, 'false': False}
#: Maximum number of digits in a numeric header.
_MAX_DIGITS = 9
_MAX_KEY_LENGTH = 255


class CallerHeaders(NamedTuple):
    """Values of the request headers.

    :ivar member: organisation of the caller.
    :ivar deadline_ms: time limit for the response, in milliseconds.
    :ivar urgency: priority in load shedding.
    :ivar idempotent: whether the request may run more than once.
    :ivar key: idempotency key; empty if not given.
    :ivar attempt: attempt number, counted from 1; 0 if not given.
    :ivar age_ms: time since the first attempt was sent, in milliseconds; -1
        if not given.
    """

    member: str
    deadline_ms: int
    urgency: Urgency
    idempotent: bool
    key: str
    attempt: int
    age_ms: int

    def request(
        self,
        request_id: str,
        service: str,
        path: str,
        body: bytes,
        elapsed_ms: int,
    ) -> Request:
        """Build the request for the dispatcher.

        :param request_id: unique ID of the request.
        :param path: path below the service, including the query string.
        :param body: complete body.
        :param elapsed_ms: time since the request arrived, in milliseconds;
            subtracted from the deadline and added to the age.
        """
        return Request(
            request_id=request_id,
            member=self.member,
            service=service,
            path=path,
            body=body,
            urgency=self.urgency,
            idempotent=self.idempotent,
            key=self.key,
            attempt=self.attempt,
            deadline_ms=max(0, self.deadline_ms - elapsed_ms),
            age_ms=self.age_ms + elapsed_ms if self.age_ms >= 0 else -1,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidHeader:
    """A request header is invalid.

    :ivar reason: the name of the header, its value and what was expected.
    """

    reason: str


def read_headers(
    request: web.Request, limits: HttpLimits
) -> CallerHeaders | InvalidHeader:
    """Parse and validate the headers of a request.

    :param limits: default and maximum deadline.
    :returns: the parsed values, or the first error.
    """
    given = {name: request.headers.getall(name, []) for name in _ALL_HEADERS}
    value_by_name = {
        name: values[0] if values else '' for name, values in given.items()
    }
    errors = [
        f'{name} occurs {len(values)} times, expected at most once'
        for name, values in given.items()
        if len(values) > 1
    ]
    errors.extend(error for error in _header_errors(value_by_name) if error)
    if errors:
        return InvalidHeader(errors[0])
    deadline_ms = int(
        value_by_name[DEADLINE_HEADER] or limits.default_deadline_ms
    )
    return CallerHeaders(
        member=value_by_name[MEMBER_HEADER],
        deadline_ms=min(deadline_ms, limits.longest_deadline_ms),
        urgency=Urgency[value_by_name[URGENCY_HEADER] or Urgency.normal.name],
        idempotent=value_by_name[IDEMPOTENT_HEADER] == 'true',
        key=value_by_name[KEY_HEADER],
        attempt=int(value_by_name[ATTEMPT_HEADER] or 0),
        age_ms=int(value_by_name[AGE_HEADER] or -1),
    )


def _header_errors(value_by_name: Mapping[str, str]) -> list[str]:
    return [
        '' if value_by_name[MEMBER_HEADER] else f'{MEMBER_HEADER} is missing',
        _integer_error(DEADLINE_HEADER, value_by_name, minimum=1),
        _choice_error(URGENCY_HEADER, value_by_name, Urgency.__members__),
        _choice_error(IDEMPOTENT_HEADER, value_by_name, _IDEMPOTENT_BY_TEXT),
        _integer_error(ATTEMPT_HEADER, value_by_name, minimum=1),
        _integer_error(AGE_HEADER, value_by_name, minimum=0),
        _key_error(value_by_name[KEY_HEADER]),
    ]


def _integer_error(
    name: str, value_by_name: Mapping[str, str], minimum: int
) -> str:
    given = value_by_name[name]
    is_decimal = given.isascii() and given.isdecimal()
    valid = is_decimal and len(given) <= _MAX_DIGITS and int(given) >= minimum
    if not given or valid:
        return ''
    return (
        f'{name} is {given!r}, expected an integer >= {minimum} with at most'
        f' {_MAX_DIGITS} digits'
    )


def _choice_error(
    name: str, value_by_name: Mapping[str, str], choices: Mapping[str, object]
) -> str:
    if not value_by_name[name] or value_by_name[name] in choices:
        return ''
    expected = ', '.join(choices)
    return f'{name} is {value_by_name[name]!r}, expected one of: {expected}'


def _key_error(key: str) -> str:
    if len(key) <= _MAX_KEY_LENGTH and key.isascii() and key.isprintable():
        return ''
    return (
        f'{KEY_HEADER} must be at most {_MAX_KEY_LENGTH} '
        'printable ASCII characters'
    )
