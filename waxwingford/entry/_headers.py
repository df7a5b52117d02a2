"""Request headers of callers, checked."""

import dataclasses
from collections.abc import Mapping
from typing import NamedTuple

from aiohttp import web

from waxwingford.entry._limits import EntryLimits
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
#: An attempt number or an age beyond this is a mistake of the caller.
_MOST_DIGITS = 9
_MOST_KEY = 255


class CallerHeaders(NamedTuple):
    """What a caller says of its request.

    :ivar member: organisation of the caller.
    :ivar deadline_ms: longest time for an answer, in milliseconds.
    :ivar urgency: for shedding.
    :ivar idempotent: whether it may run more than once.
    :ivar key: idempotency key, empty without one.
    :ivar attempt: attempt number, 0 without one.
    :ivar age_ms: time since the first attempt was sent, in milliseconds; -1
        without one.
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
        waited_ms: int,
    ) -> Request:
        """Build the request that the dispatcher takes.

        :param request_id: unique.
        :param service: service name.
        :param path: path below the service, with the query.
        :param body: whole body.
        :param waited_ms: time already spent here, in milliseconds.
        :returns: the request.
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
            deadline_ms=max(0, self.deadline_ms - waited_ms),
            age_ms=self.age_ms + waited_ms if self.age_ms >= 0 else -1,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderFault:
    """A header is wrong.

    :ivar reason: names the header, what it holds, and what was expected.
    """

    reason: str


def read_headers(
    request: web.Request, limits: EntryLimits
) -> CallerHeaders | HeaderFault:
    """Check the headers of a request.

    :param request: the request.
    :param limits: deadlines.
    :returns: what the caller says, or the first header that is wrong.
    """
    given = {name: request.headers.getall(name, []) for name in _ALL_HEADERS}
    text = {name: values[0] if values else '' for name, values in given.items()}
    faults = [
        f'{name} is given {len(values)} times, expected once'
        for name, values in given.items()
        if len(values) > 1
    ]
    faults.extend(fault for fault in _faults(text) if fault)
    if faults:
        return HeaderFault(faults[0])
    deadline_ms = int(text[DEADLINE_HEADER] or limits.default_deadline_ms)
    return CallerHeaders(
        member=text[MEMBER_HEADER],
        deadline_ms=min(deadline_ms, limits.longest_deadline_ms),
        urgency=Urgency[text[URGENCY_HEADER] or Urgency.normal.name],
        idempotent=text[IDEMPOTENT_HEADER] == 'true',
        key=text[KEY_HEADER],
        attempt=int(text[ATTEMPT_HEADER] or 0),
        age_ms=int(text[AGE_HEADER] or -1),
    )


def _faults(text: Mapping[str, str]) -> list[str]:
    return [
        '' if text[MEMBER_HEADER] else f'{MEMBER_HEADER} is missing',
        _number_fault(DEADLINE_HEADER, text, least=1),
        _choice_fault(URGENCY_HEADER, text, Urgency.__members__),
        _choice_fault(IDEMPOTENT_HEADER, text, _IDEMPOTENT_BY_TEXT),
        _number_fault(ATTEMPT_HEADER, text, least=1),
        _number_fault(AGE_HEADER, text, least=0),
        _key_fault(text[KEY_HEADER]),
    ]


def _number_fault(name: str, text: Mapping[str, str], least: int) -> str:
    given = text[name]
    number = given.isascii() and given.isdecimal()
    fits = number and len(given) <= _MOST_DIGITS and int(given) >= least
    if not given or fits:
        return ''
    return f'{name} is {given!r}, expected a whole number from {least}'


def _choice_fault(
    name: str, text: Mapping[str, str], choices: Mapping[str, object]
) -> str:
    if not text[name] or text[name] in choices:
        return ''
    expected = ', '.join(choices)
    return f'{name} is {text[name]!r}, expected one of: {expected}'


def _key_fault(key: str) -> str:
    if len(key) <= _MOST_KEY and key.isascii() and key.isprintable():
        return ''
    return f'{KEY_HEADER} must be printable ASCII, at most {_MOST_KEY} long'
