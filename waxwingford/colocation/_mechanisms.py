"""Parts of the learned policy that the benchmark switches off one by one."""

from typing import NamedTuple


class Mechanisms(NamedTuple):
    """Which parts are in use; all of them outside the benchmark.

    :ivar attribution: a sample is learned against what ran when it was taken,
        and trusted less when that changed; else against what runs now.
    :ivar shrinkage: pairs that were hardly seen are taken to be as their kind.
    :ivar bands: interference is learned by band of load.
    :ivar cool_down: no second reaction before a sample shows the first one,
        and a gap between throttling and lifting.
    :ivar throttle_first: throttle before evicting.
    :ivar victim_choice: most relief for the work lost; else the largest task.
    :ivar exploration: kinds hardly known are tried where there is slack.
    :ivar locality: prefer the server with the task's checkpoint.
    :ivar rack_spread: prefer racks without tasks of the same job.
    :ivar fragmentation: prefer servers where little room is left unused.
    """

    attribution: bool = True
    shrinkage: bool = True
    bands: bool = True
    cool_down: bool = True
    throttle_first: bool = True
    victim_choice: bool = True
    exploration: bool = True
    locality: bool = True
    rack_spread: bool = True
    fragmentation: bool = True


ALL = Mechanisms()
