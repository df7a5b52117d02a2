"""Control lease that a stand-in backend server arbitrates: pure."""

import dataclasses

from waxwingford.ports import ControlRequest


@dataclasses.dataclass(slots=True)
class ServerLease:
    """Who may command a server.

    :ivar holder: who holds it, empty for nobody.
    :ivar epoch: rises with each grant to a request that names no epoch.
    :ivar until_ms: monotonic time at which it runs out.
    """

    holder: str = ''
    epoch: int = 0
    until_ms: int = 0

    def grant(self, request: ControlRequest, now_ms: int) -> bool:
        """Grant or renew, or leave all as it is.

        :param request: the exchange.
        :param now_ms: monotonic time.
        :returns: whether the request may command.
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
        """Let anybody take it.

        :param now_ms: monotonic time.
        """
        self.holder = ''
        self.until_ms = now_ms
