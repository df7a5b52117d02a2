"""Checked loading of a settings file: every problem, not just the first."""

import collections
import dataclasses
import json
import pathlib
import tomllib
from collections.abc import Iterator

from pydantic import BaseModel, ValidationError

from waxwingford.settings._model import Settings, Tls
from waxwingford.settings._problems import Problem, problems_of
from waxwingford.settings._scheduler import SchedulerSettings

#: Only the settings of a scheduler daemon have this table.
_SCHEDULER_TABLE = 'store'
_ANY_ADDRESSES = frozenset(('0.0.0.0', '::'))


@dataclasses.dataclass(frozen=True, slots=True)
class Loaded:
    """The file is right.

    :ivar settings: checked settings.
    """

    settings: Settings


@dataclasses.dataclass(frozen=True, slots=True)
class SettingsInvalid:
    """The file can't be used.

    :ivar problems: everything that is wrong with it.
    """

    problems: tuple[Problem, ...]


def load_toml(
    path: str | pathlib.Path, model: type[BaseModel]
) -> BaseModel | tuple[Problem, ...]:
    """Read a TOML file and check it against a model.

    :param path: the file.
    :param model: what it must match; values are not converted.
    :returns: the checked model, or all problems.
    """
    file = str(path)
    try:
        document = tomllib.loads(pathlib.Path(path).read_text('utf-8'))
    except OSError as error:
        reason = f'expected a file that can be read: {error.strerror}'
        return (Problem(file, '(whole file)', 'nothing', reason),)
    except UnicodeDecodeError:
        return (Problem(file, '(whole file)', 'bytes', 'expected UTF-8 text'),)
    except tomllib.TOMLDecodeError as error:
        return (
            Problem(file, '(whole file)', 'text', f'expected TOML: {error}'),
        )
    try:
        # By way of JSON: strict, but a TOML array may fill a tuple.
        return model.model_validate_json(
            json.dumps(document, default=str), strict=True
        )
    except ValidationError as error:
        return problems_of(file, model, error)


def load_settings(path: str | pathlib.Path) -> Loaded | SettingsInvalid:
    """Load a daemon's settings.

    :param path: TOML file.
    :returns: the settings, or everything that is wrong with the file.
    """
    loaded = load_toml(path, Settings)
    if not isinstance(loaded, Settings):
        return SettingsInvalid(loaded)
    problems = tuple(_cross_problems(str(path), loaded))
    if problems:
        return SettingsInvalid(problems)
    return Loaded(_with_full_paths(pathlib.Path(path).parent, loaded))


def load_scheduler_settings(
    path: str | pathlib.Path,
) -> SchedulerSettings | SettingsInvalid:
    """Load the settings of a scheduler daemon.

    :param path: TOML file.
    :returns: the settings, or everything that is wrong with the file.
    """
    loaded = load_toml(path, SchedulerSettings)
    if isinstance(loaded, SchedulerSettings):
        return loaded
    return SettingsInvalid(loaded)


def is_for_scheduler(path: str | pathlib.Path) -> bool:
    """Tell the settings of a scheduler daemon from those of an entry daemon.

    :param path: TOML file; one that can't be read is neither.
    :returns: whether it has the table that only a scheduler's settings have.
    """
    try:
        document = tomllib.loads(pathlib.Path(path).read_text('utf-8'))
    except (OSError, ValueError):
        return False
    return _SCHEDULER_TABLE in document


def _with_full_paths(directory: pathlib.Path, settings: Settings) -> Settings:
    if settings.tls is None:
        return settings
    full = {key: str(directory / name) for key, name in settings.tls}
    return settings.model_copy(update={'tls': Tls(**full)})


def _cross_problems(file: str, settings: Settings) -> Iterator[Problem]:
    yield from _lease_problems(file, settings)
    yield from _peer_problems(file, settings)
    yield from _own_address_problems(file, settings)
    yield from _tls_problems(file, settings)


def _lease_problems(file: str, settings: Settings) -> Iterator[Problem]:
    leases = settings.leases
    control = f'leases.control_ms ({leases.control_ms})'
    if leases.renew_every_ms >= leases.control_ms:
        yield Problem(
            file,
            'leases.renew_every_ms',
            str(leases.renew_every_ms),
            f'expected less than {control}',
        )
    if leases.margin_ms >= leases.control_ms:
        yield Problem(
            file,
            'leases.margin_ms',
            str(leases.margin_ms),
            f'expected less than {control}',
        )
    if leases.task_ms <= leases.control_ms:
        yield Problem(
            file,
            'leases.task_ms',
            str(leases.task_ms),
            f'expected more than {control}',
        )


def _peer_problems(file: str, settings: Settings) -> Iterator[Problem]:
    count_by_id = collections.Counter(peer.daemon_id for peer in settings.peers)
    for index, peer in enumerate(settings.peers):
        if count_by_id[peer.daemon_id] > 1:
            yield Problem(
                file,
                f'peers.{index}.daemon_id',
                repr(peer.daemon_id),
                'expected an id that no other peer has',
            )


def _own_address_problems(file: str, settings: Settings) -> Iterator[Problem]:
    for index, peer in enumerate(settings.peers):
        if peer.daemon_id != settings.identity.daemon_id:
            continue
        wanted_by_key = {
            'failure_domain': settings.identity.failure_domain,
            'http_port': settings.listen.http_port,
            'rpc_port': settings.listen.rpc_port,
        }
        if settings.listen.host not in _ANY_ADDRESSES:
            wanted_by_key['host'] = settings.listen.host
        yield from (
            Problem(
                file,
                f'peers.{index}.{key}',
                repr(getattr(peer, key)),
                f'expected {wanted!r}: this peer is the daemon itself',
            )
            for key, wanted in wanted_by_key.items()
            if getattr(peer, key) != wanted
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
                'expected a file beside the settings file, or a full path',
            )
