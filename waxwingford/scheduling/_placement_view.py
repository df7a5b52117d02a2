"""What explanations of placements read of an engine."""

from collections.abc import Callable
from typing import NamedTuple

from waxwingford.ports import Resources
from waxwingford.scheduling._interference import InterferenceModel
from waxwingford.scheduling._isolation import Isolation
from waxwingford.scheduling._reservations import Reservations
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Step


class RoomPreview(NamedTuple):
    """What placement reads of reserved room, with caches of its own.

    :ivar room_of: returns, for a step and a monotonic time in ms, the function that
        returns what a task may use of a server.
    """

    room_of: Callable[[Step, int], Callable[[Server], Resources]]


class PlacementView(NamedTuple):
    """State on which placement decides; readers must not change it.

    :ivar reservations: reservations of the latest placement round.
    :ivar preview_room: copies what placement reads of reserved room.
    """

    state: ShardState
    model: InterferenceModel
    reservations: Reservations
    isolation: Isolation
    preview_room: Callable[[], RoomPreview]
