"""Handles the results of control exchanges."""

from waxwingford.batch._effects import Control, Effect, EmitEvent
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
    ControlOutcomeUnknown,
)
from waxwingford.records import AttemptEnded

#: Delay before an unanswered exchange is retried.
_RETRY_MS = 250


class ControlResultHandler:
    """Updates the state of servers by the results of their exchanges."""

    def __init__(self, settings: BatchSettings, fleet: Fleet) -> None:
        self._settings = settings
        self._fleet = fleet

    def handle_result(self, result: ControlResult, now_ms: int) -> list[Effect]:
        """Handle the result of an exchange.

        A late or duplicate result of an earlier exchange is ignored, since it
        describes an outdated state of the server.

        :param now_ms: monotonic time, in milliseconds.
        :returns: events for the timeline.
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
            case ControlOutcomeUnknown() as unknown:
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
        changed = lease.record_grant(
            result.sent_ms, now_ms, result.request.lease_ms, answer
        )
        server.take_grant(result.request, answer, changed)
        _abandon_refused(server, answer)
        _require_epoch_for_lost_starts(server, result)
        effects = _started_events(server, result)
        if handed_over:
            server.preference.schedule_retry(now_ms)
            self._fleet.schedule_acquisition(server, now_ms)
            self._fleet.released.append(server.vm.server_id)
            detail = f'epoch {answer.epoch}'
            return [*effects, server_event('lease.given_up', server, detail)]
        next_ms = result.sent_ms + self._fleet.lease_timing.renew_every_ms
        # After an acquisition the task leases, last renewed by another holder,
        # are renewed at once.
        at_once = changed or server.exchange_requested or lease.needs_new_epoch
        server.exchange_requested = False
        self._fleet.reschedule(
            server, now_ms if at_once else max(now_ms, next_ms)
        )
        if was_held:
            return effects
        server.preference.record_grant(now_ms)
        self._fleet.room_changed = True
        detail = f'epoch {answer.epoch}'
        return [*effects, server_event('lease.acquired', server, detail)]

    def _handle_denied(
        self, server: ServerControl, denial: ControlDenied, now_ms: int
    ) -> list[Effect]:
        was_held = server.lease.is_valid(now_ms)
        server.lease.record_denial()
        server.unreachable_since_ms = None
        if denial.holder != self._settings.writer:
            server.preference.schedule_retry(now_ms)
        self._fleet.schedule_acquisition(server, now_ms + 1)
        if not was_held:
            return []
        return [server_event('lease.lost', server, f'to {denial.holder}')]

    def _handle_unknown(
        self,
        server: ServerControl,
        control: Control,
        unknown: ControlOutcomeUnknown,
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
            server.preference.schedule_retry(now_ms)
            self._fleet.schedule_acquisition(server, now_ms)
        return [server_event('control.unknown', server, unknown.reason)]


def _started_events(
    server: ServerControl, result: ControlResult
) -> list[Effect]:
    return [
        EmitEvent(
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
    # An attempt that was neither refused nor reported may still start; only
    # the server's report under a new epoch is conclusive.
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
