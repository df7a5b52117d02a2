"""Processes of one local run: started, watched and stopped by their ids."""

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
    """Everything that this run started, by name; nothing else is touched.

    :ivar process_by_name: running or ended processes.
    """

    def __init__(self, log_directory: pathlib.Path) -> None:
        """Start without processes.

        :param log_directory: where each process's output goes.
        """
        self.process_by_name: dict[str, Process] = {}
        self._logs = log_directory
        self._logs.mkdir(parents=True, exist_ok=True)

    async def start(self, name: str, module: str, *options: str) -> None:
        """Start a Python module as a process.

        :param name: unique in the run.
        :param module: dotted name.
        :param options: command line.
        """
        with (self._logs / f'{name}.log').open('ab') as log:
            # An own session: Ctrl-C in a terminal reaches only the launcher,
            # which then stops the daemons before what they depend on.
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
        """List processes that ended.

        :returns: name and exit code of each.
        """
        return [
            f'{name} ended with {process.returncode}'
            for name, process in self.process_by_name.items()
            if process.returncode is not None
        ]

    def output(self, name: str) -> str:
        """Read what a process wrote so far.

        :param name: which.
        :returns: text.
        """
        return (self._logs / f'{name}.log').read_text()

    def send(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process.

        :param name: which.
        :param number: the signal.
        """
        process = self.process_by_name[name]
        if process.returncode is None:
            process.send_signal(number)

    async def stop(self, names: Iterable[str]) -> list[str]:
        """Stop some processes, gently, then by force after a cap.

        :param names: which; those that ended are left out.
        :returns: names of those that had to be killed.
        """
        chosen = [
            name
            for name in names
            if self.process_by_name[name].returncode is None
        ]
        for name in chosen:
            # A process stopped by SIGSTOP takes no other signal before.
            self.send(name, signal.SIGCONT)
            self.send(name, signal.SIGTERM)
        killed = await self._wait_for_exit(chosen, _STOP_TIMEOUT_S)
        for name in killed:
            self.send(name, signal.SIGKILL)
        await self._wait_for_exit(killed, _KILL_TIMEOUT_S)
        return killed

    async def stop_all(self) -> list[str]:
        """Stop everything, latest started first wave by wave.

        :returns: names of those that had to be killed.
        """
        stand_ins = [name for name in self.process_by_name if name in STAND_INS]
        daemons = self.process_by_name.keys() - set(stand_ins)
        killed = await self.stop(daemons)
        return killed + await self.stop(stand_ins)

    async def _wait_for_exit(
        self, names: list[str], wait_s: float
    ) -> list[str]:
        """Wait for processes to end.

        :param names: which.
        :param wait_s: cap, in seconds.
        :returns: those still running.
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


#: Names of the processes on which daemons depend; they are stopped last.
STAND_INS = ('platform', 'relay', 'backends')
