"""The owner of a shard: stores what its engine decides, then acts on it."""

import asyncio
import dataclasses
from collections.abc import Callable, Coroutine

import logbook

from waxwingford.kernel import SystemClock
from waxwingford.scheduling import Engine, TaskRunners, Terms, decode_spec
from waxwingford.shard._advice_asker import AdviceAsker, Advisor
from waxwingford.shard._beats import Beats
from waxwingford.shard._claims import Claim
from waxwingford.shard._commits import Committer
from waxwingford.shard._drivers import DriverPorts
from waxwingford.shard._fleet import Fleet, ServerDirectory
from waxwingford.shard._intake import CancelRow, IntakeRow, JobRow
from waxwingford.shard._intake_reader import IntakeReader
from waxwingford.shard._journal import (
    JOURNAL_TOPIC,
    OWNER_KEY,
    Claimed,
    ClaimFailed,
    ClaimOutcome,
    ClaimOvertaken,
    EpochWriter,
    OwnerRecord,
    decode_owner,
    next_epoch,
)
from waxwingford.shard._lease_bounds import LeaseLedger, Predecessor
from waxwingford.shard._load import LoopLag, StrainLines
from waxwingford.shard._log_port import SharedLog
from waxwingford.shard._mirror import CaughtUp, Mirror
from waxwingford.shard._observer import Observer
from waxwingford.shard._peers import (
    JobAnswer,
    JobKnown,
    JobNotKnown,
    NotAnswered,
)
from waxwingford.shard._sweeper import Sweeper
from waxwingford.shard._times import boottime_ms, steady_ms

#: Time between two decisions without an event, in seconds.
TICK_S = 0.1
#: Events are gathered for so long before a decision, in seconds: answers of
#: servers come in bursts, and one decision and one append do for all.
GATHER_S = 0.003
#: Time between two readings of the registrations, in seconds.
REGISTER_EVERY_S = 0.4
#: An owner stays so long at least, in ms: where nobody reaches most servers,
#: the shard would change hands all the time.
STAY_MS = 3000

_log = logbook.Logger('shard')
_clock = SystemClock()


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerSettings:
    """Figures of an owner.

    :ivar daemon_id: its daemon.
    :ivar failure_domain: where that is.
    :ivar endpoint: where it answers other daemons.
    :ivar lease_ms: length of leases given to servers.
    :ivar cores: processor of its VM, in ordinary cores.
    """

    daemon_id: str
    failure_domain: str
    endpoint: str
    lease_ms: int
    cores: float


@dataclasses.dataclass(frozen=True, slots=True)
class OwnerPorts:
    """What an owner acts through.

    :ivar log: the store.
    :ivar runners: way to backend servers.
    :ivar directory: their registrations.
    :ivar advisor: way to the advice service.
    :ivar observer: logs and metrics.
    :ivar since_boot_ms: clock that counts suspension too.
    """

    log: SharedLog
    runners: TaskRunners
    directory: ServerDirectory
    advisor: Advisor
    observer: Observer
    since_boot_ms: Callable[[], int] = boottime_ms


class Owner:
    """Owns one shard from its claim until it is deposed or resigns.

    :ivar ready: whether it has read all of the shard and acts.
    :ivar over: set when it has stopped for good.
    :ivar cut_off: whether it has stopped as it can't reach most servers, or
        can't read the intake.
    :ivar epoch: under which it appends; its fencing token at servers.
    """

    def __init__(
        self, settings: OwnerSettings, ports: OwnerPorts, terms: Terms
    ) -> None:
        """Prepare; nothing is claimed yet.

        :param settings: figures.
        :param ports: what it acts through.
        :param terms: configuration in force.
        """
        self.ready = False
        self.over = asyncio.Event()
        self.epoch = 0
        self.cut_off = False
        self._ready_ms = 0
        self._settings = settings
        self._ports = ports
        self._terms = terms
        self._observer = ports.observer
        self._intake = IntakeReader(ports.log)
        self._tasks: list[asyncio.Task[None]] = []
        self._stirred = asyncio.Event()
        self._beats: Beats | None = None
        self._lag = LoopLag()
        self._strain = StrainLines(ports.observer, settings.cores)

    async def claim(
        self, former: Predecessor, former_epoch: int
    ) -> ClaimOutcome:
        """Claim the shard and begin to act.

        :param former: newest heartbeat that was read.
        :param former_epoch: highest epoch that was seen.
        :returns: whether the shard belongs to this daemon now.
        """
        log = self._ports.log
        journal = Mirror(log, JOURNAL_TOPIC)
        read = await journal.catch_up()
        if not isinstance(read, CaughtUp):
            return ClaimFailed(str(read))
        owner = decode_owner(journal.payload_by_key.pop(OWNER_KEY, None))
        if owner is not None and owner.epoch > former_epoch:
            # Several daemons miss the former owner at the same time. Without
            # this each would depose the one before, and the shard would
            # change hands as often as there are daemons.
            return ClaimOvertaken(owner.epoch)
        self.epoch = next_epoch(former_epoch)
        self._writer = EpochWriter(log, JOURNAL_TOPIC, self.epoch)
        record = OwnerRecord(
            self._settings.daemon_id,
            self.epoch,
            self._settings.endpoint,
            failure_domain=self._settings.failure_domain,
            cores=self._settings.cores,
        )
        if self.over.is_set():
            return ClaimFailed('stopped before the claim')
        claim = Claim(self._writer, journal, record)
        claimed = await claim.store(self.over)
        if not isinstance(claimed, Claimed):
            return claimed
        # Read again if the claim had to be looked for: no row of a step.
        journal.payload_by_key.pop(OWNER_KEY, None)
        ledger = LeaseLedger(former, self._settings.lease_ms)
        beats = Beats(log, record, self._ports.since_boot_ms, ledger)
        # Only now: a resignation of a claim that failed would depose whoever
        # has claimed instead.
        self._beats = beats
        self._observer.tell(
            'shard.claimed', epoch=self.epoch, former_epoch=former_epoch
        )
        if self.over.is_set():
            # Told to stop while the store had not answered: there was nothing
            # to resign from then. Heartbeats now would keep the others from
            # claiming until this process ends.
            await beats.resign()
            return ClaimFailed('stopped during the claim')
        self._spawn(
            self._until(
                self._beats.keep(), 'a higher epoch has sent heartbeats'
            )
        )
        await self._take_over(journal.payload_by_key, ledger)
        if self.over.is_set():
            return ClaimFailed('given up while taking over')
        return claimed

    def configure(self, terms: Terms) -> None:
        """Put a configuration in force.

        :param terms: the configuration.
        """
        self._terms = terms
        if self.ready:
            self._engine.configure(terms)
            self._stirred.set()

    def take(self, row: IntakeRow) -> None:
        """Take in what was stored here, before it is read back.

        :param row: a job or a cancelling.
        """
        match row:
            case JobRow(raw):
                self._engine.submit(decode_spec(raw), steady_ms())
            case CancelRow(job_id):
                self._engine.cancel(job_id)
        self._stirred.set()

    async def phase(self, job_id: str) -> JobAnswer:
        """Say how far a job is.

        :param job_id: which.
        :returns: the answer; that a job isn't known is only said after the
            intake was read to its end.
        """
        found = self._engine.book.phase(job_id)
        if found is None:
            if not await self._intake.peek(self._engine):
                return NotAnswered('the intake can not be read')
            found = self._engine.book.phase(job_id)
        return JobNotKnown() if found is None else JobKnown(found)

    def pending(self, queue: str) -> int:
        """Count the jobs of a queue that have not begun.

        :param queue: which.
        :returns: the count.
        """
        return self._engine.book.pending(queue)

    async def resign(
        self, reason: str = 'resigned', cut_off: bool = False
    ) -> None:
        """Stop acting and let a successor follow at once.

        :param reason: why.
        :param cut_off: whether others may reach what can't be reached from here.
        """
        self.cut_off = cut_off
        self._halt()
        if self._beats is not None:
            await self._beats.resign(cut_off)
        self._end(reason)

    def stop(self, reason: str) -> None:
        """Stop acting: another daemon owns the shard.

        :param reason: how that is known.
        """
        self._halt()
        self._end(reason)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._finished)
        self._tasks.append(task)

    def _finished(self, task: asyncio.Task[None]) -> None:
        """Stop owning the shard when a part of the owner has failed.

        Without one of its tasks the owner would go on with heartbeats while
        nothing is placed or stored, and no other daemon would take over.

        :param task: that has ended.
        """
        if task.cancelled() or task.exception() is None:
            return
        _log.error(
            'part of the owner failed',
            extra={'epoch': self.epoch},
            exc_info=task.exception(),
        )
        self.stop('a part of the owner failed')

    def _halt(self) -> None:
        for task in self._tasks:
            task.cancel()
        if self.ready:
            self._fleet.close()
        self.ready = False

    def _end(self, reason: str) -> None:
        if not self.over.is_set():
            self._observer.tell(
                'shard.given_up', epoch=self.epoch, reason=reason
            )
        self.over.set()

    async def _take_over(
        self, rows: dict[str, bytes], ledger: LeaseLedger
    ) -> None:
        now_ms, wall_ms = steady_ms(), _clock.wall_ms()
        # After the claim: any job that the journal names is in it then.
        read = await self._intake.restore(self.over)
        if not (read or self.over.is_set()):
            # Heartbeats without acts would keep all others from claiming.
            await self.resign('the intake can not be read', cut_off=True)
        await ledger.until_begun(self.over)
        if self.over.is_set():
            return
        self._engine = Engine(
            self.epoch, self._settings.lease_ms, ledger.inherited
        )
        self._engine.configure(self._terms)
        self._engine.restore(rows)
        self._intake.hand_over(self._engine)
        self._engine.inherit(now_ms, wall_ms)
        driver_ports = DriverPorts(
            self._ports.runners,
            lambda: self._beats.proven,
            self._beats.until_proven,
            self._stirred.set,
            self._finished,
            lambda: self._lag.mean_s,
        )
        self._fleet = Fleet(self._engine, driver_ports, self._ports.directory)
        self._committer = Committer(self._engine, self._writer, self._fleet)
        self._asker = AdviceAsker(self._engine, self._ports.advisor)
        await self._fleet.register()
        if self.over.is_set():
            # Stopped meanwhile: a successor may own the shard already.
            self._fleet.close()
            return
        self.ready = True
        self._ready_ms = steady_ms()
        sweeper = Sweeper(self._ports.log, self._engine)
        works = (
            sweeper.run(),
            ledger.act(self._engine),
            self._intake.follow(self._engine, self._stirred.set),
            self._keep_registering(),
            self._lag.measure(),
            self._decide(),
            self._until(
                self._committer.run(self._stirred.set),
                'the store has seen a higher epoch',
            ),
            self._asker.run(self._stirred.set),
        )
        for work in works:
            self._spawn(work)
        book = self._engine.book
        self._observer.tell(
            'shard.taken_over',
            epoch=self.epoch,
            terms=book.terms.version,
            jobs=len(book.job_by_id),
            servers=len(book.server_by_id),
            took_ms=steady_ms() - now_ms,
        )

    async def _keep_registering(self) -> None:
        while True:
            await asyncio.sleep(REGISTER_EVERY_S)
            await self._fleet.register()
            self._stirred.set()
            stayed = steady_ms() - self._ready_ms >= STAY_MS
            stayed = stayed and self._lag.bearable
            if stayed and self._ports.log.answering and self._fleet.cut_off:
                # Not from here: this task is one of those that end with it.
                leaving = self.resign('cut off from servers', cut_off=True)
                self._leaving = asyncio.create_task(leaving)
                return

    async def _decide(self) -> None:
        while True:
            try:
                await asyncio.wait_for(self._stirred.wait(), TICK_S)
            except TimeoutError:
                # Time itself is an event: leases lapse, repetitions are due.
                self._stirred.set()
            await asyncio.sleep(GATHER_S)
            self._strain.tell(self.epoch, self._lag)
            self._stirred.clear()
            self._engine.decide(
                steady_ms(), _clock.wall_ms(), place=self._lag.bearable
            )
            self._fleet.send_orders()
            self._observer.tell_all(self._engine.book.notes.take())
            self._committer.wake()
            self._asker.wake()

    async def _until(
        self, work: Coroutine[None, None, None], reason: str
    ) -> None:
        """Run a part that ends when this owner was deposed.

        :param work: the part.
        :param reason: what its end means.
        """
        await work
        self.stop(reason)
