"""What the stand-in processes share: sites, signals, orphan watch."""

import asyncio
import contextlib
import os
import signal
from collections.abc import Awaitable, Callable

from aiohttp import web

_PARENT_CHECK_S = 1
_SHUTDOWN_TIMEOUT_S = 0.2


async def start_site(
    app: web.Application, host: str, port: int
) -> web.AppRunner:
    """Serve an application.

    :param app: its routes.
    :param host: IP number.
    :param port: TCP port.
    :returns: runner; clean it up to stop.
    """
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    await web.TCPSite(runner, host, port, reuse_address=True).start()
    return runner


async def _wait_for_parent_exit(parent: int) -> None:
    """Return once the parent is gone.

    A launcher killed without warning would leave its stand-ins running; one
    would notice busy ports at the next start.

    :param parent: process id of the launcher.
    """
    while os.getppid() == parent:
        await asyncio.sleep(_PARENT_CHECK_S)


async def _wait_for_stop() -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    watch = asyncio.ensure_future(_wait_for_parent_exit(os.getppid()))
    waiting = asyncio.ensure_future(stop.wait())
    await asyncio.wait((watch, waiting), return_when=asyncio.FIRST_COMPLETED)
    watch.cancel()
    waiting.cancel()


def run_process(
    open_parts: Callable[[contextlib.AsyncExitStack], Awaitable[None]],
) -> None:
    """Run a stand-in until a signal comes or its parent is gone.

    :param open_parts: starts everything and leaves its clean-up on the stack.
    """

    async def _run() -> None:
        async with contextlib.AsyncExitStack() as stack:
            await open_parts(stack)
            await _wait_for_stop()

    asyncio.run(_run())
