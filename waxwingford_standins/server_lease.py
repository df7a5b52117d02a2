"""Control lease of a simulated backend server."""

import dataclasses

from waxwingford.ports import ControlRequest


@dataclasses.dataclass(slots=True)
class ServerLease:
    """Exclusive lease on the control of a server.

    :ivar holder: id of the holder; empty if the lease is free.
    :ivar epoch: fencing epoch, incremented by each acquisition.
    :ivar until_ms: monotonic expiry time, in milliseconds.
    """

    holder: str = ''
    epoch: int = 0
    until_ms: int = 0

    def grant(self, request: ControlRequest, now_ms: int) -> bool:
        """Acquire or renew the lease for a request.

        :param now_ms: monotonic time, in milliseconds.
        :returns: whether the lease was granted; if not, it is unchanged.
        """
        stale_ms = request.stamp_ms + request.good_for_ms
        if request.good_for_ms and now_ms > stale_ms:
            return False
        is_free = not self.holder or now_ms >= self.until_ms
        is_holder = self.holder == request.holder
        if request.epoch:
            granted = is_holder and request.epoch == self.epoch
        else:
            granted = is_free or is_holder
            self.epoch += granted
        if granted:
            self.holder = request.holder
            self.until_ms = now_ms + request.lease_ms
        return granted

    def release(self, now_ms: int) -> None:
        """Release the lease.

        :param now_ms: monotonic time, in milliseconds.
        """
        self.holder = ''
        self.until_ms = now_ms
