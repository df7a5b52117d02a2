"""Budget for what clients and other daemons make a process hold."""

from waxwingford.inbound._account import (
    UNLIMITED,
    Account,
    Activity,
    Holder,
    Reservation,
    Share,
)
from waxwingford.inbound._budget import (
    Budget,
    BudgetReport,
    Listener,
    derive_entry_shares,
    derive_job_bytes,
    derive_scheduler_shares,
)

__all__ = (
    'UNLIMITED',
    'Account',
    'Activity',
    'Budget',
    'BudgetReport',
    'Holder',
    'Listener',
    'Reservation',
    'Share',
    'derive_entry_shares',
    'derive_job_bytes',
    'derive_scheduler_shares',
)
