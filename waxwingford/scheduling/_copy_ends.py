"""What the end of one of two runs of a task means for the task."""

from waxwingford.scheduling._backend_client import EndKind
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Run, Step, Task

#: Thousandths of a core in a core.
_MILLI = 1000


def keep_checkpoint(task: Task, run: Run, checkpoint: str) -> None:
    """Keep a checkpoint to resume from, unless that of another run is newer.

    A single run started from the task's checkpoint, so its own is newer. Of two
    runs, the one that began later or is slower may have saved less.

    :param run: run that has written the checkpoint, or has started from it.
    """
    if checkpoint == task.checkpoint:
        # A new owner doesn't know when it was written, at this progress at most.
        task.saved_percent = task.saved_percent or run.percent
        return
    if task.copied and run.percent < task.saved_percent:
        return
    task.checkpoint = checkpoint
    task.saved_percent = run.percent


def note_copy_end(
    state: ShardState,
    found: tuple[Task, Step],
    run: Run,
    kind: EndKind | None,
    now_ms: int,
) -> None:
    """Note which run of a copied task has won, and what the others have cost.

    :param found: task and step of the run.
    :param kind: how it ended, ``None`` if that isn't known.
    :param now_ms: current monotonic time, in ms.
    """
    task, step = found
    if not task.copied:
        return
    if kind is EndKind.done and not task.done:
        state.notes.add(
            'copy.won',
            task.key,
            run=run.key.run,
            copy=run.copy,
            server=run.server_id,
            for_ms=now_ms - run.planned_ms,
        )
        return
    if task.done or task.run_by_number:
        began = kind is not None or run.accepted
        run_ms = now_ms - run.planned_ms if began else 0
        state.notes.add(
            'copy.wasted',
            task.key,
            run=run.key.run,
            copy=run.copy,
            server=run.server_id,
            how='absent' if kind is None else kind.value,
            core_ms=run_ms * step.spec.needs.processors_milli // _MILLI,
        )
