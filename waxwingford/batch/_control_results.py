"""What the outcome of a control exchange changes."""

from waxwingford.batch._effects import Control, Effect, Note
from waxwingford.batch._fleet import Fleet
from waxwingford.batch._messages import ControlResult
from waxwingford.batch._server import (
    ServerControl,
    server_event,
    started_keys,
)
from waxwingford.batch._settings import BatchSettings
from waxwingford.ports import (
    ControlDenied,
    ControlGranted,
    ControlUnknown,
)
from waxwingford.records import AttemptEnded

#: An exchange without an answer is tried again after this, in milliseconds.
_RETRY_MS = 250


class ControlResultHandler:
    """Takes outcomes of exchanges into the servers' states."""

    def __init__(self, settings: BatchSettings, fleet: Fleet) -> None:
        """Bind the servers.

        :param settings: settings of the controller.
        :param fleet: servers.
        """
        self._settings = settings
        self._fleet = fleet

    def handle_result(self, result: ControlResult, now_ms: int) -> list[Effect]:
        """Take the outcome of an exchange.

        An outcome of an earlier exchange, late or doubled, is passed over: it
        tells of a state of the server that is past.

        :param result: the outcome.
        :param now_ms: monotonic time, in milliseconds.
        :returns: effects.
        """
        server = self._fleet.server_by_id.get(result.server_id)
        if server is None or server.in_flight is None:
            return []
        if server.in_flight.exchange != result.exchange:
            return []
        control = server.in_flight
        server.in_flight = None
        match result.outcome:
            case ControlGranted() as answer:
                return self._handle_granted(server, result, answer, now_ms)
            case ControlDenied() as denial:
                return self._handle_denied(server, denial, now_ms)
            case ControlUnknown() as unknown:
                return self._handle_unknown(server, control, unknown, now_ms)

    def _handle_granted(
        self,
        server: ServerControl,
        result: ControlResult,
        answer: ControlGranted,
        now_ms: int,
    ) -> list[Effect]:
        lease = server.lease
        was_held = lease.is_valid(now_ms)
        handed_over = result.request.lease_ms == 0
        changed = lease.note_granted(
            result.sent_ms, now_ms, result.request.lease_ms, answer
        )
        server.take_grant(result.request, answer, changed)
        _abandon_refused(server, answer)
        _require_epoch_for_lost_starts(server, result)
        effects = _started_events(server, result)
        if handed_over:
            server.preference.note_tried(now_ms)
            self._fleet.schedule_acquisition(server, now_ms)
            self._fleet.released.append(server.vm.server_id)
            detail = f'epoch {answer.epoch}'
            return [*effects, server_event('lease.given_up', server, detail)]
        next_ms = result.sent_ms + self._fleet.pace.renew_every_ms
        # An acquisition is followed at once by an exchange that renews the
        # task leases, whose last renewal was another holder's.
        at_once = changed or server.exchange_requested or lease.needs_new_epoch
        server.exchange_requested = False
        self._fleet.reschedule(
            server, now_ms if at_once else max(now_ms, next_ms)
        )
        if was_held:
            return effects
        server.preference.note_granted(now_ms)
        self._fleet.room_changed = True
        detail = f'epoch {answer.epoch}'
        return [*effects, server_event('lease.acquired', server, detail)]

    def _handle_denied(
        self, server: ServerControl, denial: ControlDenied, now_ms: int
    ) -> list[Effect]:
        was_held = server.lease.is_valid(now_ms)
        server.lease.note_denied()
        server.unreachable_since_ms = None
        if denial.holder != self._settings.writer:
            server.preference.note_tried(now_ms)
        self._fleet.schedule_acquisition(server, now_ms + 1)
        if not was_held:
            return []
        return [server_event('lease.lost', server, f'to {denial.holder}')]

    def _handle_unknown(
        self,
        server: ServerControl,
        control: Control,
        unknown: ControlUnknown,
        now_ms: int,
    ) -> list[Effect]:
        starts = started_keys(control.request)
        if unknown.not_sent:
            server.started.difference_update(starts)
        elif starts:
            server.lease.needs_new_epoch = True
        if server.unreachable_since_ms is None:
            server.unreachable_since_ms = now_ms
        if server.lease.is_valid(now_ms):
            self._fleet.reschedule(server, now_ms + _RETRY_MS)
        else:
            server.preference.note_tried(now_ms)
            self._fleet.schedule_acquisition(server, now_ms)
        return [server_event('control.unknown', server, unknown.reason)]


def _started_events(
    server: ServerControl, result: ControlResult
) -> list[Effect]:
    return [
        Note(
            'task.started',
            f'task:{key.task_id}',
            f'attempt {key.attempt} {server.vm.server_id}',
        )
        for key in started_keys(result.request)
        if key in server.report_by_key
    ]


def _require_epoch_for_lost_starts(
    server: ServerControl, result: ControlResult
) -> None:
    # A start that the server took without naming the attempt: it may still
    # come up.  Only a new epoch tells.
    refused = {key for key, _ in result.outcome.refused}
    known = refused | server.report_by_key.keys()
    if any(key not in known for key in started_keys(result.request)):
        server.lease.needs_new_epoch = True


def _abandon_refused(server: ServerControl, answer: ControlGranted) -> None:
    for key, reason in answer.refused:
        if key in server.started and key not in server.report_by_key:
            server.abandoned_by_key[key] = AttemptEnded(
                key,
                server.vm.server_id,
                'absent' if answer.leaving else 'failed',
                f'refused: {reason}',
            )
