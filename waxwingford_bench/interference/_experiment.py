"""Plays of emulated days with constants of modules replaced."""

import argparse
import ast
import functools
import importlib
from concurrent import futures
from typing import NamedTuple

from waxwingford.scheduling import Features
from waxwingford_bench.interference import _cluster
from waxwingford_bench.interference._trial import DayWorth, play
from waxwingford_bench.interference._workload import WORKLOAD_BY_NAME


class Setting(NamedTuple):
    """Replacement of a module's constant."""

    module: str
    name: str
    given: object

    def apply(self) -> None:
        """Replace the constant in this process.

        :raises AttributeError: if the module has no such constant.
        """
        module = importlib.import_module(self.module)
        getattr(module, self.name)
        setattr(module, self.name, self.given)


def parse_setting(text: str) -> Setting:
    """Parse ``MODULE.NAME=VALUE``.

    :raises argparse.ArgumentTypeError: if the text has another form.
    """
    place, separator, given = text.partition('=')
    module, _, name = place.rpartition('.')
    try:
        return Setting(module, name, ast.literal_eval(given))
    except (SyntaxError, ValueError) as error:
        raise argparse.ArgumentTypeError(
            f'{text}: expected MODULE.NAME=VALUE, {error}'
        ) from error


def parse_features(text: str) -> Setting:
    """Parse names of features, separated by commas.

    :raises argparse.ArgumentTypeError: if there is no such feature.
    """
    try:
        features = Features(**dict.fromkeys(text.split(','), True))
    except TypeError as error:
        raise argparse.ArgumentTypeError(
            f'{text}: expected names of {Features.__name__}, {error}'
        ) from error
    return Setting(_cluster.__name__, 'FEATURES', features)


class Day(NamedTuple):
    """Kind and size of the days that are played.

    :ivar workload: name of the workload.
    :ivar span_s: time in which jobs arrive, in seconds.
    """

    workload: str
    servers: int
    span_s: int


def play_with(settings: tuple[Setting, ...], day: Day, seed: int) -> DayWorth:
    """Play a day with settings, in a process of its own."""
    for setting in settings:
        setting.apply()
    workload = WORKLOAD_BY_NAME[day.workload]
    return play(workload._replace(servers=day.servers), seed, day.span_s)


def play_all(
    settings: tuple[Setting, ...], day: Day, seeds: range, jobs: int
) -> list[DayWorth]:
    """Play a day for each seed.

    :param jobs: processes at a time.
    """
    with futures.ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        return list(
            pool.map(functools.partial(play_with, settings, day), seeds)
        )


__all__ = ('Day', 'Setting', 'parse_features', 'parse_setting', 'play_all')
