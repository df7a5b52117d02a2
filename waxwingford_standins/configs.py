"""Writes the configuration files and keys of a local run."""

import json
import pathlib
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
)

from waxwingford.adapters import encode_json
from waxwingford.bundles import encode_public_key
from waxwingford.settings import (
    Identity,
    Leases,
    Limits,
    Listen,
    PeerAddress,
    Platform,
    Settings,
    Tls,
    Trust,
)
from waxwingford_standins.backend_main import BackendConfig, HostedServer
from waxwingford_standins.deployment import Deployment
from waxwingford_standins.layout import HOST, DaemonPlace, Layout
from waxwingford_standins.relay_main import RelayConfig
from waxwingford_standins.run_certificates import make_certificates
from waxwingford_standins.server_service import ServiceModel

#: Shorter than in production, so that leases expire within a short run.
LOCAL_LEASES = Leases(
    control_ms=3000, renew_every_ms=500, task_ms=6000, margin_ms=300
)
_DRAIN_MS = 4000


class RunOptions(NamedTuple):
    """Options of a run that are independent of its deployment.

    :ivar leases: lease durations of all daemons.
    :ivar tls: whether daemons have certificates and accept only TLS.
    :ivar untrusted_daemons: ids of daemons whose certificates are issued by
        a different authority.
    """

    leases: Leases = LOCAL_LEASES
    tls: bool = False
    untrusted_daemons: frozenset[str] = frozenset()

    @property
    def scheme(self) -> str:
        """URL scheme of the daemons.

        :returns: ``http`` or ``https``.
        """
        return 'https' if self.tls else 'http'


class RunFiles(NamedTuple):
    """Paths of the configuration files of a run.

    :ivar settings_by_daemon: settings file by daemon id.
    :ivar authorities: certificates of all authorities; empty without TLS.
    """

    backends: pathlib.Path
    relay: pathlib.Path
    settings_by_daemon: dict[str, pathlib.Path]
    authorities: tuple[pathlib.Path, ...] = ()


def generate_keys(members: Iterable[str]) -> dict[str, Ed25519PrivateKey]:
    """Generate a signing key for each member."""
    return {member: Ed25519PrivateKey.generate() for member in members}


def write_files(
    directory: pathlib.Path,
    deployment: Deployment,
    layout: Layout,
    keys: Mapping[str, Ed25519PrivateKey],
    options: RunOptions,
) -> RunFiles:
    """Write all configuration files.

    :param directory: target directory; created if missing.
    :param keys: private keys by member; only the public keys are written.
    """
    directory.mkdir(parents=True, exist_ok=True)
    backends = directory / 'backends.json'
    backends.write_bytes(encode_json(_backend_config(deployment, layout)))
    relay = directory / 'relay.json'
    relay.write_bytes(
        encode_json(RelayConfig(layout.relay_admin_port, list(layout.links)))
    )
    trust = Trust(
        public_key_by_member={
            member: encode_public_key(key) for member, key in keys.items()
        }
    )
    tls_by_daemon = _issue_certificates(directory, layout, options)
    settings_by_daemon = {}
    for daemon in layout.daemons:
        path = directory / f'{daemon.daemon_id}.toml'
        settings = _daemon_settings(
            deployment, layout, daemon, trust
        ).model_copy(
            update={
                'leases': options.leases,
                'tls': tls_by_daemon.get(daemon.daemon_id),
            }
        )
        path.write_text(format_toml(settings.model_dump(exclude_none=True)))
        settings_by_daemon[daemon.daemon_id] = path
    authorities = {tls.authority_file for tls in tls_by_daemon.values()}
    return RunFiles(
        backends,
        relay,
        settings_by_daemon,
        tuple(map(pathlib.Path, sorted(authorities))),
    )


def format_toml(document: Mapping[str, Any]) -> str:
    """Format a document of tables, arrays of tables and scalars as TOML.

    :param document: mapping with at most two levels of nested tables.
    """
    return '\n'.join(_toml_lines(document, ''))


def _toml_lines(document: Mapping[str, Any], prefix: str) -> Iterator[str]:
    scalars = {
        key: entry
        for key, entry in document.items()
        if not isinstance(entry, dict | tuple | list)
    }
    yield from (
        f'{key} = {json.dumps(entry)}' for key, entry in scalars.items()
    )
    for key, entry in document.items():
        if isinstance(entry, dict):
            yield f'\n[{prefix}{key}]'
            yield from _toml_lines(entry, f'{prefix}{key}.')
        elif isinstance(entry, tuple | list):
            for table in entry:
                yield f'\n[[{prefix}{key}]]'
                yield from _toml_lines(table, f'{prefix}{key}.')


def _issue_certificates(
    directory: pathlib.Path, layout: Layout, options: RunOptions
) -> dict[str, Tls]:
    if not options.tls:
        return {}
    daemon_ids = {daemon.daemon_id for daemon in layout.daemons}
    return {
        **make_certificates(
            directory / 'tls', daemon_ids - options.untrusted_daemons
        ),
        **make_certificates(
            directory / 'other-tls', daemon_ids & options.untrusted_daemons
        ),
    }


def _backend_config(deployment: Deployment, layout: Layout) -> BackendConfig:
    service = deployment.service
    model = ServiceModel(
        service.name,
        service.median_ms,
        service.sigma,
        service.slowdown_by_kind,
        service.answer_bytes,
    )
    return BackendConfig(
        layout.backend_admin_port,
        {
            domain.name: _platform_url(layout, domain.name)
            for domain in deployment.failure_domains
        },
        [
            HostedServer(vm, model, deployment.seed + index)
            for index, vm in enumerate(layout.vms)
        ],
    )


def _daemon_settings(
    deployment: Deployment, layout: Layout, daemon: DaemonPlace, trust: Trust
) -> Settings:
    domain = daemon.failure_domain
    platform_url = _platform_url(layout, domain)
    peers = tuple(
        PeerAddress(
            daemon_id=peer.daemon_id,
            failure_domain=peer.failure_domain,
            host=HOST,
            rpc_port=layout.port_from(domain, peer.rpc_port),
            http_port=layout.port_from(domain, peer.http_port),
        )
        for peer in layout.daemons
    )
    return Settings(
        identity=Identity(
            daemon_id=daemon.daemon_id,
            failure_domain=domain,
            region=deployment.region,
        ),
        listen=Listen(
            host=HOST, http_port=daemon.http_port, rpc_port=daemon.rpc_port
        ),
        platform=Platform(log_url=platform_url, directory_url=platform_url),
        trust=trust,
        peers=peers,
        limits=Limits(drain_ms=_DRAIN_MS, key_memory_ms=20_000, delivery_ms=0),
    )


def _platform_url(layout: Layout, domain: str) -> str:
    return f'http://{HOST}:{layout.port_from(domain, layout.platform_port)}'
