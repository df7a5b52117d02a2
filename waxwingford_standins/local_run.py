"""Starts and stops the processes of a deployment on this machine."""

import asyncio
import dataclasses
import pathlib
from collections.abc import Awaitable, Callable

from waxwingford.adapters import HttpLog
from waxwingford.bundles import (
    Bundle,
    BundleInvalid,
    Published,
    PublishOutcome,
    bundle_body,
    canonical_bytes,
    compute_digest,
    encode_public_key,
    load_bundle,
    publish,
    sign_digest,
)
from waxwingford_standins.configs import (
    RunFiles,
    RunOptions,
    generate_keys,
    write_files,
)
from waxwingford_standins.deployment import Deployment
from waxwingford_standins.layout import allocate_layout
from waxwingford_standins.processes import ProcessGroup
from waxwingford_standins.switches import Switches

_DEFAULT_OPTIONS = RunOptions()
_POLL_S = 0.1
_STAND_INS_TIMEOUT_S = 10
_READY_TIMEOUT_S = 30
_LOG_TIMEOUT_MS = 2000
_OK = 200
_PACKAGE = 'waxwingford_standins'
_DAEMON_MODULE = 'waxwingford.daemon.main'


@dataclasses.dataclass(frozen=True, slots=True)
class Started:
    """All processes are running and all daemons are ready."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartFailed:
    """A process failed to start; the caller must stop the run."""

    reason: str


class LocalRun:
    """Processes of a deployment and their admin interfaces.

    :ivar key_by_member: private keys of the members.
    :ivar switches: client of the stand-ins' admin ports.
    """

    def __init__(
        self,
        deployment: Deployment,
        bundle: Bundle,
        directory: pathlib.Path,
        log_progress: Callable[[str], None],
        options: RunOptions = _DEFAULT_OPTIONS,
    ) -> None:
        """Allocate ports and write files without starting processes.

        :param bundle: first configuration bundle.
        :param directory: directory for configuration files and logs.
        :param options: leases and TLS.
        """
        self.deployment = deployment
        self.layout = allocate_layout(deployment, options.scheme)
        self.key_by_member = generate_keys(bundle.members)
        self.processes = ProcessGroup(directory / 'logs')
        self.files: RunFiles = write_files(
            directory / 'config',
            deployment,
            self.layout,
            self.key_by_member,
            options,
        )
        self._bundle = bundle
        self._log_progress = log_progress
        self.switches = Switches(self.layout, self.files.authorities)

    async def start(self) -> Started | StartFailed:
        """Start all processes and wait until all daemons are ready.

        :returns: success, or the reason of the failure.
        """
        steps: tuple[Callable[[], Awaitable[str]], ...] = (
            self.start_stand_ins,
            self.publish_bundle,
            self.start_daemons,
        )
        for step in steps:
            reason = await step()
            if reason:
                return StartFailed(reason)
        return Started()

    async def start_stand_ins(self) -> str:
        """Start platform, relay and backend servers.

        :returns: reason of the failure; empty on success.
        """
        layout = self.layout
        await self.processes.start(
            'platform',
            f'{_PACKAGE}.platform_main',
            '--port',
            str(layout.platform_port),
            '--seed',
            str(self.deployment.seed),
        )
        await self.processes.start(
            'relay',
            f'{_PACKAGE}.relay_main',
            '--config',
            str(self.files.relay),
        )
        await self.processes.start(
            'backends',
            f'{_PACKAGE}.backend_main',
            '--config',
            str(self.files.backends),
        )
        self._log_progress(
            f'stand-ins of {len(layout.vms)} backend servers started'
        )
        return await self._poll(self._all_vms_listed, _STAND_INS_TIMEOUT_S)

    async def publish_bundle(self) -> str:
        """Publish the first bundle.

        :returns: reason of the failure; empty on success.
        """
        outcome = await self.publish(self._bundle)
        if isinstance(outcome, Published):
            self._log_progress(f'bundle version {outcome.version} published')
            return ''
        return f'bundle was not published: {outcome}'

    async def publish(self, bundle: Bundle) -> PublishOutcome:
        """Sign a bundle with the keys of all members and publish it.

        :param bundle: bundle with its version and predecessor.
        :returns: outcome of the publication.
        """
        digest = compute_digest(canonical_bytes(bundle_body(bundle)))
        signatures = {
            member: sign_digest(key, digest)
            for member, key in self.key_by_member.items()
        }
        trusted = {
            member: encode_public_key(key)
            for member, key in self.key_by_member.items()
        }
        log = HttpLog(self.switches.platform_url, _LOG_TIMEOUT_MS)
        try:
            return await publish(log, trusted, bundle, signatures)
        finally:
            await log.close()

    async def start_daemons(self) -> str:
        """Start all daemons and wait until they are ready.

        :returns: reason of the failure; empty on success.
        """
        for daemon in self.layout.daemons:
            await self.start_daemon(daemon.daemon_id)
        self._log_progress(f'{len(self.layout.daemons)} daemons started')
        return await self.wait_ready()

    async def wait_ready(self) -> str:
        """Wait until every daemon is ready, up to a time limit.

        :returns: status of the first daemon that is not ready; empty if all
            are.
        """
        return await self._poll(self.unready, _READY_TIMEOUT_S)

    async def start_daemon(self, daemon_id: str) -> None:
        """Start or restart a daemon."""
        settings = self.files.settings_by_daemon[daemon_id]
        await self.processes.start(
            daemon_id, _DAEMON_MODULE, '--settings', str(settings)
        )

    async def stop(self) -> list[str]:
        """Stop all processes.

        :returns: names of the processes that had to be killed.
        """
        killed = await self.processes.stop_all()
        await self.switches.close()
        return killed

    async def unready(self) -> str:
        """Query the readiness of every daemon.

        :returns: status of the first daemon that is not ready; empty if all
            are.
        """
        for daemon in self.layout.daemons:
            status, text = await self.switches.get(f'{daemon.url}/readyz')
            if status != _OK:
                return f'{daemon.daemon_id} is not ready: {text.strip()}'
        return ''

    async def _all_vms_listed(self) -> str:
        _, text = await self.switches.get(
            f'{self.switches.platform_url}/v1/vms'
        )
        missing = sum(f'"{vm.server_id}"' not in text for vm in self.layout.vms)
        return f'{missing} backend servers are not listed' if missing else ''

    async def _poll(
        self, missing: Callable[[], Awaitable[str]], timeout_s: float
    ) -> str:
        """Poll a condition until it holds, up to a time limit.

        :param missing: returns the reason why the condition does not hold;
            empty once it does.
        :param timeout_s: time limit, in seconds.
        :returns: last reason; empty if the condition holds.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + timeout_s
        while True:
            reason = await missing()
            ended = self.processes.ended()
            if ended:
                return f'{", ".join(ended)} (see the log files in logs/)'
            if not reason or loop.time() > until_s:
                return reason
            await asyncio.sleep(_POLL_S)


def open_bundle(path: pathlib.Path) -> Bundle | str:
    """Read the source of a bundle.

    :param path: path of ``bundle.toml``.
    :returns: the bundle, or all validation errors as text.
    """
    loaded = load_bundle(path)
    if isinstance(loaded, BundleInvalid):
        return '\n'.join(str(problem) for problem in loaded.problems)
    return loaded.bundle
