"""Parts of the learned policy that the benchmark switches off one by one."""

from typing import NamedTuple


class Mechanisms(NamedTuple):
    """Which parts are in use; all of them outside the benchmark.

    :ivar shrinkage: pairs that were hardly seen are taken to be as their kind.
    :ivar bands: interference is learned by band of load.
    :ivar hysteresis: a gap between throttling and lifting.
    :ivar throttle_first: throttle before evicting.
    :ivar victim_choice: most relief for the work lost; else the largest task.
    """

    shrinkage: bool = True
    bands: bool = True
    hysteresis: bool = True
    throttle_first: bool = True
    victim_choice: bool = True


ALL = Mechanisms()
