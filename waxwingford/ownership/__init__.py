"""Control leases of daemons on backend servers, and their distribution."""

from waxwingford.ownership._acquisition_schedule import (
    AcquisitionDelays,
    AcquisitionSchedule,
)
from waxwingford.ownership._lease import ControlLease, LeaseState
from waxwingford.ownership._ranking import rank_daemons, rank_of, shared_out

__all__ = (
    'ControlLease',
    'LeaseState',
    'AcquisitionDelays',
    'AcquisitionSchedule',
    'rank_daemons',
    'rank_of',
    'shared_out',
)
