"""Process that simulates backend servers, each on its own port.

The admin port serves ``POST /fault`` and ``GET /audit``.
"""

import argparse
import asyncio
import contextlib
import pathlib
import time

import msgspec
from aiohttp import ClientError, ClientSession, ClientTimeout, web

from waxwingford.adapters import encode_json
from waxwingford.kernel import Clock, SystemClock
from waxwingford.ports import Vm
from waxwingford_standins.backend_host import ServerFault, ServerHost
from waxwingford_standins.backend_server import BackendServerCore
from waxwingford_standins.server_service import ServiceModel
from waxwingford_standins.serving import run_process, start_site

_HEARTBEAT_S = 0.5
_HEARTBEAT_TIMEOUT_S = 2
_HOST = '127.0.0.1'


class HostedServer(msgspec.Struct):
    """Configuration of one simulated server.

    :ivar vm: description of the VM, including the port to listen on.
    :ivar seed: seed of the latencies.
    """

    vm: Vm
    model: ServiceModel
    seed: int = 0


class BackendConfig(msgspec.Struct):
    """Configuration file of the process, in JSON.

    :ivar admin_port: TCP port for faults and audits.
    :ivar directory_url_by_domain: base URL to which the servers of each
        failure domain send heartbeats.
    """

    admin_port: int
    directory_url_by_domain: dict[str, str]
    servers: list[HostedServer]


class BackendProcess:
    """Simulated servers of the process and their admin interface."""

    def __init__(self, hosts: list[ServerHost], clock: Clock) -> None:
        self._hosts = hosts
        self._clock = clock
        self._fault_tasks: set[asyncio.Task[None]] = set()

    def admin_application(self) -> web.Application:
        """Create the application of the admin port."""
        app = web.Application()
        app.add_routes(
            (
                web.post('/fault', self.set_fault),
                web.get('/audit', self.audit),
            )
        )
        return app

    async def set_fault(self, request: web.Request) -> web.StreamResponse:
        """Inject a fault into all matching servers.

        :param request: HTTP request with a :class:`ServerFault` as body.
        :returns: empty response; 404 if no server matches.
        """
        try:
            fault = msgspec.json.decode(await request.read(), type=ServerFault)
        except msgspec.DecodeError as error:
            return web.Response(status=400, text=str(error))
        matching = [host for host in self._hosts if _matches(host, fault)]
        for host in matching:
            task = asyncio.ensure_future(host.apply(fault))
            self._fault_tasks.add(task)
            task.add_done_callback(self._fault_tasks.discard)
        await asyncio.sleep(0)
        return web.Response(status=200 if matching else 404)

    async def audit(self, _: web.Request) -> web.StreamResponse:
        """Report what every server executed.

        :returns: JSON array of server audits.
        """
        now_ms = self._clock.monotonic_ms()
        audits = [host.core.audit(now_ms) for host in self._hosts]
        return web.Response(
            body=encode_json(audits), content_type='application/json'
        )

    async def send_heartbeats(self, domain: str, directory_url: str) -> None:
        """Send heartbeats of the running servers of a failure domain.

        :param domain: name of the failure domain.
        :param directory_url: base URL of the VM list, as reached from the
            failure domain.
        """
        hosts = [
            host
            for host in self._hosts
            if host.core.vm.failure_domain == domain
        ]
        timeout = ClientTimeout(total=_HEARTBEAT_TIMEOUT_S)
        async with ClientSession(timeout=timeout) as client:
            while True:
                vms = [host.core.vm for host in hosts if not host.down]
                with contextlib.suppress(ClientError, TimeoutError):
                    await client.post(
                        f'{directory_url}/v1/vms/heartbeats',
                        data=encode_json(vms),
                    )
                await asyncio.sleep(_HEARTBEAT_S)


def _matches(host: ServerHost, fault: ServerFault) -> bool:
    vm = host.core.vm
    return fault.server_id in {'', vm.server_id} and (
        fault.failure_domain in {'', vm.failure_domain}
    )


def _create_host(hosted: HostedServer, clock: Clock) -> ServerHost:
    core = BackendServerCore(
        hosted.vm, hosted.model, hosted.seed, first_epoch=int(time.time())
    )
    return ServerHost(core, clock)


def main() -> None:
    """Run the process until it is stopped."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--config', type=pathlib.Path, required=True)
    options = parser.parse_args()
    config = msgspec.json.decode(
        options.config.read_bytes(), type=BackendConfig
    )
    clock = SystemClock()

    async def _open(stack: contextlib.AsyncExitStack) -> None:
        hosts = [_create_host(hosted, clock) for hosted in config.servers]
        process = BackendProcess(hosts, clock)
        for host in hosts:
            await host.start()
            stack.push_async_callback(host.stop)
        runner = await start_site(
            process.admin_application(), _HOST, config.admin_port
        )
        stack.push_async_callback(runner.cleanup)
        for domain, url in config.directory_url_by_domain.items():
            heartbeat_task = asyncio.ensure_future(
                process.send_heartbeats(domain, url)
            )
            stack.callback(heartbeat_task.cancel)

    run_process(_open)


if __name__ == '__main__':
    main()
