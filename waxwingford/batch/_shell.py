"""The asyncio task that runs the batch controller."""

import asyncio
import dataclasses
import random

from waxwingford.batch._controller import DomainController
from waxwingford.batch._effects import (
    Append,
    Control,
    Drained,
    Effect,
    EmitEvent,
    JobOutcomeUnknown,
    JobRefused,
    ReplySubmission,
    SubmissionOutcome,
    WriteSnapshot,
)
from waxwingford.batch._executor import EffectExecutor
from waxwingford.batch._hints import BatchHints
from waxwingford.batch._messages import (
    CancelJob,
    Drain,
    EvictTask,
    Message,
    SubmitJob,
    Tick,
    VmListRead,
)
from waxwingford.batch._reader import StreamReader, away_pause_ms
from waxwingford.batch._replies import PendingReplies, PendingReply
from waxwingford.batch._settings import BatchSettings
from waxwingford.batch._snapshots import load_newest_snapshot
from waxwingford.kernel import Clock
from waxwingford.ports import (
    BackendServerPort,
    DirectoryPort,
    LogPort,
    LogUnavailable,
)
from waxwingford.records import DomainState, JobSpec
from waxwingford.timeline import Timeline

_MS_IN_S = 1000
_TICK_MS = 50
_LIST_EVERY_MS = 1000
_GAP_RETRY_MS = 1000
_NOT_READY_RETRY_MS = 1000
#: Largest relative deviation of a pause.
_LIST_JITTER = 0.25
#: Largest ratio of a retry delay to the shortest one.
_RETRY_SPREAD = 4


def list_pause_ms(rng: random.Random) -> int:
    """Choose the pause before the next read of the platform's list.

    The pause has jitter, so that daemons that start together do not read the
    list in step.

    :param rng: source of the jitter.
    :returns: pause, in milliseconds.
    """
    share = rng.uniform(1 - _LIST_JITTER, 1 + _LIST_JITTER)
    return round(_LIST_EVERY_MS * share)


def add_retry_jitter(
    outcome: SubmissionOutcome, rng: random.Random
) -> SubmissionOutcome:
    """Add jitter to the retry delay of a refused or unknown submission.

    Submitters that are refused together, as when the log becomes unavailable,
    must not retry in step.

    :param outcome: outcome with the shortest retry delay.
    :param rng: source of the jitter.
    :returns: the outcome, with a longer retry delay if it has one.
    """
    if not isinstance(outcome, JobRefused | JobOutcomeUnknown):
        return outcome
    least_ms = outcome.retry_after_ms
    retry_ms = rng.randint(least_ms, least_ms * _RETRY_SPREAD)
    return dataclasses.replace(outcome, retry_after_ms=retry_ms)


class BatchTask(BatchHints):
    """Runs the controller of one daemon and executes its effects.

    Messages are handled one at a time on the event loop without awaiting, so
    the state needs no lock.
    """

    def __init__(
        self,
        *,
        settings: BatchSettings,
        log: LogPort,
        servers: BackendServerPort,
        directory: DirectoryPort,
        clock: Clock,
        timeline: Timeline,
    ) -> None:
        super().__init__(clock)
        self._settings = settings
        self._log = log
        self._directory = directory
        self._timeline = timeline
        self._executor = EffectExecutor(
            settings, log, servers, clock, self._handle
        )
        self._replies = PendingReplies()
        self._rng = random.Random()
        self._generation = 0
        self._drained = asyncio.Event()
        self._group: asyncio.TaskGroup | None = None

    async def run(self) -> None:
        """Load the state, then follow the stream until cancelled.

        A daemon that falls behind the entries that the log retains restarts
        from a newer snapshot under a new incarnation, and acquires its leases
        again.

        :raises ExceptionGroup: if an invariant is broken or another error
            occurs in any subtask; all subtasks are cancelled then.
        """
        stream = f'snapshots/{self._settings.failure_domain}'
        async with asyncio.TaskGroup() as group:
            self._group = group
            group.create_task(self._poll_vm_list())
            group.create_task(self._tick())
            while True:
                self._start_controller(await self._load(stream))
                await self._follow_stream()

    async def submit(self, job: JobSpec) -> SubmissionOutcome:
        """Submit a job.

        :param job: the job; its submission time is set by this daemon.
        :returns: accepted, refused, unknown or rejected.
        """
        reply = self._replies.create()
        return await self._send_submission(
            reply, SubmitJob(reply.submission_id, job)
        )

    async def cancel(self, job_id: str, member: str) -> SubmissionOutcome:
        """Cancel a job.

        :param member: member that makes the request and must own the job.
        :returns: cancelled, refused, unknown or rejected.
        """
        reply = self._replies.create()
        message = CancelJob(reply.submission_id, job_id, member)
        return await self._send_submission(reply, message)

    def evict(self, task_id: str) -> bool:
        """Checkpoint a task that runs on a server held here.

        :returns: whether its server is held here.
        """
        controller = self._controller
        task = controller.state.task(task_id) if controller else None
        if controller is None or task is None:
            return False
        held = controller.fleet.held(self._clock.monotonic_ms())
        self._handle(EvictTask(task_id))
        return task.server_id in held

    async def drain(self, timeout_ms: int) -> bool:
        """Stop accepting work and release the leases for peers to acquire.

        :param timeout_ms: timeout, in milliseconds.
        :returns: whether everything was handed over in time.
        """
        self._handle(Drain())
        try:
            await asyncio.wait_for(self._drained.wait(), timeout_ms / _MS_IN_S)
        except TimeoutError:
            return False
        return True

    async def _send_submission(
        self, reply: PendingReply, message: SubmitJob | CancelJob
    ) -> SubmissionOutcome:
        if self._controller is None:
            refusal = add_retry_jitter(
                JobRefused(self._load_problem, _NOT_READY_RETRY_MS), self._rng
            )
            self._replies.resolve(reply.submission_id, refusal)
        self._handle(message)
        return await self._replies.wait(reply)

    async def _load(self, stream: str) -> DomainState:
        failures = 0
        while True:
            outcome = await load_newest_snapshot(self._log, stream)
            if not isinstance(outcome, LogUnavailable):
                return outcome or DomainState()
            failures += 1
            self._record_load_problem(f'snapshot not read: {outcome.reason}')
            pause_ms = away_pause_ms(failures, self._rng)
            await asyncio.sleep(pause_ms / _MS_IN_S)

    def _start_controller(self, state: DomainState) -> None:
        self._generation += 1
        name = f'{self._settings.incarnation}.{self._generation}'
        settings = self._settings._replace(incarnation=name)
        now_ms = self._clock.monotonic_ms()
        self._replies.resolve_all_unknown(
            'this daemon is reloading its state', _NOT_READY_RETRY_MS
        )
        self._executor.start_generation(self._generation)
        self._controller = DomainController(settings, state, now_ms)
        self._timeline.note(
            'batch.loaded', 'stream', f'from offset {state.next_offset}'
        )
        for message in (self._bundle, self._alive, self._last_vm_list):
            if message is not None:
                self._handle(message)

    async def _follow_stream(self) -> None:
        controller = self._controller
        reader = StreamReader(self._settings, self._log, self._clock)
        while controller is not None and not controller.stream.gap:
            message = await reader.read(controller.state.next_offset)
            self._handle(message)
            await reader.pause(message)
        # All daemons may find a gap at once; they must not reload in step.
        pause_ms = self._rng.randint(_GAP_RETRY_MS // 2, _GAP_RETRY_MS)
        await asyncio.sleep(pause_ms / _MS_IN_S)

    async def _poll_vm_list(self) -> None:
        while True:
            message = VmListRead(await self._directory.read())
            self._last_vm_list = message
            self._handle(message)
            await asyncio.sleep(list_pause_ms(self._rng) / _MS_IN_S)

    async def _tick(self) -> None:
        while True:
            self._handle(Tick())
            await asyncio.sleep(_TICK_MS / _MS_IN_S)

    def _handle(self, message: Message) -> None:
        if self._controller is None:
            return
        effects = self._controller.handle(
            message, self._clock.monotonic_ms(), self._clock.wall_ms()
        )
        for effect in effects:
            self._carry_out(effect)

    def _carry_out(self, effect: Effect) -> None:
        match effect:
            case ReplySubmission(submission_id=submission_id, outcome=outcome):
                spread = add_retry_jitter(outcome, self._rng)
                self._replies.resolve(submission_id, spread)
            case EmitEvent(kind=kind, subject=subject, detail=detail):
                self._timeline.note(kind, subject, detail)
            case Control():
                self._group.create_task(self._executor.control(effect))
            case Append():
                self._group.create_task(self._executor.append(effect))
            case WriteSnapshot():
                self._group.create_task(
                    self._executor.snapshot(self._controller.state)
                )
            case Drained():
                self._drained.set()
