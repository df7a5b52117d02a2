"""Interface of a virtual failure domain to its daemons."""

import random
from typing import Any, Protocol

from waxwingford_bench.virtual.network import VirtualNetwork
from waxwingford_bench.virtual.oracle import Oracle
from waxwingford_bench.virtual.time import VirtualTime


class Surroundings(Protocol):
    """The part of a virtual failure domain that its daemons use.

    :ivar network: links to the log and to servers.
    :ivar time: virtual time.
    :ivar random: random generator for delays.
    :ivar oracle: invariant checks.
    :ivar bundle: message with the configuration in force.
    """

    network: VirtualNetwork
    time: VirtualTime
    random: random.Random
    oracle: Oracle
    bundle: Any

    @property
    def now_ms(self) -> int:
        """Return the virtual time.

        :returns: virtual time, in milliseconds.
        """
        ...
