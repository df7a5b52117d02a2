"""Interface of a simulated failure domain for its daemons and submitters."""

from collections.abc import Mapping
from typing import Any, Protocol

from waxwingford.ports import Vm
from waxwingford_bench.storms.meter import Meter
from waxwingford_bench.storms.pauses import Pauses
from waxwingford_bench.virtual.surroundings import Surroundings


class StormSurroundings(Surroundings, Protocol):
    """A metered failure domain.

    :ivar meter: counts messages, bytes, processor time and retries.
    :ivar pauses: pauses of the daemons' loops.
    :ivar submitters: receivers of replies to submissions.
    :ivar fold: state folded from the stream.
    :ivar is_vm_list_unavailable: whether reads of the VM list fail.
    :ivar daemon_by_id: daemons by id.
    """

    meter: Meter
    pauses: Pauses
    submitters: Any
    fold: Any
    is_vm_list_unavailable: bool
    daemon_by_id: Mapping[str, Any]

    def list_vms(self) -> tuple[Vm, ...]:
        """Read the list of VMs.

        :returns: VMs on the list.

        """
        ...
