"""Starts, monitors and stops the processes of a local run."""

import asyncio
import contextlib
import pathlib
import signal
import sys
from asyncio.subprocess import Process
from collections.abc import Iterable

_STOP_TIMEOUT_S = 8
_KILL_TIMEOUT_S = 2


class ProcessGroup:
    """Processes started by a run.

    :ivar process_by_name: running and exited processes by name.
    """

    def __init__(self, log_directory: pathlib.Path) -> None:
        """Create an empty group.

        :param log_directory: directory for the output of the processes;
            created if missing.
        """
        self.process_by_name: dict[str, Process] = {}
        self._logs = log_directory
        self._logs.mkdir(parents=True, exist_ok=True)

    async def start(self, name: str, module: str, *options: str) -> None:
        """Start a Python module as a process.

        :param name: name of the process, unique in the run.
        :param module: dotted name of the module.
        """
        with (self._logs / f'{name}.log').open('ab') as log:
            # A new session keeps Ctrl-C in a terminal from reaching the
            # processes, so that the launcher stops daemons before stand-ins.
            self.process_by_name[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                module,
                *options,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def ended(self) -> list[str]:
        """List exited processes.

        :returns: name and exit code of each process, as text.
        """
        return [
            f'{name} exited with code {process.returncode}'
            for name, process in self.process_by_name.items()
            if process.returncode is not None
        ]

    def output(self, name: str) -> str:
        """Read the output of a process.

        :returns: output written so far.
        """
        return (self._logs / f'{name}.log').read_text()

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process if it is running."""
        process = self.process_by_name[name]
        if process.returncode is None:
            process.send_signal(number)

    async def stop(self, names: Iterable[str]) -> list[str]:
        """Terminate processes and kill those that do not exit in time.

        :param names: names of the processes; exited ones are skipped.
        :returns: names of the processes that had to be killed.
        """
        chosen = [
            name
            for name in names
            if self.process_by_name[name].returncode is None
        ]
        for name in chosen:
            # A process stopped by SIGSTOP handles SIGTERM only after SIGCONT.
            self.send(name, signal.SIGCONT)
            self.send(name, signal.SIGTERM)
        killed = await self._wait_for_exit(chosen, _STOP_TIMEOUT_S)
        for name in killed:
            self.send(name, signal.SIGKILL)
        await self._wait_for_exit(killed, _KILL_TIMEOUT_S)
        return killed

    async def stop_all(self) -> list[str]:
        """Stop all daemons, then the stand-ins that they depend on.

        :returns: names of the processes that had to be killed.
        """
        stand_ins = [name for name in self.process_by_name if name in STAND_INS]
        daemons = self.process_by_name.keys() - set(stand_ins)
        killed = await self.stop(daemons)
        return killed + await self.stop(stand_ins)

    async def _wait_for_exit(
        self, names: list[str], wait_s: float
    ) -> list[str]:
        """Wait for processes to exit, up to a time limit.

        :param wait_s: time limit, in seconds.
        :returns: names of the processes that are still running.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                for name in names:
                    await self.process_by_name[name].wait()
        return [
            name
            for name in names
            if self.process_by_name[name].returncode is None
        ]


#: Names of the processes that daemons depend on.
STAND_INS = ('platform', 'relay', 'backends')
