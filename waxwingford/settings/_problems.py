"""Problems of a file, from the errors of pydantic."""

import types
from collections.abc import Iterable
from typing import get_args

from pydantic import BaseModel, ValidationError

from waxwingford.settings._problem import (
    KEY_REQUIRED,
    MISSING_VALUE,
    WHOLE_FILE,
    Problem,
    format_value,
    suggest_key,
)

_UNKNOWN_KEY_ERROR = 'extra_forbidden'
_MISSING_KEY_ERROR = 'missing'


def problems_from_error(
    file: str, model: type[BaseModel], error: ValidationError
) -> tuple[Problem, ...]:
    """Convert a pydantic validation error to problems.

    :param file: path of the file as given by the caller.
    :param model: model of the file, searched for keys similar to unknown ones.
    :param error: error raised by the validation.
    :returns: one problem for each entry of the error.
    """
    return tuple(
        Problem(
            file,
            '.'.join(map(str, detail['loc'])) or WHOLE_FILE,
            _format_input(detail),
            _describe_expected(model, detail),
        )
        for detail in error.errors(include_url=False)
    )


def _format_input(detail) -> str:
    if detail['type'] == _MISSING_KEY_ERROR:
        return MISSING_VALUE
    return format_value(detail['input'])


def _describe_expected(model: type[BaseModel], detail) -> str:
    if detail['type'] == _MISSING_KEY_ERROR:
        return KEY_REQUIRED
    if detail['type'] == _UNKNOWN_KEY_ERROR:
        return _suggest_key(model, detail['loc'])
    message = detail['msg']
    for prefix in ('Input should be ', 'Value error, ', 'Input should '):
        message = message.removeprefix(prefix)
    return f'expected {message}'


def _suggest_key(model: type[BaseModel], location: Iterable[int | str]) -> str:
    *parents, key = location
    section: type[BaseModel] | None = model
    for parent in parents:
        section = _section_model(section, parent)
    return suggest_key(str(key), section.model_fields if section else ())


def _section_model(
    model: type[BaseModel] | None, key: int | str
) -> type[BaseModel] | None:
    if model is None or str(key) not in model.model_fields:
        # Mapping keys and list indexes name no field; the model found inside
        # the container still applies.
        return model
    return _nested_model(model.model_fields[str(key)].annotation)


def _nested_model(annotation) -> type[BaseModel] | None:
    if isinstance(annotation, type) and not isinstance(
        annotation, types.GenericAlias
    ):
        return annotation if issubclass(annotation, BaseModel) else None
    found = map(_nested_model, get_args(annotation))
    return next((inner for inner in found if inner), None)
