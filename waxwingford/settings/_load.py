"""Loading and validation of settings files, with all problems reported."""

import collections
import dataclasses
import json
import pathlib
from collections.abc import Iterator

from pydantic import BaseModel, ValidationError

from waxwingford.settings._documents import read_document
from waxwingford.settings._model import Settings, Tls
from waxwingford.settings._problem import Problem, SettingsInvalid
from waxwingford.settings._problems import problems_from_error

_WILDCARD_ADDRESSES = frozenset(('0.0.0.0', '::'))


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsLoaded:
    """Result of loading a valid settings file.

    :ivar settings: validated settings, with TLS paths resolved.
    """

    settings: Settings


def load_toml(
    path: str | pathlib.Path, model: type[BaseModel]
) -> BaseModel | tuple[Problem, ...]:
    """Read a TOML file and validate it against a model.

    :param path: path of the TOML file.
    :param model: model to validate against; values are not converted to the
        types of the model.
    :returns: the validated model, or all problems found.
    """
    document = read_document(path)
    if not isinstance(document, dict):
        return document
    try:
        # Strict validation accepts an array for a tuple only in JSON input.
        return model.model_validate_json(
            json.dumps(document, default=str), strict=True
        )
    except ValidationError as error:
        return problems_from_error(str(path), model, error)


def load_settings(path: str | pathlib.Path) -> SettingsLoaded | SettingsInvalid:
    """Load the settings of an entry daemon.

    :param path: path of the TOML file.
    :returns: the settings, or all problems found in the file.
    """
    loaded = load_toml(path, Settings)
    if not isinstance(loaded, Settings):
        return SettingsInvalid(loaded)
    problems = tuple(_consistency_problems(str(path), loaded))
    if problems:
        return SettingsInvalid(problems)
    return SettingsLoaded(_resolve_tls_paths(pathlib.Path(path).parent, loaded))


def _resolve_tls_paths(directory: pathlib.Path, settings: Settings) -> Settings:
    if settings.tls is None:
        return settings
    resolved = {key: str(directory / name) for key, name in settings.tls}
    return settings.model_copy(update={'tls': Tls(**resolved)})


def _consistency_problems(file: str, settings: Settings) -> Iterator[Problem]:
    yield from _lease_problems(file, settings)
    yield from _peer_problems(file, settings)
    yield from _own_address_problems(file, settings)
    yield from _tls_problems(file, settings)


def _lease_problems(file: str, settings: Settings) -> Iterator[Problem]:
    leases = settings.leases
    control_setting = f'leases.control_ms ({leases.control_ms})'
    if leases.renew_every_ms >= leases.control_ms:
        yield Problem(
            file,
            'leases.renew_every_ms',
            str(leases.renew_every_ms),
            f'expected less than {control_setting}',
        )
    if leases.margin_ms >= leases.control_ms:
        yield Problem(
            file,
            'leases.margin_ms',
            str(leases.margin_ms),
            f'expected less than {control_setting}',
        )
    if leases.task_ms <= leases.control_ms:
        yield Problem(
            file,
            'leases.task_ms',
            str(leases.task_ms),
            f'expected more than {control_setting}',
        )


def _peer_problems(file: str, settings: Settings) -> Iterator[Problem]:
    count_by_id = collections.Counter(peer.daemon_id for peer in settings.peers)
    for index, peer in enumerate(settings.peers):
        if count_by_id[peer.daemon_id] > 1:
            yield Problem(
                file,
                f'peers.{index}.daemon_id',
                repr(peer.daemon_id),
                'expected a unique daemon id',
            )


def _own_address_problems(file: str, settings: Settings) -> Iterator[Problem]:
    for index, peer in enumerate(settings.peers):
        if peer.daemon_id != settings.identity.daemon_id:
            continue
        expected_by_key = {
            'failure_domain': settings.identity.failure_domain,
            'http_port': settings.listen.http_port,
            'rpc_port': settings.listen.rpc_port,
        }
        if settings.listen.host not in _WILDCARD_ADDRESSES:
            expected_by_key['host'] = settings.listen.host
        yield from (
            Problem(
                file,
                f'peers.{index}.{key}',
                repr(getattr(peer, key)),
                f'expected {expected_value!r}: this peer is the daemon itself',
            )
            for key, expected_value in expected_by_key.items()
            if getattr(peer, key) != expected_value
        )


def _tls_problems(file: str, settings: Settings) -> Iterator[Problem]:
    if settings.tls is None:
        return
    directory = pathlib.Path(file).parent
    for key, name in settings.tls:
        if not (directory / name).is_file():
            yield Problem(
                file,
                f'tls.{key}',
                repr(name),
                'expected an existing file, as an absolute path or relative to'
                ' the settings file',
            )
