"""Life cycle of the scheduler daemon: start, readiness, graceful stop."""

import asyncio
import dataclasses
import functools
import gc
import importlib
import signal
from typing import TYPE_CHECKING

import logbook
import msgspec

from waxwingford import shard
from waxwingford.inbound import (
    Budget,
    BudgetReport,
    Listener,
    derive_job_bytes,
    derive_scheduler_shares,
)
from waxwingford.kernel import load_plugins
from waxwingford.metrics import Metrics
from waxwingford.relays import (
    LoadSample,
    Relay,
    RelayDemand,
    RelayingClient,
    RelayPool,
)
from waxwingford.scheduler._readiness import ReadinessServer
from waxwingford.scheduler._start_report import report_start
from waxwingford.scheduler._traffic_log import TrafficLog
from waxwingford.scheduling import Features, Terms
from waxwingford.settings import SchedulerSettings

if TYPE_CHECKING:
    from grpclib.server import Server

    from waxwingford.http_server import Request, Response
    from waxwingford.scheduler._explanations import PlacementExplanations

#: Modules, with their libraries, that a daemon needs to own the shard and to answer
#: other daemons. They are imported while it serves callers.
OWNER_MODULES = ('waxwingford.shard._owner', 'waxwingford.shard._peers')

#: Module that explains placements, which is imported with the first question.
EXPLANATIONS_MODULE = 'waxwingford.scheduler._explanations'
#: Duration of a lease as a fraction of the maximum that servers grant, so that
#: servers never shorten it.
LEASE_FRACTION = 5 / 6
#: Maximum duration of a lease, in ms: covers a change of owner and some polls.
#: Tasks of a failed server are not restarted until its lease has expired.
MAX_LEASE_MS = 5000
#: Evacuated domains that are named in a log line, whose length is limited.
MAX_NAMED_DOMAINS = 15
#: Time without a response of the store after which the daemon reports that it
#: is not ready, in seconds.
STORE_LOST_AFTER_S = 1.5
#: Time for which requests are still accepted after a stop signal, in seconds:
#: the load balancer probes readiness each second and needs two failed probes.
STOP_DELAY_S = 2.6
#: Maximum of that time as a fraction of the grace period.
GRACE_FRACTION = 0.75

_log = logbook.Logger('daemon')


def import_owner_modules() -> None:
    """Import what a daemon needs to own the shard, with its libraries."""
    for module in OWNER_MODULES:
        importlib.import_module(module)


class SchedulerDaemon:
    """A daemon: API for clients, membership in the shard, readiness."""

    def __init__(self, settings: SchedulerSettings) -> None:
        """Assemble the daemon; nothing is started yet."""
        load_plugins([settings.store.adapter])
        open_platform = shard.scheduler_platforms.get(settings.store.adapter)
        self._settings = settings
        self._platform = open_platform(
            settings.store.address, settings.store.advice_address or ''
        )
        self._observer = shard.Observer(Metrics())
        self._budget = Budget(
            derive_scheduler_shares(settings.vm.memory_mb, settings.vm.max_fds)
        )
        accounts = self._budget.account_by_listener
        self._can_own = asyncio.Event()
        self._queries: Server | None = None
        self._member = shard.ShardMember(
            settings.identity.daemon_id,
            settings.identity.failure_domain,
            self._platform.log,
            self._make_owner,
            self._observer,
            settings.vm.cores,
            self._can_own,
        )
        self._link = shard.OwnerLink()
        self._relays = RelayPool(account=accounts[Listener.relays])
        self._relaying_client = RelayingClient(
            self._platform.backend_client,
            self._relays,
            RelayDemand(settings.vm.link_mbps, self._sample_load),
        )
        self._relay = Relay(
            settings.identity.daemon_id,
            self._platform.backend_client,
            self._relay_endpoint,
        )
        self._frontend = shard.ShardFrontend(
            self._platform.log, self._member, self._link, self._observer
        )
        self._readiness = ReadinessServer(
            self.not_ready_reason,
            self._observer.metrics.render,
            self._explain,
            accounts[Listener.operators],
        )
        self._explanations: 'PlacementExplanations | None' = None
        self._stopping = asyncio.Event()
        self._last_read_s: float = 0
        self._store_lost = False

    async def run(self) -> None:
        """Run until SIGTERM, SIGINT or the failure of a background task."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._log_reload)
        listen = self._settings.listen
        await self._readiness.serve(listen.readiness)
        if listen.metrics_port:
            await self._readiness.serve(f'{listen.host}:{listen.metrics_port}')
        accounts = self._budget.account_by_listener
        await self._platform.serve(
            self._frontend, listen.callers, accounts[Listener.callers]
        )
        if listen.relays_port:
            await self._relays.serve(listen.host, listen.relays_port)
        preparation = asyncio.create_task(self._prepare_to_own())
        preparation.add_done_callback(self._on_prepared)
        supervisor = self._run_parts()
        await self._stopping.wait()
        await self._stop(supervisor)
        preparation.cancel()

    def _run_parts(self) -> shard.Supervisor:
        """Start what runs until the daemon stops."""
        metrics = self._observer.metrics
        supervisor = shard.Supervisor(shard.ErrorReport(metrics), self._give_up)
        start_by_part = {
            'configuration': functools.partial(
                self._platform.follow_configuration,
                self.apply_terms,
                self.record_failed_read,
            ),
            'membership': self._member.stand_by,
            'relay pool': self._relays.run,
            'relay': self._relay.run,
            'start report': functools.partial(
                report_start, metrics, self._settings.store.address
            ),
            'budget report': BudgetReport(
                self._budget, metrics, self._observer.record_event
            ).run,
            'traffic log': TrafficLog(self._count_traffic, self._observer).run,
        }
        for part, start in start_by_part.items():
            supervisor.spawn(part, start)
        return supervisor

    async def _prepare_to_own(self) -> None:
        """Import what an owner needs, and answer other daemons."""
        await asyncio.to_thread(import_owner_modules)
        # Modules are never freed, see ``main``.
        gc.freeze()
        self._can_own.set()
        listen = self._settings.listen
        self._queries = await shard.serve_queries(
            self._frontend,
            listen.host,
            listen.peers_port,
            self._budget.account_by_listener[Listener.peers],
        )

    def _on_prepared(self, task: asyncio.Task[None]) -> None:
        # Without this part the daemon never serves; the platform restarts it.
        if task.cancelled() or task.exception() is None:
            return
        _log.error('part of the daemon failed', exc_info=task.exception())
        self._stopping.set()

    def _give_up(self, part: str) -> None:
        _log.error('part of the daemon goes on failing', extra={'part': part})
        self._stopping.set()

    async def _stop(self, supervisor: shard.Supervisor) -> None:
        _log.info('stopping')
        self._platform.start_draining()
        self._relay.leave()
        await self._member.resign()
        grace_s = self._settings.bounds.stop_grace_s
        await asyncio.sleep(min(STOP_DELAY_S, grace_s * GRACE_FRACTION))
        await self._platform.close()
        supervisor.cancel()
        self._member.close()
        self._link.close()
        self._relay.close()
        self._relays.close()
        await self._readiness.close()
        if self._queries is not None:
            self._queries.close()
        _log.info('stopped')

    def _log_reload(self) -> None:
        # Everything that can change at run time is stored in the store.
        _log.info('settings kept: they are read at the start only')

    def apply_terms(self, terms: Terms) -> None:
        """Apply a configuration and record that the store has responded."""
        self._last_read_s = asyncio.get_running_loop().time()
        if self._store_lost:
            self._store_lost = False
            _log.info('store regained', extra={'version': terms.version})
        former = self._member.terms
        if terms.supersedes(former):
            self._member.configure(terms)
        if terms.evacuated_domains != former.evacuated_domains:
            domains = sorted(terms.evacuated_domains)
            self._observer.record_event(
                'domains.evacuated',
                domains=domains[:MAX_NAMED_DOMAINS],
                count=len(domains),
            )
            self._observer.metrics.gauge('evacuated_domains', len(domains))

    def record_failed_read(self) -> None:
        """Record that a read of the configuration has failed."""
        elapsed_s = asyncio.get_running_loop().time() - self._last_read_s
        if elapsed_s > STORE_LOST_AFTER_S and not self._store_lost:
            self._store_lost = True
            _log.warning('store lost', extra={'for_s': round(elapsed_s, 1)})

    def not_ready_reason(self) -> str:
        """Return the reason why the daemon is not ready for requests.

        :returns: the reason, empty if the daemon is ready.
        """
        if self._stopping.is_set():
            return 'stopping'
        if not self._member.terms.version:
            return 'no configuration yet'
        if self._store_lost:
            return 'the store does not answer'
        if not self._member.knows_owner:
            return 'the shard has no owner yet'
        return ''

    async def _explain(self, request: 'Request') -> 'Response':
        """Answer where a job would go now."""
        if self._explanations is None:
            # Most daemons are never asked, and a start is to import little.
            explanations = await asyncio.to_thread(
                importlib.import_module, EXPLANATIONS_MODULE
            )
            self._explanations = (
                self._explanations
                or explanations.PlacementExplanations(
                    self._settings.identity.daemon_id,
                    self._member,
                    self._observer.metrics,
                )
            )
        return self._explanations.answer(request)

    def _count_traffic(self) -> dict[str, shard.CallTraffic]:
        to_relays = self._relays.traffic
        to_owner = self._relay.traffic
        return {
            **self._platform.traffic_by_call,
            'relays': shard.CallTraffic(*dataclasses.astuple(to_relays)),
            'owner': shard.CallTraffic(*dataclasses.astuple(to_owner)),
        }

    def _sample_load(self) -> LoadSample:
        sent_bytes = sum(
            traffic.sent_bytes for traffic in self._count_traffic().values()
        )
        owner = self._member.owner
        lag_s = 0 if owner is None else owner.lateness.loop_lag.mean_s
        return LoadSample(sent_bytes, self._relaying_client.spared_bytes, lag_s)

    def _relay_endpoint(self) -> str:
        record = self._member.owner_record
        if self._member.owner is not None or record is None:
            return ''
        return '' if record.resigned else record.relay_endpoint

    def _make_owner(self, terms: Terms) -> 'shard.Owner':
        settings = self._settings
        listen = settings.listen
        owner_settings = shard.OwnerSettings(
            settings.identity.daemon_id,
            settings.identity.failure_domain,
            f'{listen.host}:{listen.peers_port}',
            min(
                MAX_LEASE_MS,
                int(settings.bounds.longest_lease_ms * LEASE_FRACTION),
            ),
            settings.vm.cores,
            settings.bounds.longest_lease_ms,
            relay_endpoint=(
                f'{listen.host}:{listen.relays_port}'
                if listen.relays_port
                else ''
            ),
            metrics_endpoint=(
                f'{listen.host}:{listen.metrics_port}'
                if listen.metrics_port
                else ''
            ),
            features=Features(
                **msgspec.structs.asdict(settings.scheduling),
                notice_ms=settings.bounds.notice_ms,
            ),
            max_job_bytes=derive_job_bytes(settings.vm.memory_mb),
        )
        ports = shard.OwnerPorts(
            self._platform.log,
            self._relaying_client,
            self._platform,
            self._platform.advice_client,
            self._observer,
        )
        return shard.Owner(owner_settings, ports, terms)
