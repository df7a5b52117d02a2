"""HTTP entry of a daemon: services for callers, jobs for operators."""

from waxwingford.entry._job_desk import JobDesk, OperatorCheck
from waxwingford.entry._jobs import JobEntry, job_routes
from waxwingford.entry._limits import EntryLimits
from waxwingford.entry._services import Desk, ServiceEntry, service_routes
from waxwingford.entry._site import HttpSite

__all__ = (
    'Desk',
    'EntryLimits',
    'HttpSite',
    'JobDesk',
    'JobEntry',
    'OperatorCheck',
    'ServiceEntry',
    'job_routes',
    'service_routes',
)
