"""Checkpoints that the members of a gang share."""

from collections.abc import Callable

from waxwingford.scheduling._state import Step


class SharedCheckpoints:
    """Checkpoints that are still to be given to all members of their gangs.

    The members of a gang end one after the other, and each may have saved. So they get
    a checkpoint together, before the next placement or batch.
    """

    def __init__(self) -> None:
        self._gang_by_name: dict[str, Step] = {}

    def share(self, step: Step, checkpoint: str) -> None:
        """Have all members resume from the checkpoint of one of them."""
        step.checkpoint_to_share = checkpoint
        self._gang_by_name[step.name] = step

    def apply(self, mark: Callable[[Step], None]) -> None:
        """Give the members the latest checkpoints of their gangs.

        :param mark: has all rows of a step stored.
        """
        for step in self._gang_by_name.values():
            for task in step.tasks:
                task.checkpoint = step.checkpoint_to_share or ''
            step.checkpoint_to_share = None
            mark(step)
        self._gang_by_name.clear()


__all__ = ('SharedCheckpoints',)
