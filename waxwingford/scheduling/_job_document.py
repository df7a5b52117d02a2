"""Strict decoding of jobs as JSON with the names of ``JobSpec`` and ``StepSpec``.

The stored rows use other names and ignore keys that they don't know. A job that a
person has written is rejected for any key that would have no effect.
"""

import types
from collections.abc import Iterator, Mapping
from typing import NamedTuple

import msgspec

from waxwingford.ports import Resources
from waxwingford.scheduling._spec_checks import SpecFault, find_fault
from waxwingford.scheduling._specs import JobSpec, StepSpec

#: Fields that the scheduler sets itself.
_INTERNAL_FIELDS = frozenset(('terms',))
#: Fields of a job that may be left out, with the values used instead.
_OPTIONAL_JOB_FIELDS = types.MappingProxyType({'job_id': '', 'payload': ''})
#: Key of a fault of the whole document, as in messages about settings files.
_WHOLE_DOCUMENT = '(whole file)'
_MISSING = 'nothing'
_MAX_GIVEN_CHARACTERS = 80
_EXPECTED_BY_TYPE = types.MappingProxyType(
    {
        bool: 'true or false',
        int: 'an integer',
        str: 'a string',
        tuple: 'a list of integers',
    }
)


class DocumentFault(NamedTuple):
    """What is wrong with a job that was written as JSON.

    :ivar key: place in the document, for example ``steps[1].count``.
    :ivar given: representation of what is there, truncated.
    :ivar expected: what is expected there.
    """

    key: str
    given: str
    expected: str

    def __str__(self) -> str:
        """Format the fault as ``key: got given, expected values``."""
        return f'{self.key}: got {self.given}, expected {self.expected}'


class _Field(NamedTuple):
    # ``kind`` is a type of ``_EXPECTED_BY_TYPE``, or the names of an object.
    kind: type
    required: bool


def _fields_of(
    model: type[msgspec.Struct], optional: Mapping[str, object]
) -> dict[str, _Field]:
    return {
        field.name: _Field(
            getattr(field.type, '__origin__', field.type),
            field.required and field.name not in optional,
        )
        for field in msgspec.structs.fields(model)
        if field.name not in _INTERNAL_FIELDS
    }


_JOB_FIELDS = _fields_of(JobSpec, _OPTIONAL_JOB_FIELDS)
_STEP_FIELDS = _fields_of(StepSpec, {})
_NEEDS_FIELDS = types.MappingProxyType(
    {
        name: _Field(int, name not in Resources._field_defaults)
        for name in Resources._fields
    }
)


def decode_job(raw: bytes) -> JobSpec | DocumentFault:
    """Decode and check a job.

    :returns: the job, or the first fault that was found.
    """
    try:
        document = msgspec.json.decode(raw)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        return DocumentFault(_WHOLE_DOCUMENT, str(error), 'a job as JSON')
    fault = next(_find_job_faults(document), None)
    if fault is not None:
        return fault
    spec = _build_job(document)
    found = find_fault(spec)
    return spec if found is None else _as_document_fault(found)


def _find_job_faults(document: object) -> Iterator[DocumentFault]:
    yield from _find_object_faults('', document, _JOB_FIELDS)
    for index, step in enumerate(document['steps']):
        place = f'steps[{index}]'
        yield from _find_object_faults(place, step, _STEP_FIELDS)
        needs = step['needs']
        yield from _find_object_faults(f'{place}.needs', needs, _NEEDS_FIELDS)


def _find_object_faults(
    place: str, found: object, field_by_name: Mapping[str, _Field]
) -> Iterator[DocumentFault]:
    """Find the faults of one object, apart from those of objects in it."""
    if not isinstance(found, dict):
        yield DocumentFault(
            place or _WHOLE_DOCUMENT, _represent(found), 'an object'
        )
        return
    prefix = f'{place}.' if place else ''
    known = ', '.join(field_by_name)
    for key, given in found.items():
        if key not in field_by_name:
            yield DocumentFault(
                prefix + key, _represent(given), f'one of {known}'
            )
    for name, field in field_by_name.items():
        if name in found or field.required:
            yield from _find_value_faults(prefix, name, field, found)


def _find_value_faults(
    prefix: str, name: str, field: _Field, found: dict
) -> Iterator[DocumentFault]:
    given = found.get(name, msgspec.UNSET)
    if given is msgspec.UNSET or not _has_kind(name, given, field.kind):
        yield DocumentFault(
            prefix + name, _represent(given), _describe(name, field.kind)
        )


def _has_kind(name: str, found: object, kind: type) -> bool:
    if name == 'steps':
        return isinstance(found, list)
    if kind is tuple:
        # By type, as a job of 128 KiB may list tens of thousands of integers.
        return isinstance(found, list) and set(map(type, found)) <= {int}
    if kind is int:
        return _is_integer(found)
    # Objects are checked on their own.
    return kind not in _EXPECTED_BY_TYPE or isinstance(found, kind)


def _is_integer(found: object) -> bool:
    return isinstance(found, int) and not isinstance(found, bool)


def _describe(name: str, kind: type) -> str:
    if name == 'steps':
        return 'a list of objects'
    return _EXPECTED_BY_TYPE.get(kind, 'an object')


def _represent(found: object) -> str:
    text = _MISSING if found is msgspec.UNSET else repr(found)
    if len(text) <= _MAX_GIVEN_CHARACTERS:
        return text
    return f'{text[:_MAX_GIVEN_CHARACTERS]}...'


def _build_job(document: dict) -> JobSpec:
    steps = tuple(
        StepSpec(
            **{
                **step,
                'needs': Resources(**step['needs']),
                # A step that is listed again changes nothing but the time taken.
                'after': tuple(dict.fromkeys(step.get('after', ()))),
            }
        )
        for step in document['steps']
    )
    return JobSpec(**{**_OPTIONAL_JOB_FIELDS, **document, 'steps': steps})


def _as_document_fault(fault: SpecFault) -> DocumentFault:
    if fault.step is None and fault.field == 'count':
        # The sum over all steps is no key of the document.
        tasks = f'{fault.given} tasks'
        return DocumentFault('steps', tasks, fault.expected)
    place = '' if fault.step is None else f'steps[{fault.step}].'
    if fault.field in Resources._fields:
        place = f'{place}needs.'
    return DocumentFault(
        place + fault.field, _represent(fault.given), fault.expected
    )
