"""The holder's side of a control lease.

The holder counts its lease from before it sent the request and takes a margin
off for the rate of its clock, so that it stops before the server lets anybody
else in.  No clock is compared with another one.
"""

import enum

from transitions import Machine

from waxwingford.ports import ControlGranted


class LeaseState(enum.StrEnum):
    """Life cycle of a control lease at one daemon."""

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

#: One machine serves all leases: only its models have state.
_machine = Machine(
    model=None,
    states=[state.value for state in LeaseState],
    transitions=[list(transition) for transition in _TRANSITIONS],
    initial=LeaseState.unheld.value,
    auto_transitions=False,
)


class ControlLease:
    """Lease of one backend server.

    :ivar state: name of a :class:`LeaseState`, kept by ``transitions``.
    :ivar epoch: epoch granted last, 0 before the first.
    :ivar boot_id: boot of the server that granted it.
    :ivar until_ms: monotonic time at which this daemon stops to rely on it.
    :ivar needs_new_epoch: an exchange with starts got no answer and may still
        arrive: it would start an attempt that was meanwhile given up.  One
        would notice a task that runs twice.  Under a new epoch the server
        refuses what was sent under the old one.
    """

    state: str

    # Answers carry a stamp of the server's clock; requests give it back with
    # the time for which they are good, so no two clocks are compared.

    def __init__(self, margin_ms: int) -> None:
        """Start without the lease.

        :param margin_ms: taken off for the rate of clocks, in milliseconds.
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
        """Tell whether this daemon may still rely on the lease.

        :param now_ms: monotonic time, in milliseconds.
        :returns: true while it is held and not run out.
        """
        return self.state == LeaseState.held and now_ms < self.until_ms

    def may_command(self, now_ms: int) -> bool:
        """Tell whether commands may be sent under the present epoch.

        :param now_ms: monotonic time, in milliseconds.
        :returns: true while it is held and needs no new epoch.
        """
        return self.is_valid(now_ms) and not self.needs_new_epoch

    def note_asked(self) -> None:
        """Note that a new epoch is asked for."""
        if self.state in {LeaseState.unheld, LeaseState.lost}:
            self.trigger('ask')

    def good_for(self, until_ms: int) -> tuple[int, int]:
        """Bound a request by the server's own clock.

        :param until_ms: monotonic time after which it must not take effect.
        :returns: stamp and milliseconds for ``ControlRequest``; zeros if the
            server gives no stamps.
        """
        if not self._stamp_ms:
            return 0, 0
        return self._stamp_ms, max(1, until_ms - self._stamp_received_ms)

    def note_granted(
        self,
        sent_ms: int,
        now_ms: int,
        lease_ms: int,
        answer: ControlGranted,
    ) -> bool:
        """Take the server's grant.

        :param sent_ms: monotonic time before the request was sent.
        :param now_ms: monotonic time after the answer was read.
        :param lease_ms: length that the request asked for.
        :param answer: the grant.
        :returns: whether the epoch or the boot is another one than before.
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

    def note_denied(self) -> None:
        """Note that somebody else holds the lease, or the epoch is stale."""
        if self.state == LeaseState.acquiring:
            self.trigger('deny')
        elif self.state in {LeaseState.held, LeaseState.handing_over}:
            self.trigger('lose')
        self.needs_new_epoch = False

    def note_time(self, now_ms: int) -> bool:
        """Let a lease run out.

        :param now_ms: monotonic time, in milliseconds.
        :returns: whether it ran out just now.
        """
        if now_ms < self.until_ms:
            return False
        if self.state not in {LeaseState.held, LeaseState.handing_over}:
            return False
        self.trigger('lose')
        return True

    def note_handing_over(self) -> None:
        """Note that the lease is being given up; no command follows."""
        self.trigger('hand_over')
