"""Plays of emulated days with constants of modules replaced."""

import argparse
import ast
import functools
import importlib
from concurrent import futures
from typing import NamedTuple

from waxwingford.scheduling import Features
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


class Switch(NamedTuple):
    """Feature that is switched on, see ``Features``."""

    name: str
    given: object = True


Way = tuple[Setting | Switch, ...]


def parse_setting(text: str) -> Setting | Switch:
    """Parse ``MODULE.NAME=VALUE``, or the name of a feature.

    :raises argparse.ArgumentTypeError: if the text has another form.
    """
    if text in Features._fields:
        return Switch(text)
    place, separator, given = text.partition('=')
    module, _, name = place.rpartition('.')
    try:
        return Setting(module, name, ast.literal_eval(given))
    except (SyntaxError, ValueError) as error:
        raise argparse.ArgumentTypeError(
            f'{text}: expected MODULE.NAME=VALUE, {error}'
        ) from error


class Day(NamedTuple):
    """Kind and size of the days that are played.

    :ivar workload: name of the workload.
    :ivar span_s: time in which jobs arrive, in seconds.
    :ivar load: factor of the rate at which jobs arrive.
    """

    workload: str
    servers: int
    span_s: int
    load: float = 1


def play_with(way: Way, day: Day, seed: int) -> DayWorth:
    """Play a day with settings and features, in a process of its own."""
    switched = {}
    for item in way:
        match item:
            case Setting():
                item.apply()
            case Switch(name):
                switched[name] = True
    features = Features(**switched)
    workload = WORKLOAD_BY_NAME[day.workload]._replace(servers=day.servers)
    return play(workload.at_load(day.load), seed, day.span_s, features)


def play_all(way: Way, day: Day, seeds: range, jobs: int) -> list[DayWorth]:
    """Play a day for each seed.

    :param jobs: processes at a time.
    """
    with futures.ProcessPoolExecutor(jobs, max_tasks_per_child=1) as pool:
        return list(pool.map(functools.partial(play_with, way, day), seeds))


__all__ = ('Day', 'Setting', 'Switch', 'parse_setting', 'play_all')
