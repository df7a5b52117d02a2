"""Human-readable problems of a settings file or a bundle file."""

import difflib
import types
from collections.abc import Iterable
from typing import NamedTuple, get_args

from pydantic import BaseModel, ValidationError

_MAX_VALUE_CHARACTERS = 80
_UNKNOWN_KEY_ERROR = 'extra_forbidden'
_MISSING_KEY_ERROR = 'missing'


class Problem(NamedTuple):
    """Problem of a single key, or of the whole file.

    :ivar file: path of the file as given by the caller.
    :ivar key: dotted key, for example ``leases.control_ms``.
    :ivar value: representation of the invalid value, truncated.
    :ivar expected: description of a valid value.
    """

    file: str
    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        """Format the problem as a single line.

        :returns: ``file: key: got value, expected ...``.
        """
        return f'{self.file}: {self.key}: got {self.value}, {self.expected}'


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
            '.'.join(map(str, detail['loc'])) or '(whole file)',
            _format_input(detail),
            _describe_expected(model, detail),
        )
        for detail in error.errors(include_url=False)
    )


def _format_input(detail) -> str:
    if detail['type'] == _MISSING_KEY_ERROR:
        return 'nothing'
    text = repr(detail['input'])
    if len(text) <= _MAX_VALUE_CHARACTERS:
        return text
    return f'{text[:_MAX_VALUE_CHARACTERS]}...'


def _describe_expected(model: type[BaseModel], detail) -> str:
    if detail['type'] == _MISSING_KEY_ERROR:
        return 'expected a value: the key is required'
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
    known_keys = sorted(section.model_fields) if section else []
    matches = difflib.get_close_matches(str(key), known_keys, n=1, cutoff=0)
    if not matches:
        return 'expected no such key'
    return f'expected a known key; the nearest is {matches[0]}'


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
