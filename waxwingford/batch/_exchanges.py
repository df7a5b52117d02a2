"""Control exchanges with backend servers."""

import itertools

from waxwingford.batch._effects import Control, Effect
from waxwingford.batch._fleet import MAX_ACQUIRE_RANK, Fleet
from waxwingford.batch._plan import PlanInput, plan_exchange
from waxwingford.batch._server import ServerControl, server_event
from waxwingford.batch._settings import BatchSettings
from waxwingford.ports import ControlRequest, Resources
from waxwingford.records import DomainState, Record

_NO_RESOURCES = Resources(0, 0, 0)
#: Answers from one full report of all attempts and run times to the next; the
#: others report only changed attempts.
_ANSWERS_PER_FULL_REPORT = 6


class Exchanges:
    """Acquires, renews and releases control leases."""

    def __init__(self, settings: BatchSettings, fleet: Fleet) -> None:
        self._settings = settings
        self._fleet = fleet
        self._exchange_numbers = itertools.count(1)

    def plan_due(
        self,
        state: DomainState,
        head_read_ms: int,
        now_ms: int,
        claiming: frozenset[str],
    ) -> tuple[list[Effect], dict[object, Record]]:
        """Plan the exchanges that are due.

        :param state: state replayed from the domain's stream.
        :param head_read_ms: monotonic start of the last read that reached the
            head, in milliseconds.
        :param now_ms: monotonic time, in milliseconds.
        :param claiming: servers with claims in flight to the log, whose leases
            are not handed over.
        :returns: effects, and records to offer to the appender by key.
        """
        effects: list[Effect] = []
        record_by_key: dict[object, Record] = {}
        for server in self._fleet.pop_due(now_ms):
            if server.in_flight is not None:
                server.exchange_requested = True
            else:
                plan_input = self._plan_input(
                    server, state, head_read_ms, now_ms
                )
                effects.extend(
                    self._exchange_with(
                        server, plan_input, claiming, record_by_key
                    ),
                )
        return effects, record_by_key

    def _plan_input(
        self,
        server: ServerControl,
        state: DomainState,
        head_read_ms: int,
        now_ms: int,
    ) -> PlanInput:
        reserved = self._fleet.reserved_by_service.get(
            server.vm.service, _NO_RESOURCES
        )
        return PlanInput(
            state,
            self._settings,
            self._fleet.lease_timing,
            head_read_ms,
            now_ms,
            reserved,
        )

    def _exchange_with(
        self,
        server: ServerControl,
        plan_input: PlanInput,
        claiming: frozenset[str],
        record_by_key: dict[object, Record],
    ) -> list[Effect]:
        now_ms = plan_input.now_ms
        effects: list[Effect] = []
        if server.lease.expire_if_due(now_ms):
            effects.append(server_event('lease.lost', server, 'expired'))
        if server.lease.may_command(now_ms):
            control = self._plan_held(
                server, plan_input, claiming, record_by_key
            )
        elif self._may_acquire(server, now_ms):
            control = self._acquire(server, now_ms)
        else:
            if not server.lease.is_valid(now_ms):
                self._fleet.schedule_acquisition(server, now_ms + 1)
            return effects
        server.in_flight = control
        server.in_flight_offset = plan_input.state.next_offset
        return [*effects, control]

    def _may_acquire(self, server: ServerControl, now_ms: int) -> bool:
        if server.lease.is_valid(now_ms):
            return True
        if not (self._fleet.may_acquire and server.listed):
            return False
        is_turn = now_ms >= server.preference.next_try_ms()
        may_try = server.preference.rank <= MAX_ACQUIRE_RANK
        return is_turn and may_try

    def _acquire(self, server: ServerControl, now_ms: int) -> Control:
        # Sent without commands: a late one under an epoch that this daemon does
        # not know yet could not be told from a new one.
        server.lease.record_request()
        server.preference.record_request()
        lease_ms = self._fleet.lease_timing.control_lease_ms
        request = ControlRequest(self._settings.writer, 0, lease_ms)
        return self._control(server, request, now_ms + lease_ms)

    def _plan_held(
        self,
        server: ServerControl,
        plan_input: PlanInput,
        claiming: frozenset[str],
        record_by_key: dict[object, Record],
    ) -> Control:
        plan = plan_exchange(server, plan_input)
        record_by_key.update(plan.record_by_key)
        should_release = self._should_release(
            server, plan_input.now_ms, claiming
        )
        if should_release:
            server.lease.start_handover()
        report_version = server.known
        if server.answers_since_full_report >= _ANSWERS_PER_FULL_REPORT:
            report_version = 0
        stamp_ms, good_for_ms = server.lease.good_for(plan.valid_until_ms)
        request = ControlRequest(
            self._settings.writer,
            server.lease.epoch,
            0 if should_release else plan_input.lease_timing.control_lease_ms,
            () if report_version else tuple(plan.renew),
            plan_input.lease_timing.task_lease_ms,
            tuple(plan.commands),
            stamp_ms,
            good_for_ms,
            report_version,
            server.running_except(plan.renew) if report_version else None,
        )
        return self._control(server, request, plan.valid_until_ms)

    def _should_release(
        self, server: ServerControl, now_ms: int, claiming: frozenset[str]
    ) -> bool:
        if self._fleet.draining:
            return True
        return (
            server.vm.server_id not in claiming
            and server.preference.should_hand_over(now_ms)
        )

    def _control(
        self, server: ServerControl, request: ControlRequest, until_ms: int
    ) -> Control:
        return Control(
            server.vm.server_id,
            server.vm.host,
            server.vm.port,
            request,
            next(self._exchange_numbers),
            until_ms,
        )
