"""The two deployments of the users and the faults that are put to them."""

import dataclasses
import enum
from typing import NamedTuple

from waxwingford.placement import PolicyWeights
from waxwingford.ports import Resources

#: Size of every VM and what the service keeps of it.
VM_TOTAL = Resources(32_000, 128_000, 0)
VM_RESERVED = Resources(10_000, 32_000, 0)
SLOTS = 8
DAEMONS = 8


class Deployment(NamedTuple):
    """One user's machines.

    :ivar name: of the user.
    :ivar service: its latency-critical service.
    :ivar servers: backend servers.
    :ivar domains: failure domains.
    :ivar rack_size: servers in a rack.
    :ivar median_ms: median of the service's run time alone, in milliseconds.
    :ivar weights: what its bundle sets.
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
    """What goes wrong in a scenario."""

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

    :ivar name: for the report.
    :ivar fault: what goes wrong.
    :ivar lag_s: age of a sample when it arrives, in seconds.
    :ivar load: offered load of the service alone, share of its slots.
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
