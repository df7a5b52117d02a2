"""What the end of one of two runs of a task means for the task."""

from waxwingford.scheduling._backend_client import EndKind
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._specs import MILLI_PER_CORE
from waxwingford.scheduling._state import Run, Step, Task


def keep_checkpoint(task: Task, run: Run, checkpoint: str) -> None:
    """Keep a checkpoint to resume from, unless that of another run is newer.

    A single run started from the task's checkpoint, so its own is newer. Of two
    runs, the one that began later or is slower may have saved less. The checkpoint
    that a run started from is never newer than the task's.

    :param run: run that has written the checkpoint, or has started from it.
    :param checkpoint: checkpoint, empty for none.
    """
    if not checkpoint:
        return
    percent = run.percent if run.listed_ms else None
    if checkpoint == task.checkpoint:
        # A new owner doesn't know when it was written, at this progress at most.
        if task.saved_percent is None:
            task.saved_percent = percent
        return
    if checkpoint == run.resumed_from:
        return
    if task.copied and _is_older(percent, task):
        return
    task.checkpoint = checkpoint
    task.saved_percent = percent


def _is_older(percent: float | None, task: Task) -> bool:
    """Whether a checkpoint at this progress is older than the task's."""
    if not task.checkpoint:
        return False
    # Unknown progress of a run counts as less than any that is known.
    return (percent or 0) < (task.saved_percent or 0)


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
            core_ms=run_ms * step.spec.needs.processors_milli // MILLI_PER_CORE,
        )
