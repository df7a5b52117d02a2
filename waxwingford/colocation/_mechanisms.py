"""Parts of the learned policy that can be disabled for ablation studies."""

from typing import NamedTuple


class Mechanisms(NamedTuple):
    """Enabled parts of the learned policy; all are enabled in production.

    :ivar shrinkage: start the estimate of an unseen pair from those of the same
        batch kind instead of a fixed prior.
    :ivar bands: learn interference separately for each load band.
    :ivar hysteresis: lift throttles at a lower threshold than they are set.
    :ivar throttle_first: throttle tasks before evicting any.
    :ivar victim_choice: choose victims by relief per CPU instead of by size.
    """

    shrinkage: bool = True
    bands: bool = True
    hysteresis: bool = True
    throttle_first: bool = True
    victim_choice: bool = True


ALL_MECHANISMS = Mechanisms()
