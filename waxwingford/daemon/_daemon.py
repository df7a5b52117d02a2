"""The daemon: runs its parts, and stops them in an order that loses nothing."""

import asyncio
import signal
from collections.abc import Coroutine

from grpclib.server import Server
from logbook import Logger

from waxwingford.daemon._application import entry_limits, make_application
from waxwingford.daemon._feed import feed_routing
from waxwingford.daemon._heartbeats import BeatHooks, HeartbeatTask
from waxwingford.daemon._parts import Parts, own_address
from waxwingford.entry import HttpSite
from waxwingford.kernel import Invariant, on_broken
from waxwingford.peers import PeerService, beat_targets
from waxwingford.settings import Alpn, server_context

_MS_IN_S = 1000
#: Requests are still taken for this time after the daemon says that it is
#: not ready, so that the balancer can notice, in milliseconds.
_NOTICE_MS = 1500
EXIT_STOPPED = 0
#: A broken invariant or a fault in the program.
EXIT_FAULT = 70

_log = Logger('daemon')


class Daemon:
    """Owns the tasks of one process."""

    def __init__(self, parts: Parts) -> None:
        """Prepare; nothing runs yet.

        :param parts: made from settings.
        """
        self._parts = parts
        self._stop = asyncio.Event()
        self._hurry = asyncio.Event()
        self._exit_code = EXIT_STOPPED
        self._tasks: list[asyncio.Task[None]] = []
        self._site = HttpSite(
            make_application(parts, self.ask_stop),
            entry_limits(parts.settings),
        )
        self._heartbeats = self._make_heartbeats()
        self._rpc = Server(
            [
                PeerService(
                    parts.dispatcher,
                    parts.exchange,
                    parts.bundle_payloads,
                    parts.time_line,
                )
            ]
        )

    async def run(self) -> int:
        """Run until a planned stop or a fault.

        :returns: exit code of the process.
        """
        on_broken(self._on_broken)
        self._catch_signals()
        await self._start()
        await self._stop.wait()
        if self._exit_code == EXIT_STOPPED:
            await self._drain()
        await self._shut()
        return self._exit_code

    def ask_stop(self) -> None:
        """Begin a planned stop; asked twice, it no longer waits."""
        if self._stop.is_set():
            self._hurry.set()
        self._stop.set()

    async def _start(self) -> None:
        parts = self._parts
        listen = parts.settings.listen
        parts.time_line.note('daemon.started', self._subject())
        await self._rpc.start(
            listen.host,
            listen.rpc_port,
            ssl=server_context(parts.settings, Alpn.rpc),
        )
        await self._site.start(
            listen.host,
            listen.http_port,
            server_context(parts.settings, Alpn.http),
        )
        self._spawn(parts.reader.run())
        self._spawn(parts.batch.run())
        self._spawn(self._heartbeats.run())
        self._spawn(feed_routing(parts))
        parts.life.serve()
        _log.info('started')

    async def _drain(self) -> None:
        """Stop without cutting anything off.

        First the balancer and peers learn of it while requests are still
        taken; then requests in progress end; only then are the control leases
        given up, since a successor counts the slots of a server from zero.
        """
        parts = self._parts
        bounded_ms = parts.settings.limits.drain_ms
        parts.life.drain()
        parts.time_line.note('daemon.draining', self._subject())
        _log.info('draining')
        steps = asyncio.create_task(self._drain_steps(bounded_ms))
        hurried = asyncio.create_task(self._hurry.wait())
        await asyncio.wait(
            {steps, hurried}, return_when=asyncio.FIRST_COMPLETED
        )
        steps.cancel()
        hurried.cancel()

    async def _drain_steps(self, bounded_ms: int) -> None:
        parts = self._parts
        await asyncio.sleep(_NOTICE_MS / _MS_IN_S)
        drained = await parts.dispatcher.drain(bounded_ms)
        handed_over = await parts.batch.drain(bounded_ms)
        await self._heartbeats.tell_released()
        _log.info(
            'drained',
            extra={
                'requests': type(drained).__name__,
                'leases_handed_over': handed_over,
            },
        )

    async def _shut(self) -> None:
        self._parts.life.stop()
        await self._site.stop()
        self._rpc.close()
        await self._rpc.wait_closed()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._parts.links.close()
        await self._parts.platform.close()
        _log.info('stopped', extra={'exit_code': self._exit_code})

    def _make_heartbeats(self) -> HeartbeatTask:
        parts = self._parts
        targets = beat_targets(
            own_address(parts.settings), parts.settings.peers
        )
        return HeartbeatTask(
            links=parts.links,
            membership=parts.membership,
            targets=targets,
            clock=parts.clock,
            hooks=BeatHooks(
                own_beat=parts.own_beat,
                on_beat=parts.take_beat,
                on_round=parts.spread_membership,
                take_released=parts.batch.take_released,
            ),
        )

    def _catch_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.ask_stop)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._on_ended)
        self._tasks.append(task)

    def _on_ended(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        _log.error('task ended', extra={'task': str(error)}, exc_info=error)
        self._exit_code = EXIT_FAULT
        self._stop.set()

    def _on_broken(self, invariant: Invariant, detail: str) -> None:
        self._parts.time_line.note(
            f'invariant.{invariant.name}', self._subject(), detail
        )
        _log.critical(
            'invariant broken',
            extra={'invariant': invariant.name, 'detail': detail},
        )
        self._exit_code = EXIT_FAULT
        self._stop.set()

    def _subject(self) -> str:
        return f'daemon:{self._parts.settings.identity.daemon_id}'
