"""Reports the code that a daemon runs, in its log and its metrics."""

import asyncio

import logbook

from waxwingford import __version__
from waxwingford.build_info import (
    BuildInfo,
    find_differing_sources,
    read_build_info,
)
from waxwingford.metrics import Metrics

_log = logbook.Logger('daemon')


async def report_start(metrics: Metrics, store_address: str) -> None:
    """Log the start, set ``build_info``, and warn of other sources beside it.

    :param store_address: address of the store, for the log.
    """
    try:
        build, sources = await asyncio.to_thread(_read_builds)
    except OSError as error:
        _log.warning('source files not read', extra={'reason': str(error)})
        build, sources = BuildInfo(__version__, 'unknown'), None
    _log.info('started', extra={'store': store_address, **build._asdict()})
    metrics.gauge('build_info', 1, **build._asdict())
    if sources is not None:
        _log.warning(
            'sources differ from the installed package',
            extra={'installed': build.digest, 'sources': sources.digest},
        )


def _read_builds() -> tuple[BuildInfo, BuildInfo | None]:
    build = read_build_info()
    return build, find_differing_sources(build)
