"""Emulated deployments, scenarios and injected faults."""

import dataclasses
import enum
from typing import NamedTuple

from waxwingford.placement import PolicyWeights
from waxwingford.ports import Resources

#: Size of every VM and the part of it reserved for the service.
VM_TOTAL = Resources(32_000, 128_000, 0)
VM_RESERVED = Resources(10_000, 32_000, 0)
SLOTS = 8
DAEMONS = 8


class Deployment(NamedTuple):
    """Machines and latency target of one user.

    :ivar name: name of the user.
    :ivar service: its latency-critical service.
    :ivar servers: number of backend servers.
    :ivar domains: number of failure domains.
    :ivar rack_size: servers per rack.
    :ivar median_ms: median service time without colocated tasks, in
        milliseconds.
    :ivar weights: policy weights set in its bundle.
    """

    name: str
    service: str
    servers: int
    domains: int
    rack_size: int
    median_ms: float
    weights: PolicyWeights


QADRI = Deployment(
    name='qadri',
    service='report_desk',
    servers=24,
    domains=4,
    rack_size=6,
    median_ms=26,
    weights=PolicyWeights(120, 0.8, 0.2),
)
SVATBENA = Deployment(
    name='svatbena',
    service='gift_list',
    servers=33,
    domains=3,
    rack_size=8,
    median_ms=17.5,
    weights=PolicyWeights(80, 0.3, 0.7),
)
DEPLOYMENTS = (QADRI, SVATBENA)


class Fault(enum.Enum):
    """Fault injected in a scenario."""

    none = 'none'
    load_shift = 'load_shift'
    noisy_wave = 'noisy_wave'
    wrong_declarations = 'wrong_declarations'
    bad_server = 'bad_server'
    rack_lost = 'rack_lost'
    daemons_restarted = 'daemons_restarted'


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """Conditions of a run.

    :ivar name: name in the report.
    :ivar fault: injected fault.
    :ivar lag_s: age of a sample on arrival, in seconds.
    :ivar load: offered load of the service without colocated tasks, as a
        share of its slots.
    """

    name: str
    fault: Fault = Fault.none
    lag_s: int = 5
    load: float = 0.38


SCENARIOS = (
    Scenario('steady'),
    Scenario('load_shift', Fault.load_shift, load=0.35),
    Scenario('noisy_wave', Fault.noisy_wave),
    Scenario('lag_2s', lag_s=2),
    Scenario('lag_30s', Fault.load_shift, lag_s=30, load=0.35),
    Scenario('wrong_declarations', Fault.wrong_declarations),
    Scenario('bad_server', Fault.bad_server),
    Scenario('rack_lost', Fault.rack_lost),
    Scenario('daemons_restarted', Fault.daemons_restarted),
)
