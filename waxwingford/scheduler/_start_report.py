"""Reports the code that a daemon runs, in its log and its metrics."""

import asyncio

import logbook

from waxwingford import __version__
from waxwingford.build_info import (
    BuildInfo,
    find_differing_sources,
    read_build_info,
    recorded_build_info,
)
from waxwingford.metrics import Metrics

_log = logbook.Logger('daemon')

#: Time after the start before the sources beside the package are read, in seconds:
#: a shard that has lost its owner is taken over by then.
SOURCES_DELAY_S = 5
_UNKNOWN = BuildInfo(__version__, 'unknown')


async def report_start(metrics: Metrics, store_address: str) -> None:
    """Log the start, set ``build_info``, and warn of other sources beside it.

    :param store_address: address of the store, for the log.
    """
    build = await _find_build()
    _log.info('started', extra={'store': store_address, **build._asdict()})
    metrics.gauge('build_info', 1, **build._asdict())
    await asyncio.sleep(SOURCES_DELAY_S)
    try:
        sources = await asyncio.to_thread(find_differing_sources, build)
    except OSError as error:
        _log_unread(error)
        return
    if sources is not None:
        _log.warning(
            'sources differ from the installed package',
            extra={'installed': build.digest, 'sources': sources.digest},
        )


async def _find_build() -> BuildInfo:
    recorded = recorded_build_info()
    if recorded is not None:
        return recorded
    try:
        return await asyncio.to_thread(read_build_info)
    except OSError as error:
        _log_unread(error)
        return _UNKNOWN


def _log_unread(error: OSError) -> None:
    _log.warning('source files not read', extra={'reason': str(error)})
