"""Construction of the components of a daemon from its settings."""

import random
import secrets

from waxwingford.adapters import open_platform
from waxwingford.batch import BatchSettings, BatchTask
from waxwingford.bundles import (
    BundleInForce,
    BundleReader,
    NonceCache,
    ReaderDependencies,
)
from waxwingford.daemon._bundle_settings import bundle_settings, service_limits
from waxwingford.daemon._components import Components, own_address
from waxwingford.daemon._logging import log_event
from waxwingford.daemon._readiness import make_lifecycle
from waxwingford.inbound import Budget, derive_entry_shares
from waxwingford.kernel import SystemClock, load_plugins
from waxwingford.metrics import Metrics
from waxwingford.peers import Membership, PeerClients
from waxwingford.routing import DispatchLimits, DispatchPorts, RequestDispatcher
from waxwingford.settings import Alpn, Settings, client_context
from waxwingford.timeline import Timeline

#: Modules that register plug-ins when imported.
PLUGINS = (
    'waxwingford.adapters',
    'waxwingford.batch',
    'waxwingford.colocation',
)
_INCARNATION_BYTES = 4
#: Number of signed requests remembered for replay protection.
_NONCE_CACHE_CAPACITY = 20_000


def make_components(settings: Settings) -> Components:
    """Create and connect all components without starting them.

    :param settings: validated settings.
    """
    load_plugins(PLUGINS)
    incarnation = secrets.token_hex(_INCARNATION_BYTES)
    clock = SystemClock()
    identity = settings.identity
    timeline = Timeline(
        identity.daemon_id,
        incarnation,
        clock,
        settings.limits.time_line_events,
        on_event=log_event,
    )
    metrics = Metrics()
    platform = open_platform(
        settings.platform.log_url,
        settings.platform.directory_url,
        settings.platform.log_timeout_ms,
    )
    links = PeerClients(
        identity.daemon_id,
        settings.peers,
        clock,
        timeline,
        client_context(settings, Alpn.rpc),
    )
    batch = BatchTask(
        settings=_batch_settings(settings, incarnation),
        log=platform.log,
        servers=platform.servers,
        directory=platform.directory,
        clock=clock,
        timeline=timeline,
    )
    dispatcher = RequestDispatcher(
        daemon_id=identity.daemon_id,
        failure_domain=identity.failure_domain,
        ports=DispatchPorts(platform.servers, links, clock, timeline, metrics),
        rng=random.Random(incarnation),
        limits=DispatchLimits(
            in_progress=settings.limits.connections,
            key_memory_ms=settings.limits.key_memory_ms,
            delivery_ms=settings.limits.delivery_ms,
        ),
    )
    reader = BundleReader(
        ReaderDependencies(
            log=platform.log,
            peers=links,
            clock=clock,
            key_by_member=settings.trust.public_key_by_member,
            domain_peers=frozenset(
                peer.daemon_id
                for peer in settings.peers
                if peer.failure_domain == identity.failure_domain
                and peer.daemon_id != identity.daemon_id
            ),
            on_bundle_change=lambda in_force: _apply_bundle(
                in_force, batch, dispatcher
            ),
            note=timeline.note,
            counters=metrics,
            rng=random.Random(incarnation),
        )
    )
    membership = Membership(own_address(settings), settings.peers)
    return Components(
        settings=settings,
        incarnation=incarnation,
        clock=clock,
        lifecycle=make_lifecycle(batch, reader, membership, clock),
        metrics=metrics,
        timeline=timeline,
        platform=platform,
        links=links,
        membership=membership,
        batch=batch,
        dispatcher=dispatcher,
        reader=reader,
        nonces=NonceCache(_NONCE_CACHE_CAPACITY),
        budget=Budget(
            derive_entry_shares(
                settings.limits.memory_mb,
                settings.limits.max_fds,
                settings.limits.connections,
                tls=settings.tls is not None,
            )
        ),
    )


def _batch_settings(settings: Settings, incarnation: str) -> BatchSettings:
    return BatchSettings(
        daemon_id=settings.identity.daemon_id,
        incarnation=incarnation,
        failure_domain=settings.identity.failure_domain,
        control_lease_ms=settings.leases.control_ms,
        renew_every_ms=settings.leases.renew_every_ms,
        task_lease_ms=settings.leases.task_ms,
        margin_ms=settings.leases.margin_ms,
        exchange_every_ms=settings.leases.exchange_every_ms,
        longest_renew_ms=settings.leases.longest_renew_ms,
        outbox_records=settings.limits.outbox_records,
    )


def _apply_bundle(
    in_force: BundleInForce, batch: BatchTask, dispatcher: RequestDispatcher
) -> None:
    batch.set_bundle(bundle_settings(in_force.bundle))
    dispatcher.set_limits(service_limits(in_force.bundle))
