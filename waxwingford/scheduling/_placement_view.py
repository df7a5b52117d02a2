"""What explanations of placements read of an engine."""

from typing import NamedTuple

from waxwingford.scheduling._interference import InterferenceModel
from waxwingford.scheduling._isolation import Isolation
from waxwingford.scheduling._reservations import Reservations
from waxwingford.scheduling._shard_state import ShardState


class PlacementView(NamedTuple):
    """State on which placement decides; readers must not change it.

    :ivar reservations: reservations of the latest placement round.
    """

    state: ShardState
    model: InterferenceModel
    reservations: Reservations
    isolation: Isolation
