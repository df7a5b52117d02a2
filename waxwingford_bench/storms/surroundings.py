"""What daemons and submitters of a storm see of its failure domain."""

from collections.abc import Mapping
from typing import Any, Protocol

from waxwingford.ports import Vm
from waxwingford_bench.storms.meter import Meter
from waxwingford_bench.storms.pauses import Pauses
from waxwingford_bench.virtual.surroundings import Surroundings


class StormSurroundings(Surroundings, Protocol):
    """A failure domain in a storm.

    :ivar meter: counts what is sent, read and spent.
    :ivar pauses: policy of pauses before retries.
    :ivar submitters: take replies to submissions.
    :ivar fold: state of the stream.
    :ivar list_is_away: whether the list of VMs can't be read.
    :ivar daemon_by_id: daemons.
    """

    meter: Meter
    pauses: Pauses
    submitters: Any
    fold: Any
    list_is_away: bool
    daemon_by_id: Mapping[str, Any]

    def listed(self) -> tuple[Vm, ...]:
        """Read the list of VMs.

        :returns: its entries.
        """
        ...
