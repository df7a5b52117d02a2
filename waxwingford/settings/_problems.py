"""Problems found in a file of settings or a bundle, ready for people."""

import difflib
import types
from collections.abc import Iterable
from typing import NamedTuple, get_args

from pydantic import BaseModel, ValidationError

_SHOWN_CHARACTERS = 80
_UNKNOWN_KEY = 'extra_forbidden'
_MISSING_KEY = 'missing'


class Problem(NamedTuple):
    """One thing that is wrong.

    :ivar file: path as given.
    :ivar key: dotted key, for example ``leases.control_ms``.
    :ivar value: value as given, shortened.
    :ivar expected: what would be right.
    """

    file: str
    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        """Write it on one line.

        :returns: ``file: key: got value, expected ...``.
        """
        return f'{self.file}: {self.key}: got {self.value}, {self.expected}'


def problems_of(
    file: str, model: type[BaseModel], error: ValidationError
) -> tuple[Problem, ...]:
    """Translate what pydantic found.

    :param file: path as given.
    :param model: the checked model, to look for near keys.
    :param error: pydantic's errors, all of them.
    :returns: one problem for each error.
    """
    return tuple(
        Problem(
            file,
            '.'.join(map(str, detail['loc'])) or '(whole file)',
            _shown(detail),
            _expected(model, detail),
        )
        for detail in error.errors(include_url=False)
    )


def _shown(detail) -> str:
    if detail['type'] == _MISSING_KEY:
        return 'nothing'
    text = repr(detail['input'])
    if len(text) <= _SHOWN_CHARACTERS:
        return text
    return f'{text[:_SHOWN_CHARACTERS]}...'


def _expected(model: type[BaseModel], detail) -> str:
    if detail['type'] == _MISSING_KEY:
        return 'expected a value: the key is required'
    if detail['type'] == _UNKNOWN_KEY:
        return _nearest(model, detail['loc'])
    message = detail['msg']
    for opening in ('Input should be ', 'Value error, ', 'Input should '):
        message = message.removeprefix(opening)
    return f'expected {message}'


def _nearest(model: type[BaseModel], location: Iterable[int | str]) -> str:
    *parents, key = location
    section: type[BaseModel] | None = model
    for parent in parents:
        section = _section(section, parent)
    known = sorted(section.model_fields) if section else []
    near = difflib.get_close_matches(str(key), known, n=1, cutoff=0)
    if not near:
        return 'expected no such key'
    return f'expected a known key; the nearest is {near[0]}'


def _section(
    model: type[BaseModel] | None, key: int | str
) -> type[BaseModel] | None:
    if model is None or str(key) not in model.model_fields:
        # Keys of mappings and indexes of lists stay in the section that
        # _model_in found inside the container.
        return model
    return _model_in(model.model_fields[str(key)].annotation)


def _model_in(annotation) -> type[BaseModel] | None:
    if isinstance(annotation, type) and not isinstance(
        annotation, types.GenericAlias
    ):
        return annotation if issubclass(annotation, BaseModel) else None
    found = map(_model_in, get_args(annotation))
    return next((inner for inner in found if inner), None)
