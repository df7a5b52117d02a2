"""Reads tables of a settings file into structs, and reports all problems.

A field is a struct or ``Annotated`` with an ``msgspec.Meta``, whose ``extra`` may
name a function under ``validate``. Values are not converted to other types.
"""

import re
from collections.abc import Iterator, Mapping
from typing import NamedTuple, TypeVar, get_args

import msgspec

from waxwingford.settings._problem import (
    KEY_REQUIRED,
    MISSING_VALUE,
    WHOLE_FILE,
    Problem,
    format_value,
    suggest_key,
)

Model = TypeVar('Model', bound=msgspec.Struct)

_TYPE_LABELS = {int: 'integer', float: 'number', str: 'string', bool: 'boolean'}
_PLAIN_TYPES = (bool, int, float, str, list, dict)


class _Found(NamedTuple):
    key: tuple[str, ...]
    value: str
    expected: str


def read_tables(
    file: str, document: Mapping[str, object], model: type[Model]
) -> Model | tuple[Problem, ...]:
    """Check a document and convert it to its model.

    :param file: path of the file as given by the caller.
    :returns: the model, or all problems found.
    """
    problems: list[_Found] = []
    loaded = _read_table((), document, model, problems)
    if loaded is not None:
        return loaded
    return tuple(
        Problem(file, '.'.join(key) or WHOLE_FILE, found, expected)
        for key, found, expected in problems
    )


def _read_table(
    key: tuple[str, ...],
    table: object,
    model: type[Model],
    problems: list[_Found],
) -> Model | None:
    """Read one table.

    :returns: the model, None if problems were added.
    """
    if not isinstance(table, dict):
        problems.append(_Found(key, _format(table), 'expected an object'))
        return None
    count_before = len(problems)
    fields = msgspec.structs.fields(model)
    value_by_name = {}
    for field in fields:
        place = (*key, field.name)
        found = table.get(field.name, msgspec.UNSET)
        if found is not msgspec.UNSET:
            value_by_name[field.name] = _read_value(
                place, found, field.type, problems
            )
        elif field.required:
            problems.append(_Found(place, MISSING_VALUE, KEY_REQUIRED))
    known = {field.name for field in fields}
    problems.extend(
        _Found((*key, name), _format(found), suggest_key(name, known))
        for name, found in table.items()
        if name not in known
    )
    if len(problems) > count_before:
        return None
    return model(**value_by_name)


def _read_value(
    key: tuple[str, ...],
    found: object,
    kind: object,
    problems: list[_Found],
) -> object:
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        return _read_table(key, found, kind, problems)
    scalar, meta = _scalar_type(kind)
    found = _plain(found)
    expected = next(_expectations(found, scalar, meta), '')
    if expected:
        problems.append(_Found(key, _format(found), f'expected {expected}'))
    return float(found) if scalar is float and not expected else found


def _plain(found: object) -> object:
    # Dates and times of TOML count as text.
    return found if isinstance(found, _PLAIN_TYPES) else str(found)


def _format(found: object) -> str:
    return format_value(_plain(found))


def _scalar_type(kind: object) -> tuple[type, msgspec.Meta]:
    """Take an annotation apart; an optional value is never None in TOML.

    :returns: type and constraints.
    """
    if isinstance(kind, type):
        return kind, msgspec.Meta()
    scalar, *metadata = get_args(kind)
    if metadata and isinstance(metadata[0], msgspec.Meta):
        return scalar, metadata[0]
    return _scalar_type(scalar)


def _expectations(
    found: object, scalar: type, meta: msgspec.Meta
) -> Iterator[str]:
    """List what a value would have to be, in the order of the checks."""
    accepted = (int, float) if scalar is float else (scalar,)
    mistaken = isinstance(found, bool) and scalar is not bool
    if mistaken or not isinstance(found, accepted):
        yield f'a valid {_TYPE_LABELS[scalar]}'
    elif scalar is bool:
        return
    elif scalar is str:
        yield from _text_expectations(found, meta)
    else:
        yield from _number_expectations(found, meta)


def _number_expectations(found: float, meta: msgspec.Meta) -> Iterator[str]:
    if meta.le is not None and not found <= meta.le:
        yield f'less than or equal to {meta.le}'
    if meta.ge is not None and not found >= meta.ge:
        yield f'greater than or equal to {meta.ge}'
    if meta.gt is not None and not found > meta.gt:
        yield f'greater than {meta.gt}'


def _text_expectations(found: str, meta: msgspec.Meta) -> Iterator[str]:
    shortest, longest = meta.min_length, meta.max_length
    if shortest is not None and len(found) < shortest:
        yield f'String should have at least {_count_characters(shortest)}'
    if longest is not None and len(found) > longest:
        yield f'String should have at most {_count_characters(longest)}'
    if meta.pattern is not None and not re.fullmatch(meta.pattern, found):
        yield f"String should match pattern '{meta.pattern}'"
    if meta.extra is not None:
        try:
            meta.extra['validate'](found)
        except ValueError as error:
            yield str(error)


def _count_characters(count: int) -> str:
    return f'{count} character{"" if count == 1 else "s"}'
