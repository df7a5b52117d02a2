"""Load and faults of the scenarios, by time."""

import itertools

from waxwingford_bench.colocation._attempts import Ended
from waxwingford_bench.colocation._deployments import Fault, Scenario
from waxwingford_bench.colocation._scheduler import Domain
from waxwingford_bench.colocation._workload import Job, is_wave
from waxwingford_bench.colocation._world import World

_SHIFT_RISE = 0.25
_SHIFT_S = 30
_BAD_FROM = 0.2
_MIDDLE = 0.5
_RACK_BACK = 0.75
_LOST_RACK = 'rack1'
_BAD_SERVER = 1


def offered_load(scenario: Scenario, now_s: int, length_s: int) -> float:
    """Compute the load of the service alone.

    :param scenario: conditions.
    :param now_s: time of the run, in seconds.
    :param length_s: length of the run, in seconds.
    :returns: share of the slots.
    """
    if scenario.fault is not Fault.load_shift:
        return scenario.load
    risen = min(max((now_s - length_s * _MIDDLE) / _SHIFT_S, 0), 1)
    return scenario.load + _SHIFT_RISE * risen


def strike(
    fault: Fault,
    part: float,
    world: World,
    domains: list[Domain],
    jobs: list[Job],
) -> list[Ended]:
    """Let a fault come about when its time is there.

    :param fault: of the scenario.
    :param part: part of the run that is over, 0 to 1.
    :param world: servers.
    :param domains: failure domains.
    :param jobs: all jobs of the run.
    :returns: attempts lost by it.
    """
    match fault:
        case Fault.bad_server if part >= _BAD_FROM:
            world.bad.add(_BAD_SERVER)
        case Fault.rack_lost:
            return _lose_rack(world, part)
        case Fault.daemons_restarted if abs(part - _MIDDLE) < _INSTANT:
            for domain in domains:
                domain.restart(1)
        case Fault.noisy_wave if part >= _MIDDLE:
            _cancel_half(jobs)
    return []


#: Less than the share of one step in the shortest run.
_INSTANT = 1e-6


def _lose_rack(world: World, part: float) -> list[Ended]:
    down = _MIDDLE <= part < _RACK_BACK
    servers = [
        server for server, rack in enumerate(world.racks) if rack == _LOST_RACK
    ]
    if down:
        lost = map(world.fail_server, servers)
        return list(itertools.chain.from_iterable(lost))
    for server in servers:
        world.up[server] = True
    return []


def _cancel_half(jobs: list[Job]) -> None:
    wave = [job for job in jobs if is_wave(job)]
    for job in itertools.islice(wave, 0, None, 2):
        for task in job.tasks:
            task.cancelled = True
