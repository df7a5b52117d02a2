"""Encoding of the journal rows for steps and ended jobs.

The newest rows of a step hold all of its state that a new owner needs, each that
of up to ``TASKS_PER_ROW`` tasks, so that no row outgrows a record of the store.
Tasks that never ran are left out.
"""

import math
from collections.abc import Iterator
from typing import NamedTuple

import msgspec

from waxwingford.scheduling._backend_client import RunKey
from waxwingford.scheduling._incarnations import Incarnation, parse_incarnation
from waxwingford.scheduling._spec_checks import find_fault
from waxwingford.scheduling._specs import JobSpec
from waxwingford.scheduling._state import (
    Job,
    JobPhase,
    Run,
    RunPhase,
    Step,
    Task,
)
from waxwingford.scheduling._suspected_crashes import SuspectedCrash

#: Prefix of the keys of ended jobs; keys of steps begin with the job id.
ENDED_PREFIX = 'ended/'
#: Key of the learned interference of best-effort tasks.
INTERFERENCE_KEY = 'effects'
#: Key of the times at which servers were lost without a task as a cause.
LOSSES_KEY = 'losses'
#: Key used by older versions, which store these values in another unit. They
#: must not be read: they would make harmful pairs of images look harmless.
OBSOLETE_INTERFERENCE_KEY = 'harm'


#: Maximum waiting time that a task carries over from previous owners, in ms. It
#: is computed from Unix time, and the clocks of VMs differ.
MAX_INHERITED_WAIT_MS = 60_000
#: Tasks of a step whose state is in one row. With the longest checkpoint and the
#: longest names of servers each takes less than 8 KB.
TASKS_PER_ROW = 32
#: Longest checkpoint that is kept, in bytes.
MAX_CHECKPOINT_BYTES = 4096
#: Separates the number of a row, other than the first, from the step's name.
_PART_SEPARATOR = '/'


class _SuspectedCrashRow(NamedTuple):
    run: int
    server: str
    evidence: int
    known: bool
    alone: bool
    lease_end_ms: int


class _TaskRow(msgspec.Struct, array_like=True, omit_defaults=True):
    index: int
    last_run: int
    failures: int
    done: bool
    checkpoint: str = ''
    #: Numbers and incarnations of servers, as text.
    runs: tuple[tuple[int, str], ...] = ()
    crash_evidence: int = 0
    #: Whether the servers of all runs are known to have outlived the starts.
    outlived: bool = False
    #: Unix time in ms since when the task is pending, 0 if it isn't.
    waits_since_ms: int = 0
    lost_runs: list[int] = []
    failed_runs: list[int] = []
    #: Whether no server is known to have accepted or listed a run. Rows of older
    #: versions lack it: there, a run that was planned counts as begun.
    unbegun: bool = False
    #: Numbers of the accepted runs that aren't known to be outlived.
    accepted_runs: list[int] = []
    #: Incarnations of servers on which attempts have failed, as text.
    failed_on: list[str] = []
    #: See ``SuspectedCrash``. Rows of older versions have their evidence only.
    suspected_crashes: tuple[_SuspectedCrashRow, ...] = ()


class _RowInputs(NamedTuple):
    # Everything from which the row of a task is encoded. Each run is a number,
    # the incarnation of its server, and whether that has outlived the start and
    # is known to have accepted the run.
    index: int
    last_run: int
    failures: int
    done: bool
    checkpoint: str
    runs: tuple[tuple[int, Incarnation, bool, bool], ...]
    suspected_crashes: tuple[SuspectedCrash, ...]
    waits_since_ms: int
    lost_runs: tuple[int, ...]
    failed_runs: tuple[int, ...]
    unbegun: bool
    failed_on: tuple[Incarnation, ...]


_encoder = msgspec.msgpack.Encoder()
_rows_decoder = msgspec.msgpack.Decoder(list[_TaskRow])
_spec_decoder = msgspec.msgpack.Decoder(JobSpec)


class StepKey(NamedTuple):
    """Key of a row of a step.

    :ivar occurrence: index of the repetition, from 0.
    :ivar index: index of the step in the job.
    :ivar part: number of the row in the step, from 0.
    """

    job_id: str
    occurrence: int
    index: int
    part: int = 0


def row_key(step: Step, part: int) -> str:
    """Return the key of a row of a step.

    :param part: number of the row. The first has the name of the step, under which
        earlier versions stored all tasks.
    """
    return f'{step.name}{_PART_SEPARATOR}{part}' if part else step.name


def parts_of(step: Step) -> range:
    """Return the numbers of the rows of a step."""
    return range(math.ceil(len(step.tasks) / TASKS_PER_ROW))


def stored_keys(step: Step) -> Iterator[str]:
    """List the keys of the rows of a step that may be stored."""
    for part in parts_of(step):
        if not part or any(task.last_run for task in _tasks_of(step, part)):
            yield row_key(step, part)


def parse_step_key(key: str) -> StepKey:
    """Parse the key of a row of a step.

    :param key: key as returned by ``row_key``.
    :raises ValueError: if the key is malformed.
    """
    job_id, occurrence, place = key.rsplit('.', 2)
    index, separator, part = place.partition(_PART_SEPARATOR)
    return StepKey(
        job_id, int(occurrence), int(index), int(part) if separator else 0
    )


def encode_spec(spec: JobSpec) -> bytes:
    """Encode a job for the store."""
    return _encoder.encode(spec)


class InvalidSpecError(ValueError):
    """A stored job says what can't be scheduled."""


def decode_spec(raw: bytes) -> JobSpec:
    """Decode a job from the store.

    :param raw: bytes returned by ``encode_spec``.
    :raises InvalidSpecError: if the job can't be scheduled.
    :raises ValueError: if the bytes are malformed.
    """
    spec = _spec_decoder.decode(raw)
    fault = find_fault(spec)
    if fault is not None:
        raise InvalidSpecError(str(fault))
    return spec


def encode_step_row(step: Step, part: int, wall_offset_ms: int) -> bytes:
    """Encode a row of a step.

    :param part: number of the row.
    :param wall_offset_ms: offset of Unix time from monotonic time, in ms.
    """
    return _encoder.encode(
        [
            task.final_row or _encode_task(task, wall_offset_ms)
            for task in _tasks_of(step, part)
            if task.last_run
        ]
    )


def _tasks_of(step: Step, part: int) -> list[Task]:
    first = part * TASKS_PER_ROW
    return step.tasks[first : first + TASKS_PER_ROW]


def _encode_task(task: Task, wall_offset_ms: int) -> msgspec.Raw:
    # A row is written again with each change of one of its tasks.
    inputs = _row_inputs(task, wall_offset_ms)
    latest = task.latest_row
    if latest is not None and latest[0] == inputs:
        return latest[1]
    row = msgspec.Raw(_encoder.encode(_task_row(inputs)))
    if task.done and not (task.run_by_number or task.lost_runs):
        # Nothing changes such a task.
        task.final_row = row
        task.latest_row = None
    else:
        task.latest_row = inputs, row
    return row


def _row_inputs(task: Task, wall_offset_ms: int) -> _RowInputs:
    waits = not (task.done or task.run_by_number)
    runs: tuple[tuple[int, Incarnation, bool, bool], ...] = ()
    for number, run in task.run_by_number.items():
        facts = number, run.incarnation, run.outlived, run.accepted
        runs = (*runs, facts)
    return _RowInputs(
        task.key.index,
        task.last_run,
        task.failures,
        task.done,
        task.checkpoint,
        runs,
        task.suspected_crashes,
        task.pending_since_ms + wall_offset_ms if waits else 0,
        tuple(task.lost_runs),
        tuple(task.failed_runs),
        not task.begun,
        tuple(task.failed_on),
    )


def _task_row(inputs: _RowInputs) -> _TaskRow:
    runs = [(number, str(server)) for number, server, *_ in inputs.runs]
    crash_evidence = 0
    suspected_crashes: tuple[_SuspectedCrashRow, ...] = ()
    for crash in inputs.suspected_crashes:
        crash_evidence += crash.evidence
        row = _SuspectedCrashRow(*crash._replace(server=str(crash.server)))
        suspected_crashes = (*suspected_crashes, row)
    return _TaskRow(
        inputs.index,
        inputs.last_run,
        inputs.failures,
        inputs.done,
        inputs.checkpoint,
        tuple(runs),
        crash_evidence,
        all([outlived for _, _, outlived, _ in inputs.runs]),
        inputs.waits_since_ms,
        list(inputs.lost_runs),
        list(inputs.failed_runs),
        inputs.unbegun,
        [
            number
            for number, _, outlived, accepted in inputs.runs
            if accepted and not outlived
        ],
        list(map(str, inputs.failed_on)),
        suspected_crashes,
    )


def apply_step_row(
    job: Job, step_key: StepKey, raw: bytes, now_ms: int, wall_ms: int
) -> bool:
    """Apply a row of a step to the state of its job.

    :param now_ms: current monotonic time, in ms; start of restored runs.
    :param wall_ms: current Unix time, in ms.
    :returns: whether it holds tasks of other rows, as those of earlier versions
        do. The step has to be stored again then.
    :raises ValueError: if the row is malformed or doesn't match the job.
    """
    rows = _rows_decoder.decode(raw)
    _check_range('step index', step_key.index, len(job.spec.steps))
    _check_range('repetition', step_key.occurrence, job.spec.occurrences)
    step = job.begin(step_key.occurrence)[step_key.index]
    for row in rows:
        _check_range('task index', row.index, len(step.tasks))
    others = {row.index // TASKS_PER_ROW for row in rows} - {step_key.part}
    if step_key.part and others:
        raise ValueError('task index is out of range for the row')
    for row in rows:
        task = step.tasks[row.index]
        step.unfinished += task.done - row.done
        _apply_task_row(step, task, row, now_ms, wall_ms)
        if not row.unbegun:
            job.note_begun(task)
    return bool(others)


def _check_range(name: str, number: int, end: int) -> None:
    if not 0 <= number < end:
        raise ValueError(f'{name}: {number}, expected 0 to {end - 1}')


def _apply_task_row(
    step: Step, task: Task, row: _TaskRow, now_ms: int, wall_ms: int
) -> None:
    task.last_run = row.last_run
    task.failures = row.failures
    task.suspected_crashes = _suspected_crashes(row)
    task.lost_runs = row.lost_runs
    task.failed_runs = row.failed_runs
    if row.waits_since_ms:
        waited_ms = max(0, wall_ms - row.waits_since_ms)
        task.pending_since_ms = now_ms - min(waited_ms, MAX_INHERITED_WAIT_MS)
    task.done = row.done
    task.checkpoint = row.checkpoint
    for former in list(task.run_by_number):
        step.remove_run(task, former)
    for number, text in row.runs:
        incarnation = parse_incarnation(text)
        run = _inherited_run(task, number, incarnation, now_ms)
        step.add_run(task, run)
    for run in task.run_by_number.values():
        run.outlived = row.outlived
        run.accepted = run.key.run in row.accepted_runs
        run.copy = run.key.run > min(task.run_by_number)
    task.copied = len(task.run_by_number) > 1
    task.failed_on = list(map(parse_incarnation, row.failed_on))
    task.avoided = set(task.failed_on)


def _suspected_crashes(row: _TaskRow) -> tuple[SuspectedCrash, ...]:
    if row.crash_evidence and not row.suspected_crashes:
        return (SuspectedCrash(0, Incarnation(''), row.crash_evidence),)
    return tuple(
        SuspectedCrash(*one._replace(server=parse_incarnation(one.server)))
        for one in row.suspected_crashes
    )


def tells_begun(raw: bytes) -> bool:
    """Tell whether a step has begun by one of its rows.

    :param raw: bytes returned by ``encode_step_row``.
    :raises ValueError: if the row is malformed.
    """
    return any(not row.unbegun for row in _rows_decoder.decode(raw))


def _inherited_run(
    task: Task, number: int, incarnation: Incarnation, now_ms: int
) -> Run:
    run = Run(
        RunKey(task.key, number),
        incarnation,
        RunPhase.inherited,
        now_ms,
        now_ms,
        checkpoint=task.checkpoint,
        resumed_from=task.checkpoint,
        progress_changed_ms=now_ms,
        adopted=True,
    )
    if task.best_effort:
        # Only best-effort runs have a pace. An unknown pace exempts a run from
        # stall detection, so it must not be set for other tasks.
        run.pace = None
    return run


def encode_end(phase: JobPhase) -> bytes:
    """Encode the final phase of a job."""
    return phase.value.encode()


def decode_end(raw: bytes) -> JobPhase:
    """Decode the final phase of a job.

    :param raw: bytes returned by ``encode_end``.
    :raises ValueError: if the bytes are no phase.
    """
    return JobPhase(raw.decode())


__all__ = (
    'ENDED_PREFIX',
    'INTERFERENCE_KEY',
    'LOSSES_KEY',
    'MAX_CHECKPOINT_BYTES',
    'TASKS_PER_ROW',
    'InvalidSpecError',
    'StepKey',
    'apply_step_row',
    'decode_end',
    'decode_spec',
    'encode_end',
    'encode_spec',
    'encode_step_row',
    'parse_step_key',
    'parts_of',
    'row_key',
    'stored_keys',
    'tells_begun',
)
