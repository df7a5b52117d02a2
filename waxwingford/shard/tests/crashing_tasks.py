"""Tasks that crash the servers they start on, and a limit on their starts."""

import asyncio
import collections

#: Time from the start of a crashing task to the crash, and from the crash to the
#: server's next incarnation, in seconds.
CRASH_AFTER_S = 0.01
RESTART_AFTER_S = 3
#: A task that has crashed ``CRASH_LIMIT`` servers has to be started fewer times
#: than ``START_LIMIT_AFTER_CRASHES`` after that.
CRASH_LIMIT = 3
START_LIMIT_AFTER_CRASHES = 3


class CrashingTasks:
    """Crashes the servers of some tasks, and checks that their starts end.

    :ivar tasks: keys of the tasks that crash servers.
    :ivar crashes: number of servers that each task has crashed.
    """

    def __init__(self, fleet):
        self.tasks = set()
        self.crashes = collections.Counter()
        #: How a server crashes and comes back.
        self.crash = crash_and_restart
        self._fleet = fleet
        self._starts_after_limit = collections.Counter()

    def check_start(self, key):
        """Record a violation if a crashing task is started too often."""
        crashes = self.crashes[key.task]
        if crashes < CRASH_LIMIT:
            return
        self._starts_after_limit[key.task] += 1
        if self._starts_after_limit[key.task] >= START_LIMIT_AFTER_CRASHES:
            self._fleet.violations.append(
                f'{key}: started again after it crashed {crashes} servers'
            )

    def on_start(self, server, key):
        """Schedule a crash of the server if the task is a crashing one."""
        if key.task in self.tasks:
            loop = asyncio.get_running_loop()
            loop.call_later(CRASH_AFTER_S, self._crash_server, server, key)

    def _crash_server(self, server, key):
        if server.up and key.task in server.run_by_task:
            self.crashes[key.task] += 1
            self.crash(server)


def crash_and_restart(server):
    """Crash a server and have it return as a new incarnation."""
    server.stop_responding(connect_timeout_s=0)
    asyncio.get_running_loop().call_later(RESTART_AFTER_S, _restart, server)


def _restart(server):
    server.replaced = True
    server.registered = False
    server.fleet.add_server(server.capacity, server.clock_offset_ms)
