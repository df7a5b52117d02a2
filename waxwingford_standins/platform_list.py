"""Eventually consistent VM list, without I/O or clock."""

import collections
import dataclasses
from typing import NamedTuple

from waxwingford.ports import Vm, VmList, VmListUnavailable


class _Change(NamedTuple):
    at_ms: int
    server_id: str
    vm: Vm | None


@dataclasses.dataclass(slots=True)
class ListFaults:
    """Injected faults of the VM list.

    :ivar outage: whether reads fail.
    :ivar lag_ms: staleness of the list, in milliseconds.
    """

    outage: bool = False
    lag_ms: int = 1000


class VmListCore:
    """VM list that is built from heartbeats and read with a lag.

    :ivar faults: injected faults, changed in place.
    """

    def __init__(self, expire_ms: int = 5000) -> None:
        """Create an empty list.

        :param expire_ms: time without heartbeats after which a VM is removed,
            in milliseconds.
        """
        self.faults = ListFaults()
        self._expire_ms = expire_ms
        self._last_by_id: dict[str, tuple[int, Vm]] = {}
        self._changes: collections.deque[_Change] = collections.deque()
        self._visible_by_id: dict[str, Vm] = {}

    def heartbeat(self, vm: Vm, now_ms: int) -> None:
        """Register a VM or renew its registration.

        :param vm: current description of the VM.
        :param now_ms: monotonic time, in milliseconds.
        """
        previous = self._last_by_id.get(vm.server_id)
        self._last_by_id[vm.server_id] = (now_ms, vm)
        if previous is None or previous[1] != vm:
            self._changes.append(_Change(now_ms, vm.server_id, vm))

    def read(self, now_ms: int) -> VmList | VmListUnavailable:
        """Read the list as it was ``lag_ms`` ago.

        :param now_ms: monotonic time, in milliseconds.
        """
        if self.faults.outage:
            return VmListUnavailable('list is out of service')
        self._expire(now_ms)
        shown_until = now_ms - self.faults.lag_ms
        while self._changes and self._changes[0].at_ms <= shown_until:
            self._apply(self._changes.popleft())
        return VmList(tuple(self._visible_by_id.values()))

    def _expire(self, now_ms: int) -> None:
        oldest_ms = now_ms - self._expire_ms
        expired = [
            server_id
            for server_id, (seen_ms, _) in self._last_by_id.items()
            if seen_ms < oldest_ms
        ]
        for server_id in expired:
            self._last_by_id.pop(server_id)
            self._changes.append(_Change(now_ms, server_id, None))

    def _apply(self, change: _Change) -> None:
        if change.vm is None:
            self._visible_by_id.pop(change.server_id, None)
        else:
            self._visible_by_id[change.server_id] = change.vm
