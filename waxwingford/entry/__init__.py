"""HTTP interface of a daemon: services for callers, jobs for operators."""

from waxwingford.entry._job_service import JobService, OperatorCheck
from waxwingford.entry._jobs import JobEntry, job_routes
from waxwingford.entry._limits import EntryLimits
from waxwingford.entry._services import Dispatcher, ServiceEntry, service_routes
from waxwingford.entry._site import HttpSite

__all__ = (
    'Dispatcher',
    'EntryLimits',
    'HttpSite',
    'JobService',
    'JobEntry',
    'OperatorCheck',
    'ServiceEntry',
    'job_routes',
    'service_routes',
)
