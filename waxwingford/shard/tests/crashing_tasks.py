"""Tasks that crash each server that starts them, and how often they may."""

import asyncio
import collections

#: A task that crashes its server does so this long after its start, and the server
#: is there again as another incarnation so long after that, in seconds.
CRASH_AFTER_S = 0.01
BACK_AFTER_S = 3
#: A task that has crashed so many servers may be started fewer times than this from
#: then on.
MOST_CRASHES = 3
STARTS_AFTER_CRASHES = 3


class CrashingTasks:
    """Crashes servers under some tasks, and checks that it comes to an end.

    :ivar tasks: those that crash servers.
    :ivar crashes: servers that crashed under each.
    """

    def __init__(self, fleet):
        self.tasks = set()
        self.crashes = collections.Counter()
        self._fleet = fleet
        self._starts_after = collections.Counter()

    def check_start(self, key):
        """Note a breach if a task is started too often.

        :param key: of the run that starts.
        """
        crashes = self.crashes[key.task]
        if crashes < MOST_CRASHES:
            return
        self._starts_after[key.task] += 1
        if self._starts_after[key.task] >= STARTS_AFTER_CRASHES:
            self._fleet.breaches.append(
                f'{key}: starts again, and has crashed {crashes} servers'
            )

    def started(self, server, key):
        """Let a server crash soon if the run is of such a task.

        :param server: that has started it.
        :param key: of the run.
        """
        if key.task in self.tasks:
            loop = asyncio.get_running_loop()
            loop.call_later(CRASH_AFTER_S, self._crash_under, server, key)

    def _crash_under(self, server, key):
        if server.up and key.task in server.run_by_task:
            self.crashes[key.task] += 1
            crash_for_a_while(server)


def crash_for_a_while(server):
    """Let a server crash and be back as another incarnation.

    :param server: which.
    """
    server.vanish(connect_s=0)
    asyncio.get_running_loop().call_later(BACK_AFTER_S, _come_back, server)


def _come_back(server):
    server.replaced = True
    server.listed = False
    server.fleet.add_one(server.capacity, server.ahead_ms)
