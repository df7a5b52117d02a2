"""HTTP serving and process lifetime of the stand-in processes."""

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
    """Start serving a web application.

    :param host: IP address to listen on.
    :param port: TCP port to listen on.
    :returns: runner, whose ``cleanup`` stops serving.
    """
    runner = web.AppRunner(
        app, access_log=None, shutdown_timeout=_SHUTDOWN_TIMEOUT_S
    )
    await runner.setup()
    await web.TCPSite(runner, host, port, reuse_address=True).start()
    return runner


async def _wait_for_parent_exit(parent: int) -> None:
    """Wait until the parent process has exited.

    Keeps stand-ins from outliving a launcher that was killed.

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
    """Run a stand-in until a stop signal or the exit of its parent.

    :param open_parts: starts the services and pushes their clean-up on the
        stack.
    """

    async def _run() -> None:
        async with contextlib.AsyncExitStack() as stack:
            await open_parts(stack)
            await _wait_for_stop()

    asyncio.run(_run())
