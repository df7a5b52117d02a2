"""Control lease as seen by its holder.

The lease term starts before the request is sent and is shortened by a margin
for clock drift, so that it ends at the holder before it ends at the server.
"""

import enum

from transitions import Machine

from waxwingford.ports import ControlGranted


class LeaseState(enum.StrEnum):
    """Life cycle of a control lease at its holder."""

    unheld = 'unheld'
    acquiring = 'acquiring'
    held = 'held'
    handing_over = 'handing_over'
    lost = 'lost'


_TRANSITIONS = (
    ('ask', ['unheld', 'lost'], 'acquiring'),
    ('grant', ['acquiring', 'held'], 'held'),
    ('hand_over', 'held', 'handing_over'),
    ('hand_over_done', 'handing_over', 'unheld'),
    ('deny', ['acquiring'], 'unheld'),
    ('lose', ['held', 'handing_over'], 'lost'),
)

#: Shared by all leases; the state is kept in its models.
_machine = Machine(
    model=None,
    states=[state.value for state in LeaseState],
    transitions=[list(transition) for transition in _TRANSITIONS],
    initial=LeaseState.unheld.value,
    auto_transitions=False,
)


class ControlLease:
    """Control lease of one backend server.

    :ivar state: name of a :class:`LeaseState`, maintained by ``transitions``.
    :ivar epoch: last granted epoch, 0 before the first grant.
    :ivar boot_id: boot ID of the server that granted the lease.
    :ivar until_ms: monotonic time at which the lease expires at this daemon.
    :ivar needs_new_epoch: whether an unanswered request with start commands may
        still reach the server.  Under a new epoch the server refuses it;
        otherwise it could run a task twice.
    """

    state: str

    # Requests return the last clock stamp of the server together with their
    # validity, so that no two clocks are compared.

    def __init__(self, margin_ms: int) -> None:
        """Start in the state ``unheld``.

        :param margin_ms: margin for clock drift, in milliseconds.
        """
        self.epoch = 0
        self.boot_id = ''
        self.until_ms = 0
        self.needs_new_epoch = False
        self._stamp_ms = 0
        self._stamp_received_ms = 0
        self._margin_ms = margin_ms
        _machine.add_model(self)

    def is_valid(self, now_ms: int) -> bool:
        """Check whether the lease is held and has not expired.

        :param now_ms: monotonic time, in milliseconds.
        """
        return self.state == LeaseState.held and now_ms < self.until_ms

    def may_command(self, now_ms: int) -> bool:
        """Check whether commands may be sent under the current epoch.

        :param now_ms: monotonic time, in milliseconds.
        :returns: true while the lease is valid and needs no new epoch.
        """
        return self.is_valid(now_ms) and not self.needs_new_epoch

    def record_request(self) -> None:
        """Record that a new epoch was requested."""
        if self.state in {LeaseState.unheld, LeaseState.lost}:
            self.trigger('ask')

    def good_for(self, until_ms: int) -> tuple[int, int]:
        """Express the validity of a request in the clock of the server.

        :param until_ms: monotonic time after which the request must not take
            effect.
        :returns: ``stamp_ms`` and ``good_for_ms`` of ``ControlRequest``; zeros
            if the server sends no clock stamps.
        """
        if not self._stamp_ms:
            return 0, 0
        return self._stamp_ms, max(1, until_ms - self._stamp_received_ms)

    def record_grant(
        self,
        sent_ms: int,
        now_ms: int,
        lease_ms: int,
        answer: ControlGranted,
    ) -> bool:
        """Apply a grant of the server.

        :param sent_ms: monotonic time before the request was sent, in
            milliseconds.
        :param now_ms: monotonic time after the answer was read, in
            milliseconds.
        :param lease_ms: requested lease term, in milliseconds.
        :returns: true if the epoch or the boot ID changed.
        """
        changed = (answer.epoch, answer.boot_id) != (self.epoch, self.boot_id)
        self.epoch = answer.epoch
        self.boot_id = answer.boot_id
        self._stamp_ms = answer.stamp_ms
        self._stamp_received_ms = now_ms
        self.until_ms = sent_ms + lease_ms - self._margin_ms
        if changed:
            self.needs_new_epoch = False
        if self.state == LeaseState.handing_over:
            self.trigger('hand_over_done')
        elif self.state == LeaseState.acquiring:
            self.trigger('grant')
        return changed

    def record_denial(self) -> None:
        """Record that another daemon holds the lease or the epoch is stale."""
        if self.state == LeaseState.acquiring:
            self.trigger('deny')
        elif self.state in {LeaseState.held, LeaseState.handing_over}:
            self.trigger('lose')
        self.needs_new_epoch = False

    def expire_if_due(self, now_ms: int) -> bool:
        """Mark the lease as lost if it has expired.

        :param now_ms: monotonic time, in milliseconds.
        :returns: true if the state changed.
        """
        if now_ms < self.until_ms:
            return False
        if self.state not in {LeaseState.held, LeaseState.handing_over}:
            return False
        self.trigger('lose')
        return True

    def start_handover(self) -> None:
        """Record that the lease is being handed over; no more commands follow."""
        self.trigger('hand_over')
