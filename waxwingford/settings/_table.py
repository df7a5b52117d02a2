"""Reference page of all settings, generated from the model."""

import inspect
from collections.abc import Iterator
from typing import Any

from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from waxwingford.settings._model import Settings
from waxwingford.settings._problems import _nested_model

_UNIT_BY_SUFFIX = {
    'ms': 'milliseconds',
    'mb': 'MB',
    'fds': 'descriptors',
    'bytes': 'bytes',
    'records': 'records',
    'events': 'events',
    'connections': 'connections',
    'port': 'TCP port',
}
_PAGE_HEADER = """# Settings

Made by `waxwingford settings table`; don't edit. A settings file is TOML.
Unknown keys are errors. Besides the ranges below:

* `leases.renew_every_ms` and `leases.margin_ms` are less than
  `leases.control_ms`, which is less than `leases.task_ms`;
* daemon ids among `peers` differ; a peer with the daemon's own id has its
  own failure domain and addresses;
* files of `tls` exist; a relative name starts at the settings file.

Check a file with `waxwingford settings check FILE`.

| key | unit | default | range | section |
|---|---|---|---|---|
"""


def render_settings_page(model: type[BaseModel] = Settings) -> str:
    """Render the reference page of all settings.

    :param model: model of the settings file.
    :returns: page in Markdown, the contents of ``docs/settings.md``.
    """
    return _PAGE_HEADER + ''.join(f'{row}\n' for row in _render_rows(model, ''))


def _render_rows(model: type[BaseModel], prefix: str) -> Iterator[str]:
    section_doc = inspect.getdoc(model) or ''
    for name, field in model.model_fields.items():
        nested = _nested_model(field.annotation)
        if nested:
            array_suffix = '[]' if 'tuple' in str(field.annotation) else ''
            yield from _render_rows(nested, f'{prefix}{name}{array_suffix}.')
            continue
        cells = (
            f'`{prefix}{name}`',
            _unit(name),
            _default(field),
            _range(field),
            section_doc.splitlines()[0],
        )
        yield f'| {" | ".join(cells)} |'


def _unit(name: str) -> str:
    return _UNIT_BY_SUFFIX.get(name.rsplit('_', 1)[-1], '')


def _default(field: FieldInfo) -> str:
    if field.default is PydanticUndefined:
        return 'required'
    return f'`{field.default}`'


def _range(field: FieldInfo) -> str:
    descriptions = _describe_constraints(field.metadata)
    return ', '.join(descriptions) or _type_label(field)


def _describe_constraints(metadata: list[Any]) -> list[str]:
    labels = (
        ('ge', 'at least'),
        ('le', 'at most'),
        ('max_length', 'length at most'),
        ('min_length', 'entries at least'),
    )
    descriptions = [
        f'{label} {getattr(constraint, attribute)}'
        for constraint in metadata
        for attribute, label in labels
        if getattr(constraint, attribute, None) is not None
    ]
    patterns = [
        getattr(constraint, 'pattern', None)
        for constraint in metadata
        if getattr(constraint, 'pattern', None)
    ]
    escaped = (pattern.replace('|', r'\|') for pattern in patterns)
    return descriptions + [f'matches `{pattern}`' for pattern in escaped]


def _type_label(field: FieldInfo) -> str:
    return {
        'validate_ip_address': 'IP address',
        '_validate_service_url': 'URL with an IP address',
    }.get(_validator_name(field), 'text')


def _validator_name(field: FieldInfo) -> str:
    names = (
        constraint.func.__name__
        for constraint in field.metadata
        if hasattr(constraint, 'func')
    )
    return next(names, '')
