"""Offered load and fault injection of the scenarios over time."""

import itertools

from waxwingford_bench.colocation._attempts import Ended
from waxwingford_bench.colocation._deployments import Fault, Scenario
from waxwingford_bench.colocation._scheduler import Domain
from waxwingford_bench.colocation._workload import Job, is_wave
from waxwingford_bench.colocation._world import World

_SHIFT_RISE = 0.25
_SHIFT_RAMP_S = 30
#: Times of the faults, as fractions of the run.
_BAD_SERVER_FROM = 0.2
_MIDDLE = 0.5
_RACK_RECOVERED = 0.75
_LOST_RACK = 'rack1'
_BAD_SERVER = 1


def offered_load(scenario: Scenario, now_s: int, duration_s: int) -> float:
    """Compute the offered load of the service without colocated tasks.

    :param scenario: conditions of the run.
    :param now_s: virtual time, in seconds.
    :param duration_s: length of the run, in seconds.
    :returns: offered load as a share of the slots.
    """
    if scenario.fault is not Fault.load_shift:
        return scenario.load
    ramp = min(max((now_s - duration_s * _MIDDLE) / _SHIFT_RAMP_S, 0), 1)
    return scenario.load + _SHIFT_RISE * ramp


def apply_fault(
    fault: Fault,
    progress: float,
    world: World,
    domains: list[Domain],
    jobs: list[Job],
) -> list[Ended]:
    """Inject or end a fault if it is due.

    :param fault: fault of the scenario.
    :param progress: elapsed fraction of the run, 0 to 1.
    :param world: emulated servers.
    :param domains: failure domains.
    :param jobs: all jobs of the run.
    :returns: attempts lost through the fault.
    """
    match fault:
        case Fault.bad_server if progress >= _BAD_SERVER_FROM:
            world.bad_servers.add(_BAD_SERVER)
        case Fault.rack_lost:
            return _fail_rack(world, progress)
        case Fault.daemons_restarted if (
            abs(progress - _MIDDLE) < _PROGRESS_TOLERANCE
        ):
            for domain in domains:
                domain.restart(1)
        case Fault.noisy_wave if progress >= _MIDDLE:
            _cancel_half_of_wave(jobs)
    return []


#: Smaller than the fraction that one step is of the shortest run.
_PROGRESS_TOLERANCE = 1e-6


def _fail_rack(world: World, progress: float) -> list[Ended]:
    down = _MIDDLE <= progress < _RACK_RECOVERED
    servers = [
        server for server, rack in enumerate(world.racks) if rack == _LOST_RACK
    ]
    if down:
        lost = map(world.fail_server, servers)
        return list(itertools.chain.from_iterable(lost))
    for server in servers:
        world.up[server] = True
    return []


def _cancel_half_of_wave(jobs: list[Job]) -> None:
    wave = [job for job in jobs if is_wave(job)]
    for job in itertools.islice(wave, 0, None, 2):
        for task in job.tasks:
            task.cancelled = True
