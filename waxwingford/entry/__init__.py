"""HTTP interface of a daemon: services for callers, jobs for operators."""

from waxwingford.entry._bodies import (
    BodyMemoryExhausted,
    BodyReader,
    InvalidBody,
)
from waxwingford.entry._job_service import JobService, SignatureVerifier
from waxwingford.entry._jobs import JobRoutesConfig, job_routes
from waxwingford.entry._limits import HttpLimits
from waxwingford.entry._services import (
    Dispatcher,
    ServiceRoutesConfig,
    service_routes,
)
from waxwingford.entry._site import HttpServer

__all__ = (
    'BodyMemoryExhausted',
    'BodyReader',
    'Dispatcher',
    'HttpLimits',
    'HttpServer',
    'InvalidBody',
    'JobService',
    'JobRoutesConfig',
    'SignatureVerifier',
    'ServiceRoutesConfig',
    'job_routes',
    'service_routes',
)
