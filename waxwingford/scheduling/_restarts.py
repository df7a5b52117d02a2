"""Restarts of backend servers in place, under the id that they had.

The next incarnation holds and knows nothing of the former one: its runs are
gone, its ends are numbered anew, its clock starts anew, and it has seen no
fencing token and no stop. So the state of the former incarnation is dropped as
a whole. Only starts that the next incarnation may have received, or may still
receive, are handed on.
"""

import math
from collections.abc import Collection

from waxwingford.scheduling import _crashes as crashes
from waxwingford.scheduling._backend_client import PollResult, RunKey
from waxwingford.scheduling._losses import Crash, LossProof
from waxwingford.scheduling._orders import Stop
from waxwingford.scheduling._run_settlement import RunSettlement
from waxwingford.scheduling._server_notes import note_restart
from waxwingford.scheduling._servers import (
    CLOCK_DRIFT,
    Server,
    ServerEntry,
    count_down,
)
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Run, RunPhase

#: Longest time after which a start without an answer is still expected to be
#: carried out, in ms.
MAX_START_DELAY_MS = 15_000


class Restarts:
    """Tells incarnations of servers apart and hands starts on."""

    def __init__(
        self, state: ShardState, settlement: RunSettlement, max_lease_ms: int
    ) -> None:
        """Start without any known restart.

        :param max_lease_ms: longest lease that a server accepts, in ms; longer
            ones are shortened.
        """
        self._max_lease_ms = max_lease_ms
        self._state = state
        self._settlement = settlement

    def registered(
        self, server: Server, entry: ServerEntry, now_ms: int
    ) -> None:
        """Apply a newer registration of a known server.

        A registration may be older than the newest poll. An unknown start time
        that is greater proves a restart; one that is smaller may be outdated,
        or the time of day went back, so the next poll decides.

        :param now_ms: current monotonic time, in ms.
        """
        server.registered = True
        if server.polled_ms < 0:
            server.incarnation = entry.incarnation
        if _is_current(server, entry):
            server.register(entry, now_ms)
        elif not _is_outdated(server, entry):
            later = entry.started_ms > server.incarnation.started_ms
            if later or server.replaced:
                successor = self._succeed(server, entry, now_ms, answered=False)
                count_down(successor, now_ms)
            else:
                server.claimed_ms = entry.started_ms

    def answered_by(
        self, server: Server, answer: PollResult, now_ms: int
    ) -> Server:
        """Find the incarnation that answered a poll, the newest one.

        :param now_ms: current monotonic time, in ms.
        """
        if answer.started_ms not in {0, server.incarnation.started_ms}:
            entry = server.entry._replace(started_ms=answer.started_ms)
            known = {report.run for report in (*answer.running, *answer.ended)}
            if not answer.lists_all_ends:
                # Any run may be among the ends that follow.
                known |= server.run_by_key.keys()
            former = server
            server = self._succeed(former, entry, now_ms, known)
            server.described = False
            server.leaves_ms = former.leaves_ms
            server.cold_until_ms = former.cold_until_ms
            return server
        if server.claimed_ms:
            server.superseded |= {server.claimed_ms}
            server.claimed_ms = 0
        if server.polled_ms < 0:
            self._suspect_inherited(server, now_ms)
        return server

    def note_listed(self, server: Server, run: Run) -> None:
        """Note that a server lists a run as present."""
        run.begun = True
        if run.incarnation != server.incarnation:
            run.incarnation = server.incarnation
            found = self._state.find(run.key)
            if found is not None:
                task, step = found
                self._state.mark(step, task)

    def judge_crash(
        self, server: Server, crash: Crash, known: set[RunKey], now_ms: int
    ) -> None:
        """Suspect the tasks that may have crashed the former incarnation.

        :param server: server that has restarted and has just listed its runs.
        :param known: runs in that list, present or ended, which the crash has
            spared.
        :param now_ms: current monotonic time, in ms.
        """
        suspects = [
            run for run in server.crash_suspects if run.key not in known
        ]
        proven = crash._replace(proof=LossProof.replaced)
        crashes.add_evidence(self._state, server, suspects, proven, now_ms)
        server.crash = None
        server.crash_suspects = ()

    def forget_old_doubts(self, server: Server, now_ms: int) -> None:
        """Forget starts in doubt that can't be on their way any more.

        :param now_ms: current monotonic time, in ms.
        """
        server.starts_in_doubt = {
            key: since_ms
            for key, since_ms in server.starts_in_doubt.items()
            if now_ms - since_ms < MAX_START_DELAY_MS
        }

    def _succeed(
        self,
        former: Server,
        entry: ServerEntry,
        now_ms: int,
        known: Collection[RunKey] = (),
        *,
        answered: bool = True,
    ) -> Server:
        """Replace a server by its next incarnation.

        :param entry: registration of the next incarnation, as far as known.
        :param now_ms: current monotonic time, in ms.
        :param known: runs that the next incarnation has listed, so it has begun them.
            The former one may seem to have begun them as well, if their clocks agree or
            a late order was carried out again.
        :param answered: whether it has answered. A registration alone proves no crash.
        :returns: the next incarnation.
        """
        server = Server(
            entry,
            former.registered,
            superseded=former.superseded | {former.incarnation.started_ms},
        )
        server.superseded -= {entry.started_ms}
        note_restart(self._state.notes, former, server)
        proven = answered or former.replaced
        former.replaced = True
        former.registered = False
        self._state.server_by_id[entry.server_id] = server
        suspects = [
            run
            for run in crashes.find_suspects(former)
            if run.incarnation != server.incarnation
        ]
        crash = crashes.record_loss(self._state, former, suspects, now_ms)
        if not proven:
            crash = crash._replace(proof=LossProof.registered)
        gone = {
            run.key
            for run in former.run_by_key.values()
            if run.begun and run.key not in known
        }
        for run in list(former.run_by_key.values()):
            if run.phase is RunPhase.planned or run.key in gone:
                self._settlement.settle(
                    former, run, None, run.checkpoint, now_ms
                )
            else:
                self._hand_on(former, run, server, now_ms)
        self._bound_leases(former, server, now_ms)
        begun = [run for run in suspects if run.key in gone]
        crashes.add_evidence(self._state, former, begun, crash, now_ms)
        server.crash = crash
        server.crash_suspects = tuple(
            run for run in suspects if run.key not in gone
        )
        self._stop_doubtful(former, server, now_ms)
        return server

    def _suspect_inherited(self, server: Server, now_ms: int) -> None:
        """Suspect the runs of previous owners on a former incarnation.

        :param server: server that has just answered its first poll.
        :param now_ms: current monotonic time, in ms.
        """
        suspects = [
            run
            for run in crashes.find_suspects(server)
            if run.incarnation.started_ms
            and run.incarnation != server.incarnation
        ]
        if suspects:
            crash = crashes.record_loss(self._state, server, suspects, now_ms)
            server.crash = crash._replace(proof=LossProof.replaced)
            server.crash_suspects = tuple(suspects)

    def _hand_on(
        self, former: Server, run: Run, server: Server, now_ms: int
    ) -> None:
        """Hand on a run that the next incarnation may have, or may still get.

        Its first list of runs settles the run, or tells that it is present.

        :param now_ms: current monotonic time, in ms.
        """
        step = former.step_by_run[run.key]
        former.remove(run.key)
        run.started_server_clock_ms = None
        run.stop_sent_ms = 0
        run.stop_acknowledged_ms = 0
        server.add(run, step)
        if run.phase is RunPhase.sent:
            run.unconfirmed = True
            server.enter(run, RunPhase.unresolved, now_ms)

    def _bound_leases(
        self, former: Server, server: Server, now_ms: int
    ) -> None:
        """Bound the lease that orders to the former incarnation have granted.

        They name an end by its clock, which may be long after any lease by the
        clock of the next one.

        :param now_ms: current monotonic time, in ms.
        """
        server.inherited_lease_until_ms = former.inherited_lease_until_ms
        # Any earlier one was answered by the former incarnation.
        if server.run_by_key or former.lease_sent_ms > former.polled_ms:
            longest_ms = math.ceil(self._max_lease_ms * (1 + CLOCK_DRIFT))
            server.inherited_lease_until_ms = max(
                server.inherited_lease_until_ms, now_ms + longest_ms
            )

    def _stop_doubtful(
        self, former: Server, server: Server, now_ms: int
    ) -> None:
        """Stop starts that are settled: the next incarnation knows no stop.

        :param now_ms: current monotonic time, in ms.
        """
        self.forget_old_doubts(former, now_ms)
        server.starts_in_doubt = former.starts_in_doubt
        server.stops_owed = dict.fromkeys(server.starts_in_doubt, now_ms)
        server_id = server.entry.server_id
        self._state.orders.extend(
            Stop(server_id, key) for key in server.stops_owed
        )


def _is_current(server: Server, entry: ServerEntry) -> bool:
    unknown = not server.incarnation.started_ms
    return unknown or entry.incarnation == server.incarnation


def _is_outdated(server: Server, entry: ServerEntry) -> bool:
    """Whether an entry is of a former incarnation, or of another writer."""
    return not entry.started_ms or entry.started_ms in server.superseded
