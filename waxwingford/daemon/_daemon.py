"""Start, drain and shutdown of the daemon's tasks and servers."""

import asyncio
import signal
from collections.abc import Coroutine

from logbook import Logger

from waxwingford.daemon._application import entry_limits, make_application
from waxwingford.daemon._components import Components, own_address
from waxwingford.daemon._heartbeats import HeartbeatHooks, HeartbeatTask
from waxwingford.daemon._load_sync import sync_batch_and_dispatcher
from waxwingford.entry import HttpServer
from waxwingford.inbound import BudgetReport, Listener
from waxwingford.inbound.grpc_server import BoundedServer
from waxwingford.kernel import Invariant, add_violation_listener
from waxwingford.peers import PeerService, choose_heartbeat_targets
from waxwingford.settings import Alpn, server_context

_MS_IN_S = 1000
#: Time in milliseconds for which requests are still accepted after a drain
#: starts, until the balancer has seen that the daemon is not ready.
_DRAIN_NOTICE_MS = 1500
EXIT_STOPPED = 0
#: Exit code after an invariant violation or an internal error.
EXIT_FAULT = 70

_log = Logger('daemon')


class Daemon:
    """Runs the tasks and servers of one daemon process."""

    def __init__(self, components: Components) -> None:
        """Create the servers and the heartbeat task without starting them."""
        self._components = components
        self._stop_requested = asyncio.Event()
        self._immediate_stop_requested = asyncio.Event()
        self._exit_code = EXIT_STOPPED
        self._tasks: list[asyncio.Task[None]] = []
        self._site = HttpServer(
            make_application(components, self.request_stop),
            entry_limits(components.settings),
            components.budget.account_by_listener[Listener.callers],
        )
        self._heartbeats = self._make_heartbeats()
        self._rpc = BoundedServer(
            [
                PeerService(
                    components.dispatcher,
                    components.exchange_heartbeats,
                    components.bundle_payloads,
                    components.timeline,
                )
            ],
            components.budget.account_by_listener[Listener.peers],
            server_context(components.settings, Alpn.rpc),
        )

    async def run(self) -> int:
        """Run until a planned stop or an internal error.

        :returns: exit code of the process.
        """
        add_violation_listener(self._on_invariant_violation)
        self._add_signal_handlers()
        await self._start()
        await self._stop_requested.wait()
        if self._exit_code == EXIT_STOPPED:
            await self._drain()
        await self._shut_down()
        return self._exit_code

    def request_stop(self) -> None:
        """Start a planned stop; a second call skips the drain."""
        if self._stop_requested.is_set():
            self._immediate_stop_requested.set()
        self._stop_requested.set()

    async def _start(self) -> None:
        components = self._components
        listen = components.settings.listen
        components.timeline.note('daemon.started', self._event_subject())
        await self._rpc.start(listen.host, listen.rpc_port)
        await self._site.start(
            listen.host,
            listen.http_port,
            server_context(components.settings, Alpn.http),
        )
        self._spawn(components.reader.run())
        self._spawn(components.batch.run())
        self._spawn(self._heartbeats.run())
        self._spawn(sync_batch_and_dispatcher(components))
        report = BudgetReport(components.budget, components.metrics, _log_event)
        self._spawn(report.run())
        components.lifecycle.serve()
        _log.info('started')

    async def _drain(self) -> None:
        """Drain requests and hand over control leases.

        Leases are released only after all requests in progress have ended,
        since the next holder assumes that all slots of a server are free.
        """
        components = self._components
        timeout_ms = components.settings.limits.drain_ms
        components.lifecycle.drain()
        components.timeline.note('daemon.draining', self._event_subject())
        _log.info('draining')
        steps = asyncio.create_task(self._drain_steps(timeout_ms))
        immediate_stop = asyncio.create_task(
            self._immediate_stop_requested.wait()
        )
        await asyncio.wait(
            {steps, immediate_stop}, return_when=asyncio.FIRST_COMPLETED
        )
        steps.cancel()
        immediate_stop.cancel()

    async def _drain_steps(self, timeout_ms: int) -> None:
        components = self._components
        await asyncio.sleep(_DRAIN_NOTICE_MS / _MS_IN_S)
        drained = await components.dispatcher.drain(timeout_ms)
        handed_over = await components.batch.drain(timeout_ms)
        await self._heartbeats.announce_released()
        _log.info(
            'drained',
            extra={
                'requests': type(drained).__name__,
                'leases_handed_over': handed_over,
            },
        )

    async def _shut_down(self) -> None:
        self._components.lifecycle.stop()
        await self._site.stop()
        self._rpc.close()
        await self._rpc.wait_closed()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._components.links.close()
        await self._components.platform.close()
        _log.info('stopped', extra={'exit_code': self._exit_code})

    def _make_heartbeats(self) -> HeartbeatTask:
        components = self._components
        targets = choose_heartbeat_targets(
            own_address(components.settings), components.settings.peers
        )
        return HeartbeatTask(
            links=components.links,
            membership=components.membership,
            targets=targets,
            clock=components.clock,
            hooks=HeartbeatHooks(
                own_heartbeat=components.own_heartbeat,
                on_heartbeat=components.handle_heartbeat,
                on_round=components.publish_peer_views,
                pop_released_servers=components.batch.pop_released_servers,
            ),
        )

    def _add_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.request_stop)

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._on_task_done)
        self._tasks.append(task)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        if task.cancelled():
            return
        error = task.exception()
        _log.error('task ended', extra={'task': str(error)}, exc_info=error)
        self._exit_code = EXIT_FAULT
        self._stop_requested.set()

    def _on_invariant_violation(
        self, invariant: Invariant, detail: str
    ) -> None:
        self._components.timeline.note(
            f'invariant.{invariant.name}', self._event_subject(), detail
        )
        _log.critical(
            'invariant broken',
            extra={'invariant': invariant.name, 'detail': detail},
        )
        self._exit_code = EXIT_FAULT
        self._stop_requested.set()

    def _event_subject(self) -> str:
        return f'daemon:{self._components.settings.identity.daemon_id}'


def _log_event(event: str, **fields: object) -> None:
    _log.info(event, extra=fields)
