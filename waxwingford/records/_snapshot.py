"""Snapshots of a failure domain's state, written as checksummed chunks.

The encoding is deterministic, so daemons that write the same snapshot
concurrently produce the same chunks.
"""

import zlib

import logbook
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

#: Maximum payload of a chunk; with its header it stays below 256 KiB.
MAX_CHUNK_PAYLOAD_BYTES = 240_000
_COMPRESSION_LEVEL = 1
#: Incomplete snapshots kept during assembly; the oldest is dropped beyond it.
_MAX_PARTIAL_SNAPSHOTS = 4
#: Maximum decompressed size of a snapshot; guards against corrupt input.
_MAX_UNPACKED_BYTES = 256_000_000


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


class _SnapshotBody(msgspec.Struct, array_like=True):
    next_offset: int
    snapshot_offset: int
    jobs: list[_JobRow]
    finished: list[_FinishedRow]
    tombstones: list[int]
    failing_by_server: dict[str, int]
    writers: list[tuple[str, int]]


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the snapshot stream.

    :ivar covers_offset: first offset of the domain's stream that the snapshot
        does not cover.
    :ivar index: position of the chunk in the snapshot, from 0.
    :ivar total: number of chunks in the snapshot.
    :ivar digest: hexadecimal XXH3-128 digest of the compressed snapshot.
    :ivar payload: part of the compressed snapshot.
    """

    covers_offset: int
    index: int
    total: int
    digest: str
    payload: bytes


_log = logbook.Logger('records')
_encoder = msgspec.msgpack.Encoder()
_body_decoder = msgspec.msgpack.Decoder(_SnapshotBody)
_chunk_decoder = msgspec.msgpack.Decoder(SnapshotChunk)
_TASK_FIELDS = _TaskRow.__struct_fields__[2:]


def _task_row(index: int, task: TaskState) -> _TaskRow:
    return _TaskRow(
        index,
        int(task.stage),
        *(getattr(task, name) for name in _TASK_FIELDS),
    )


def _is_initial(task: TaskState) -> bool:
    return task.attempt == 0 and task.stage == TaskStage.pending


def _job_row(job: JobState) -> _JobRow:
    rows = [
        _task_row(index, task)
        for index, task in enumerate(job.tasks)
        if not _is_initial(task)
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


def _snapshot_body(state: DomainState) -> _SnapshotBody:
    jobs = sorted(
        state.jobs_by_id.values(),
        key=lambda job: job.accepted_offset,
    )
    return _SnapshotBody(
        state.next_offset,
        state.snapshot_offset,
        [_job_row(job) for job in jobs],
        [_finished_row(job) for job in state.finished.summary_by_id.values()],
        list(state.finished.tombstones),
        dict(sorted(state.failing_by_server.items())),
        list(state.sequence_by_writer.items()),
    )


def encode_snapshot(state: DomainState, covers_offset: int) -> list[bytes]:
    """Encode a state as snapshot chunks.

    :param covers_offset: next offset of the state.
    :returns: entries for the snapshot stream, each below 256 KiB.
    :raises ValueError: if ``covers_offset`` is not the state's next offset;
        a snapshot that covers more would skip records.
    """
    if covers_offset != state.next_offset:
        raise ValueError(
            f'next offset of the state is {state.next_offset}, '
            f'not {covers_offset}',
        )
    compressed = zlib.compress(
        _encoder.encode(_snapshot_body(state)), _COMPRESSION_LEVEL
    )
    digest = xxhash.xxh3_128_hexdigest(compressed)
    payloads = [
        compressed[start : start + MAX_CHUNK_PAYLOAD_BYTES]
        for start in range(0, len(compressed), MAX_CHUNK_PAYLOAD_BYTES)
    ]
    return [
        _encoder.encode(
            SnapshotChunk(covers_offset, index, len(payloads), digest, payload),
        )
        for index, payload in enumerate(payloads)
    ]


def restore(compressed: bytes) -> DomainState:
    """Decode a state from a snapshot.

    :param compressed: concatenated payloads of all chunks.
    :returns: the state, with all its pending tasks marked as newly pending.
    :raises ValueError: if the data is not a snapshot, or has values that this
        version doesn't know.
    :raises zlib.error: if the data cannot be decompressed.
    """
    decompressed = zlib.decompressobj().decompress(
        compressed, _MAX_UNPACKED_BYTES
    )
    body = _body_decoder.decode(decompressed)
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


def _restore_finished(body: _SnapshotBody) -> FinishedJobs:
    finished = FinishedJobs()
    finished.summary_by_id = {
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
    """Reassembles snapshots from chunks; discards incomplete or corrupt ones.

    Chunks of several snapshots may be interleaved in the stream.

    :ivar newest: state of the latest complete snapshot; None if there is none.
    """

    def __init__(self) -> None:
        self.newest: DomainState | None = None
        self._payloads_by_snapshot: dict[
            tuple[int, str, int], dict[int, bytes]
        ] = {}

    def add(self, payload: bytes) -> DomainState | None:
        """Process one entry of the snapshot stream.

        :param payload: encoded chunk; ignored if it cannot be decoded.
        :returns: state of the latest complete snapshot; None if there is none.
        """
        try:
            chunk = _chunk_decoder.decode(payload)
        except msgspec.DecodeError:
            return self.newest
        if self._is_relevant(chunk):
            self._collect(chunk)
        return self.newest

    def _is_relevant(self, chunk: SnapshotChunk) -> bool:
        is_newer = (
            self.newest is None or chunk.covers_offset > self.newest.next_offset
        )
        return is_newer and 0 <= chunk.index < chunk.total

    def _collect(self, chunk: SnapshotChunk) -> None:
        snapshot_key = (chunk.covers_offset, chunk.digest, chunk.total)
        payloads = self._payloads_by_snapshot.setdefault(snapshot_key, {})
        payloads[chunk.index] = chunk.payload
        if len(payloads) == chunk.total:
            self._payloads_by_snapshot.pop(snapshot_key)
            self._finish(chunk, payloads)
        if len(self._payloads_by_snapshot) > _MAX_PARTIAL_SNAPSHOTS:
            self._payloads_by_snapshot.pop(min(self._payloads_by_snapshot))

    def _finish(self, chunk: SnapshotChunk, payloads: dict[int, bytes]) -> None:
        compressed = b''.join(payloads[index] for index in range(chunk.total))
        if xxhash.xxh3_128_hexdigest(compressed) != chunk.digest:
            return
        try:
            state = restore(compressed)
        except (zlib.error, IndexError, ValueError) as error:
            # A later version may write stages that this one doesn't know.
            _log.warning(
                'snapshot not read',
                extra={'covers': chunk.covers_offset, 'reason': str(error)},
            )
            return
        if state.next_offset == chunk.covers_offset:
            self.newest = state
