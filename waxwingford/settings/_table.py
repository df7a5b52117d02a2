"""Table of all settings for the documentation, made from the model."""

import inspect
from collections.abc import Iterator
from typing import Any

from pydantic import BaseModel
from pydantic.fields import FieldInfo
from pydantic_core import PydanticUndefined

from waxwingford.settings._model import Settings
from waxwingford.settings._problems import _model_in

_UNIT_BY_SUFFIX = {
    'ms': 'milliseconds',
    'bytes': 'bytes',
    'records': 'records',
    'events': 'events',
    'connections': 'connections',
    'port': 'TCP port',
}
_HEAD = """# Settings

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


def settings_page(model: type[BaseModel] = Settings) -> str:
    """Write the page of all settings.

    :param model: the model of the file.
    :returns: text of ``docs/settings.md``.
    """
    return _HEAD + ''.join(f'{row}\n' for row in _rows(model, ''))


def _rows(model: type[BaseModel], prefix: str) -> Iterator[str]:
    about = inspect.getdoc(model) or ''
    for name, field in model.model_fields.items():
        inner = _model_in(field.annotation)
        if inner:
            many = '[]' if 'tuple' in str(field.annotation) else ''
            yield from _rows(inner, f'{prefix}{name}{many}.')
            continue
        cells = (
            f'`{prefix}{name}`',
            _unit(name),
            _default(field),
            _range(field),
            about.splitlines()[0],
        )
        yield f'| {" | ".join(cells)} |'


def _unit(name: str) -> str:
    return _UNIT_BY_SUFFIX.get(name.rsplit('_', 1)[-1], '')


def _default(field: FieldInfo) -> str:
    if field.default is PydanticUndefined:
        return 'required'
    return f'`{field.default}`'


def _range(field: FieldInfo) -> str:
    limits = _limits(field.metadata)
    return ', '.join(limits) or _kind(field)


def _limits(metadata: list[Any]) -> list[str]:
    signs = (
        ('ge', 'at least'),
        ('le', 'at most'),
        ('max_length', 'length at most'),
        ('min_length', 'entries at least'),
    )
    limits = [
        f'{words} {getattr(limit, sign)}'
        for limit in metadata
        for sign, words in signs
        if getattr(limit, sign, None) is not None
    ]
    patterns = [
        getattr(limit, 'pattern', None)
        for limit in metadata
        if getattr(limit, 'pattern', None)
    ]
    shown = (pattern.replace('|', r'\|') for pattern in patterns)
    return limits + [f'matches `{pattern}`' for pattern in shown]


def _kind(field: FieldInfo) -> str:
    return {
        'ip_number': 'IP number',
        '_service_url': 'URL with an IP number',
    }.get(_validator_name(field), 'text')


def _validator_name(field: FieldInfo) -> str:
    names = (
        limit.func.__name__
        for limit in field.metadata
        if hasattr(limit, 'func')
    )
    return next(names, '')
