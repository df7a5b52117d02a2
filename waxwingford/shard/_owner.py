"""Owner of a shard: stores decisions of its engine, then carries them out."""

import asyncio
import functools

from waxwingford.kernel import SystemClock
from waxwingford.scheduling import (
    Engine,
    Terms,
    decode_spec,
)
from waxwingford.shard._claims import Claim
from waxwingford.shard._cleaner import Cleaner
from waxwingford.shard._clocks import monotonic_ms
from waxwingford.shard._commits import Committer
from waxwingford.shard._early_cancels import ENDED_JOB_BYTES, EarlyCancels
from waxwingford.shard._heartbeats import Heartbeats
from waxwingford.shard._intake import CancelRow, IntakeRow, JobRow
from waxwingford.shard._intake_reader import IntakeReader
from waxwingford.shard._job_answers import (
    JobAnswer,
    JobKnown,
    JobNotKnown,
    NotAnswered,
)
from waxwingford.shard._journal import (
    JOURNAL_TOPIC,
    OWNER_KEY,
    Claimed,
    ClaimFailed,
    ClaimOutcome,
    ClaimOvertaken,
    EpochWriter,
    OwnerRecord,
    Predecessor,
    decode_owner,
    next_epoch,
)
from waxwingford.shard._lateness import (
    MAX_PROMPT_DELAY_S,
    Lateness,
    TimedClient,
)
from waxwingford.shard._lease_bounds import LeaseLedger
from waxwingford.shard._load_report import LoadReport
from waxwingford.shard._mirror import CaughtUp, Mirror
from waxwingford.shard._order_sender import DriverPorts
from waxwingford.shard._owner_ports import OwnerPorts, OwnerSettings, OwnerView
from waxwingford.shard._server_drivers import ServerDrivers
from waxwingford.shard._start_control import StartControl
from waxwingford.shard._supervision import ErrorReport, StartPart, Supervisor
from waxwingford.shard._ticket_requests import TicketRequester

MAX_DECISION_INTERVAL_S = 0.1
#: Delay of a decision after an event, in seconds, so that one decision and one
#: append cover a burst of answers from servers. It grows with the lag of the event
#: loop, so that an overloaded owner decides on more events at once.
DECISION_DELAY_S = 0.003
#: Interval between reads of the server registrations, in seconds.
REGISTRATION_INTERVAL_S = 0.4
#: Time in ms before an owner may resign because it is cut off. Without it the
#: shard would change owners continuously if no daemon reaches most servers.
MIN_OWNERSHIP_MS = 3000

_clock = SystemClock()


class Owner:
    """Owns a shard from its claim until it is deposed or resigns.

    :ivar ready: whether the takeover is complete and the owner acts.
    :ivar stopped: set when the owner has stopped for good.
    :ivar cut_off: whether it stopped because it could not reach most servers
        or could not read the intake.
    :ivar epoch: epoch of its appends; its fencing token at servers.
    :ivar lateness: how late it learns what servers answer.
    :ivar start_control: limits starts, and refuses jobs under overload.
    :ivar view: what explanations of placements read, ``None`` before the takeover.
    :ivar early_cancels: bounds the cancellations of unknown jobs.
    """

    def __init__(
        self, settings: OwnerSettings, ports: OwnerPorts, terms: Terms
    ) -> None:
        self.ready = False
        self.stopped = asyncio.Event()
        self.epoch = 0
        self.cut_off = False
        self._ready_since_ms = 0
        self.view: OwnerView | None = None
        self._settings = settings
        self._ports = ports
        self._terms = terms
        self._observer = ports.observer
        self._intake = IntakeReader(ports.log)
        metrics = ports.observer.metrics
        self._errors = ErrorReport(metrics)
        self._supervisor = Supervisor(self._errors, self._give_up)
        self._decision_due = asyncio.Event()
        self._heartbeats: Heartbeats | None = None
        self.early_cancels = EarlyCancels(settings.max_job_bytes)
        self.lateness = Lateness(
            functools.partial(metrics.latency, 'event_loop_lag')
        )
        self.start_control = StartControl(
            settings.cores, self.lateness, ports.observer
        )

    async def claim(
        self, predecessor: Predecessor, highest_epoch: int
    ) -> ClaimOutcome:
        """Claim the shard and take it over."""
        log = self._ports.log
        journal = Mirror(log, JOURNAL_TOPIC)
        read = await journal.catch_up()
        if not isinstance(read, CaughtUp):
            return ClaimFailed(str(read))
        owner = decode_owner(journal.payload_by_key.pop(OWNER_KEY, None))
        if owner is not None and owner.epoch > highest_epoch:
            # Several daemons suspect the previous owner at the same time.
            # Without this check each claimer would depose the one before it.
            return ClaimOvertaken(owner.epoch)
        self.epoch = next_epoch(highest_epoch)
        self._writer = EpochWriter(log, JOURNAL_TOPIC, self.epoch)
        record = OwnerRecord(
            self._settings.daemon_id,
            self.epoch,
            self._settings.endpoint,
            failure_domain=self._settings.failure_domain,
            cores=self._settings.cores,
            relay_endpoint=self._settings.relay_endpoint,
            metrics_endpoint=self._settings.metrics_endpoint,
        )
        if self.stopped.is_set():
            return ClaimFailed('owner stopped before the claim')
        claim = Claim(self._writer, journal, record)
        claimed = await claim.store(self.stopped)
        if not isinstance(claimed, Claimed):
            return claimed
        # Resolving the claim may have read it back; it is not a row of a step.
        journal.payload_by_key.pop(OWNER_KEY, None)
        ledger = LeaseLedger(predecessor, self._settings.lease_ms)
        heartbeats = Heartbeats(
            log,
            record,
            self._ports.since_boot_ms,
            ledger,
            self.load_report,
        )
        # Not before the claim: a resignation after a failed claim would depose
        # the daemon whose claim succeeded.
        self._heartbeats = heartbeats
        self._observer.record_event(
            'shard.claimed', epoch=self.epoch, former_epoch=highest_epoch
        )
        if self.stopped.is_set():
            # Stopped before the store answered, when there was nothing to
            # resign from. Heartbeats of this owner would prevent claims until
            # its process ends.
            await heartbeats.resign()
            return ClaimFailed('owner stopped during the claim')
        run_heartbeats = functools.partial(
            self._run_until_deposed,
            heartbeats.run,
            'heartbeat fenced by a higher epoch',
        )
        self._supervisor.spawn('heartbeats', run_heartbeats)
        await self._take_over(journal.payload_by_key, ledger)
        if self.stopped.is_set():
            return ClaimFailed('owner stopped during the takeover')
        return claimed

    def configure(self, terms: Terms) -> None:
        """Apply a configuration, from the next decision on."""
        self._terms = terms
        self._decision_due.set()

    def apply_stored(self, row: IntakeRow) -> None:
        """Apply a row that this daemon stored, before it is read back."""
        match row:
            case JobRow(raw):
                self._engine.submit(decode_spec(raw), monotonic_ms())
            case CancelRow(job_id):
                self._engine.cancel(job_id)
        self._decision_due.set()

    async def phase(self, job_id: str) -> JobAnswer:
        """Look up the phase of a job.

        :returns: the phase. A job is only reported as unknown after the intake
            was read to its end.
        """
        found = self._engine.state.phase(job_id)
        if found is None:
            if not await self._intake.read_to_end(self._engine):
                return NotAnswered('cannot read the intake')
            found = self._engine.state.phase(job_id)
        return JobNotKnown() if found is None else JobKnown(found)

    def load_report(self) -> LoadReport:
        """Report the jobs that wait and the classes that are refused."""
        control = self.start_control
        report = LoadReport(None, *control.retry_after, control.room_retry_s)
        if not self.ready:
            return report
        state = self._engine.state
        jobs_bytes = sum([job.kept_bytes for job in state.job_by_id.values()])
        ended_bytes = len(state.past.phase_by_job) * ENDED_JOB_BYTES
        ended_bytes += self.early_cancels.kept_bytes
        return report._replace(
            pending_by_queue=state.pending_by_queue(),
            # Rows of ended jobs stay in the intake for a while.
            kept_job_bytes=jobs_bytes + ended_bytes + self._intake.copy_bytes,
            max_job_bytes=self._settings.max_job_bytes,
        )

    async def resign(
        self, reason: str = 'resigned', cut_off: bool = False
    ) -> None:
        """Stop and let a successor claim at once.

        :param reason: cause, for the log.
        :param cut_off: whether the owner resigns because it cannot reach most
            servers or the intake.
        """
        self.cut_off = cut_off
        self._stop_tasks()
        try:
            if self._heartbeats is not None:
                await self._heartbeats.resign(cut_off)
        finally:
            self._mark_stopped(reason)

    def stop(self, reason: str) -> None:
        """Stop without a resignation.

        :param reason: cause, for the log.
        """
        self._stop_tasks()
        self._mark_stopped(reason)

    def _give_up(self, part: str) -> None:
        """Resign, as a part goes on failing.

        Otherwise the owner would send heartbeats that prevent a takeover, while
        nothing is placed or stored.

        :param part: name of the part.
        """
        resignation = self.resign(f'{part} goes on failing')
        # In a task of its own, because resigning cancels the part.
        self._resignation = asyncio.create_task(resignation)

    def _stop_tasks(self) -> None:
        self._supervisor.cancel()
        if self.ready:
            self._fleet.close()
        self.ready = False

    def _mark_stopped(self, reason: str) -> None:
        if not self.stopped.is_set():
            self._observer.record_event(
                'shard.given_up', epoch=self.epoch, reason=reason
            )
        self.start_control.close()
        self.stopped.set()

    async def _take_over(
        self, rows: dict[str, bytes], ledger: LeaseLedger
    ) -> None:
        now_ms, wall_ms = monotonic_ms(), _clock.wall_ms()
        # The intake is read after the claim, so that it contains every job to
        # which the journal refers.
        read = await self._intake.restore(self.stopped)
        if not (read or self.stopped.is_set()):
            # Heartbeats of an owner that does not act would prevent claims.
            await self.resign('cannot read the intake', cut_off=True)
        await ledger.wait_first_stored(self.stopped)
        if self.stopped.is_set():
            return
        engine = Engine(
            self.epoch,
            self._settings.lease_ms,
            ledger.inherited,
            self._settings.max_lease_ms,
            features=self._settings.features,
        )
        engine.configure(self._terms)
        engine.restore(rows)
        await self._intake.apply_to(engine, now_ms, wall_ms)
        self._engine = engine
        self.early_cancels.follow(self._engine)
        self.view = OwnerView(self._engine.placement_view, self.load_report)
        driver_ports = DriverPorts(
            TimedClient(
                self._ports.backend_client, self.lateness, self._errors
            ),
            lambda: self._heartbeats.ownership_proven,
            self._heartbeats.wait_ownership_proven,
            self._decision_due.set,
            self._errors,
            lambda: self.lateness.loop_lag.mean_s,
        )
        self._fleet = ServerDrivers(
            self._engine, driver_ports, self._ports.directory
        )
        self._committer = Committer(self._engine, self._writer, self._fleet)
        self._ticket_requester = TicketRequester(
            self._engine, self._ports.advice_client
        )
        await self._fleet.register()
        if self.stopped.is_set():
            # Stopped during the read: a successor may own the shard already.
            self._fleet.close()
            return
        self.ready = True
        self._ready_since_ms = monotonic_ms()
        self._spawn_parts(ledger)
        state = self._engine.state
        self._observer.record_event(
            'shard.taken_over',
            epoch=self.epoch,
            terms=state.terms.version,
            jobs=len(state.job_by_id),
            servers=len(state.server_by_id),
            took_ms=monotonic_ms() - now_ms,
        )

    def _spawn_parts(self, ledger: LeaseLedger) -> None:
        engine, request_decision = self._engine, self._decision_due.set
        start_by_part: dict[str, StartPart] = {
            'cleaner': Cleaner(self._ports.log, engine, self._intake).run,
            'lease extension': functools.partial(
                ledger.start_extending, engine
            ),
            'intake': functools.partial(
                self._intake.follow, engine, request_decision
            ),
            'registrations': self._refresh_registrations,
            'loop lag': self.lateness.loop_lag.measure,
            'decisions': self._run_decisions,
            'commits': functools.partial(
                self._run_until_deposed,
                functools.partial(self._committer.run, request_decision),
                'journal append fenced by a higher epoch',
            ),
            'tickets': functools.partial(
                self._ticket_requester.run, request_decision
            ),
        }
        for part, start in start_by_part.items():
            self._supervisor.spawn(part, start)

    async def _refresh_registrations(self) -> None:
        while True:
            await asyncio.sleep(REGISTRATION_INTERVAL_S)
            began_s = asyncio.get_running_loop().time()
            await self._fleet.register()
            read_s = asyncio.get_running_loop().time() - began_s
            if not self.lateness.answers.lasting:
                self._fleet.probe_idle()
            self._decision_due.set()
            may_resign = (
                monotonic_ms() - self._ready_since_ms >= MIN_OWNERSHIP_MS
            )
            # Where reads of the store are late as well, the cause is the link.
            prompt = self.lateness.acceptable and read_s <= MAX_PROMPT_DELAY_S
            may_resign = may_resign and prompt
            if (
                may_resign
                and self._ports.log.responsive
                and self._fleet.cut_off
            ):
                # In a task of its own, because resigning cancels this one.
                resignation = self.resign('cut off from servers', cut_off=True)
                self._resignation = asyncio.create_task(resignation)
                return

    async def _run_decisions(self) -> None:
        while True:
            try:
                await asyncio.wait_for(
                    self._decision_due.wait(), MAX_DECISION_INTERVAL_S
                )
            except TimeoutError:
                # Leases expire and repetitions become due without an event.
                self._decision_due.set()
            await asyncio.sleep(
                max(
                    DECISION_DELAY_S,
                    min(self.lateness.loop_lag.mean_s, MAX_DECISION_INTERVAL_S),
                )
            )
            self._decision_due.clear()
            # Not when it arrives: the engine may not exist yet.
            self._engine.configure(self._terms)
            self.start_control.decide(
                self._engine,
                monotonic_ms(),
                _clock.wall_ms(),
                timely=self.lateness.silence_counts,
            )
            self._fleet.send_orders()
            self._observer.record_notes(self._engine.state.notes.take())
            self._committer.wake()
            self._ticket_requester.wake()

    async def _run_until_deposed(self, start: StartPart, reason: str) -> None:
        """Run a part that returns when this owner is deposed.

        :param reason: cause of the stop, for the log.
        """
        await start()
        self.stop(reason)
