"""Control leases of daemons on backend servers, and their distribution."""

from waxwingford.ownership._lease import ControlLease, LeaseState
from waxwingford.ownership._preference import OwnershipTimes, Preference
from waxwingford.ownership._ranking import rank_daemons, rank_of, shared_out

__all__ = (
    'ControlLease',
    'LeaseState',
    'OwnershipTimes',
    'Preference',
    'rank_daemons',
    'rank_of',
    'shared_out',
)
