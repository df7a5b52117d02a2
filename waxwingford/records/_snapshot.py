"""Snapshots: a domain's state at an offset, in chunks that prove themselves.

Equal states give equal bytes, so that two daemons which write the snapshot of
one offset do no harm.  A chunk that is torn, or belongs to another snapshot
than its neighbours, is told by its header and the digest of the whole.
"""

import zlib

import msgspec
import xxhash

from waxwingford.records._fold import DomainState
from waxwingford.records._index import FinishedJobs
from waxwingford.records._messages import JobSpec
from waxwingford.records._state import (
    FinishedJob,
    JobState,
    TaskStage,
    TaskState,
    new_job,
)

#: Bytes of payload in a chunk; with its header below 256 KiB.
CHUNK_BYTES = 240_000
_COMPRESSION_LEVEL = 1
#: Snapshots assembled at once; more are remains of writers that died.
_PARTIAL_KEPT = 4
#: Bound of one unpacked snapshot, against a corrupt or hostile chunk.
_UNPACKED_BYTES_LIMIT = 256_000_000


class _TaskRow(msgspec.Struct, array_like=True):
    index: int
    stage: int
    attempt: int
    server_id: str
    boot_id: str
    epoch: int
    holder: str
    claim_offset: int
    suspected_offset: int
    checkpoint: str
    checkpoint_server: str
    failed_on: tuple[str, ...]
    failures: int
    ran_ms: int
    detail: str


class _JobRow(msgspec.Struct, array_like=True):
    spec: JobSpec
    accepted_offset: int
    cancelled: bool
    tasks: list[_TaskRow]


class _FinishedRow(msgspec.Struct, array_like=True):
    job_id: str
    member: str
    done: int
    failed: int
    cancelled: int
    reasons: tuple[str, ...]


class _Body(msgspec.Struct, array_like=True):
    next_offset: int
    snapshot_offset: int
    jobs: list[_JobRow]
    finished: list[_FinishedRow]
    tombstones: list[int]
    failing_by_server: dict[str, int]
    writers: list[tuple[str, int]]


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the snapshots' stream.

    :ivar covers_offset: first offset of the domain's stream that the snapshot
        does not cover.
    :ivar index: place in the snapshot, from 0.
    :ivar total: chunks in the snapshot.
    :ivar digest: xxhash of the whole.
    :ivar payload: this part.
    """

    covers_offset: int
    index: int
    total: int
    digest: str
    payload: bytes


_encoder = msgspec.msgpack.Encoder()
_body_decoder = msgspec.msgpack.Decoder(_Body)
_chunk_decoder = msgspec.msgpack.Decoder(SnapshotChunk)
_TASK_FIELDS = _TaskRow.__struct_fields__[2:]


def _task_row(index: int, task: TaskState) -> _TaskRow:
    return _TaskRow(
        index,
        int(task.stage),
        *(getattr(task, name) for name in _TASK_FIELDS),
    )


def _is_untouched(task: TaskState) -> bool:
    return task.attempt == 0 and task.stage == TaskStage.pending


def _job_row(job: JobState) -> _JobRow:
    rows = [
        _task_row(index, task)
        for index, task in enumerate(job.tasks)
        if not _is_untouched(task)
    ]
    return _JobRow(job.spec, job.accepted_offset, job.cancelled, rows)


def _finished_row(job: FinishedJob) -> _FinishedRow:
    return _FinishedRow(
        job.job_id,
        job.member,
        job.done,
        job.failed,
        job.cancelled,
        job.reasons,
    )


def _body(state: DomainState) -> _Body:
    jobs = sorted(
        state.jobs_by_id.values(),
        key=lambda job: job.accepted_offset,
    )
    return _Body(
        state.next_offset,
        state.snapshot_offset,
        [_job_row(job) for job in jobs],
        [_finished_row(job) for job in state.finished.kept_by_id.values()],
        list(state.finished.tombstones),
        dict(sorted(state.failing_by_server.items())),
        list(state.sequence_by_writer.items()),
    )


def snapshot_chunks(state: DomainState, covers_offset: int) -> list[bytes]:
    """Write a state down.

    :param state: the state.
    :param covers_offset: must be the state's next offset: a snapshot that
        claimed to cover more would lose the records between.
    :returns: entries for the snapshots' stream, each below 256 KiB.
    :raises ValueError: if the offset is not the state's.
    """
    if covers_offset != state.next_offset:
        raise ValueError(
            f'state is at {state.next_offset}, not at {covers_offset}',
        )
    whole = zlib.compress(_encoder.encode(_body(state)), _COMPRESSION_LEVEL)
    digest = xxhash.xxh3_128_hexdigest(whole)
    parts = [
        whole[start : start + CHUNK_BYTES]
        for start in range(0, len(whole), CHUNK_BYTES)
    ]
    return [
        _encoder.encode(
            SnapshotChunk(covers_offset, index, len(parts), digest, part),
        )
        for index, part in enumerate(parts)
    ]


def restore(whole: bytes) -> DomainState:
    """Read a state back.

    :param whole: joined payloads of a complete snapshot.
    :returns: the state; all its pending tasks count as newly pending.
    :raises msgspec.DecodeError: if it is not a snapshot.
    """
    unpacked = zlib.decompressobj().decompress(whole, _UNPACKED_BYTES_LIMIT)
    body = _body_decoder.decode(unpacked)
    state = DomainState()
    state.next_offset = body.next_offset
    state.snapshot_offset = body.snapshot_offset
    for row in body.jobs:
        _restore_job(state, row)
    state.finished = _restore_finished(body)
    state.failing_by_server.update(body.failing_by_server)
    state.sequence_by_writer = dict(body.writers)
    return state


def _restore_job(state: DomainState, row: _JobRow) -> None:
    job = new_job(row.spec, row.accepted_offset)
    job.cancelled = row.cancelled
    for task_row in row.tasks:
        task = job.tasks[task_row.index]
        for name in _TASK_FIELDS:
            setattr(task, name, getattr(task_row, name))
        task.stage = TaskStage(task_row.stage)
    job.open_count = sum(task.stage <= TaskStage.claimed for task in job.tasks)
    state.jobs_by_id[row.spec.job_id] = job
    for task in job.tasks:
        state.index.add(task)


def _restore_finished(body: _Body) -> FinishedJobs:
    finished = FinishedJobs()
    finished.kept_by_id = {
        row.job_id: FinishedJob(
            row.job_id,
            row.member,
            row.done,
            row.failed,
            row.cancelled,
            row.reasons,
        )
        for row in body.finished
    }
    finished.tombstones = dict.fromkeys(body.tombstones)
    return finished


class SnapshotAssembler:
    """Joins chunks; what is torn, mixed or corrupt never becomes a state.

    :ivar newest: state of the newest complete snapshot so far, if any.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.newest: DomainState | None = None
        self._parts: dict[tuple[int, str, int], dict[int, bytes]] = {}

    def add(self, payload: bytes) -> DomainState | None:
        """Take one entry of the snapshots' stream.

        :param payload: the entry.
        :returns: the newest complete state so far, if any.
        """
        try:
            chunk = _chunk_decoder.decode(payload)
        except msgspec.DecodeError:
            return self.newest
        if self._is_wanted(chunk):
            self._collect(chunk)
        return self.newest

    def _is_wanted(self, chunk: SnapshotChunk) -> bool:
        is_newer = (
            self.newest is None or chunk.covers_offset > self.newest.next_offset
        )
        return is_newer and 0 <= chunk.index < chunk.total

    def _collect(self, chunk: SnapshotChunk) -> None:
        name = (chunk.covers_offset, chunk.digest, chunk.total)
        parts = self._parts.setdefault(name, {})
        parts[chunk.index] = chunk.payload
        if len(parts) == chunk.total:
            self._parts.pop(name)
            self._finish(chunk, parts)
        if len(self._parts) > _PARTIAL_KEPT:
            self._parts.pop(min(self._parts))

    def _finish(self, chunk: SnapshotChunk, parts: dict[int, bytes]) -> None:
        whole = b''.join(parts[index] for index in range(chunk.total))
        if xxhash.xxh3_128_hexdigest(whole) != chunk.digest:
            return
        try:
            state = restore(whole)
        except (msgspec.DecodeError, zlib.error, IndexError):
            return
        if state.next_offset == chunk.covers_offset:
            self.newest = state
