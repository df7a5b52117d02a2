"""What a daemon of a virtual failure domain sees of it."""

import random
from typing import Any, Protocol

from waxwingford_bench.virtual.network import VirtualNetwork
from waxwingford_bench.virtual.oracle import Oracle
from waxwingford_bench.virtual.time import VirtualTime


class Surroundings(Protocol):
    """A virtual failure domain, as its daemons need it.

    :ivar network: ways to the log and to servers.
    :ivar time: virtual time.
    :ivar random: source of delays.
    :ivar oracle: checks what must always hold.
    :ivar bundle: message with the configuration in force.
    """

    network: VirtualNetwork
    time: VirtualTime
    random: random.Random
    oracle: Oracle
    bundle: Any

    @property
    def now_ms(self) -> int:
        """Read virtual time.

        :returns: milliseconds.
        """
        ...
