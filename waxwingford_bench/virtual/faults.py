"""Faults of a virtual failure domain, and their ends."""

from waxwingford_bench.virtual.actions import Run, action
from waxwingford_bench.virtual.network import STREAM


@action(3)
def kill(run: Run) -> None:
    """Kill a daemon.

    :param run: what to act on.
    """
    run.domain.daemon_by_id[run.daemon()].kill()


@action(8)
def boot(run: Run) -> None:
    """Boot a daemon, if it is dead.

    :param run: what to act on.
    """
    daemon = run.domain.daemon_by_id[run.daemon()]
    if daemon.controller is None:
        daemon.boot()


@action(3)
def freeze(run: Run) -> None:
    """Freeze a daemon.

    :param run: what to act on.
    """
    run.domain.daemon_by_id[run.daemon()].freeze()


@action(6)
def thaw(run: Run) -> None:
    """Thaw a daemon.

    :param run: what to act on.
    """
    run.domain.daemon_by_id[run.daemon()].thaw()


@action(4)
def cut_server(run: Run) -> None:
    """Cut a daemon off from a server.

    :param run: what to act on.
    """
    _cut(run, run.daemon(), run.server().vm.server_id)


@action(1)
def cut_server_off(run: Run) -> None:
    """Cut all daemons but one off from a server.

    :param run: what to act on.
    """
    server_id = run.server().vm.server_id
    spared = run.daemon()
    for daemon_id in run.domain.daemon_by_id:
        if daemon_id != spared:
            _cut(run, daemon_id, server_id)


@action(2)
def cut_log(run: Run) -> None:
    """Cut a daemon off from the log.

    :param run: what to act on.
    """
    _cut(run, run.daemon(), 'log')


@action(2)
def cut_peer(run: Run) -> None:
    """Cut two daemons off from each other.

    :param run: what to act on.
    """
    _cut(run, run.daemon(), run.daemon())


@action(6)
def mend(run: Run) -> None:
    """Mend one link.

    :param run: what to act on.
    """
    if run.domain.network.cut:
        links = sorted(run.domain.network.cut, key=sorted)
        run.domain.network.cut.discard(run.rng.choice(links))


@action(3)
def mend_all(run: Run) -> None:
    """Mend all links.

    :param run: what to act on.
    """
    run.domain.network.cut.clear()


@action(2)
def log_down(run: Run) -> None:
    """Let the log go away for the whole domain.

    :param run: what to act on.
    """
    run.domain.network.log_down = True


@action(6)
def log_up(run: Run) -> None:
    """Let the log come back.

    :param run: what to act on.
    """
    run.domain.network.log_down = False


@action(2)
def lose_answers(run: Run) -> None:
    """Change how many answers are lost.

    :param run: what to act on.
    """
    run.domain.network.lost_share = run.rng.choice((0, 0.05, 0.3))


@action(2)
def be_late(run: Run) -> None:
    """Change how many messages arrive late.

    :param run: what to act on.
    """
    run.domain.network.late_share = run.rng.choice((0, 0.02, 0.15))


@action(1)
def double_answers(run: Run) -> None:
    """Change how many answers come twice.

    :param run: what to act on.
    """
    run.domain.network.twin_share = run.rng.choice((0, 0.2))


@action(2)
def server_dies(run: Run) -> None:
    """Let a server die and boot again.

    :param run: what to act on.
    """
    run.server().die(run.domain.now_ms)


@action(1)
def server_leaves(run: Run) -> None:
    """Let a server leave.

    :param run: what to act on.
    """
    run.server().leave(run.domain.now_ms)


@action(2)
def server_stays(run: Run) -> None:
    """Let a server stay after all.

    :param run: what to act on.
    """
    run.server().rejoin(run.domain.now_ms)


@action(1)
def list_lags(run: Run) -> None:
    """Change the list's lag.

    :param run: what to act on.
    """
    run.domain.listed_lag_ms = run.rng.choice((500, 5000, 60_000))


@action(2)
def retain_less(run: Run) -> None:
    """Drop what a snapshot covers from the domain's stream.

    :param run: what to act on.
    """
    covered = run.domain.fold.snapshot_offset
    run.domain.network.log.truncate(STREAM, covered)


def _cut(run: Run, one: str, other: str) -> None:
    if one != other:
        run.domain.network.cut.add(frozenset((one, other)))
