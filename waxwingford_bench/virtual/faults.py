"""Actions that inject and end faults in a virtual failure domain."""

from waxwingford_bench.virtual.actions import Run, action
from waxwingford_bench.virtual.network import STREAM


@action(3)
def kill(run: Run) -> None:
    """Crash a daemon.

    :param run: run to act on.
    """
    run.domain.daemon_by_id[run.daemon()].kill()


@action(8)
def boot(run: Run) -> None:
    """Boot a daemon if it is down.

    :param run: run to act on.
    """
    daemon = run.domain.daemon_by_id[run.daemon()]
    if daemon.controller is None:
        daemon.boot()


@action(3)
def freeze(run: Run) -> None:
    """Suspend a daemon.

    :param run: run to act on.
    """
    run.domain.daemon_by_id[run.daemon()].freeze()


@action(6)
def thaw(run: Run) -> None:
    """Resume a daemon.

    :param run: run to act on.
    """
    run.domain.daemon_by_id[run.daemon()].thaw()


@action(4)
def cut_server(run: Run) -> None:
    """Cut the link between a daemon and a server.

    :param run: run to act on.
    """
    _cut(run, run.daemon(), run.server().vm.server_id)


@action(1)
def isolate_server(run: Run) -> None:
    """Cut the links between a server and all daemons but one.

    :param run: run to act on.
    """
    server_id = run.server().vm.server_id
    connected_id = run.daemon()
    for daemon_id in run.domain.daemon_by_id:
        if daemon_id != connected_id:
            _cut(run, daemon_id, server_id)


@action(2)
def cut_log(run: Run) -> None:
    """Cut the link between a daemon and the log.

    :param run: run to act on.
    """
    _cut(run, run.daemon(), 'log')


@action(2)
def cut_peer(run: Run) -> None:
    """Cut the link between two daemons.

    :param run: run to act on.
    """
    _cut(run, run.daemon(), run.daemon())


@action(6)
def restore_link(run: Run) -> None:
    """Restore a cut link.

    :param run: run to act on.
    """
    if run.domain.network.cut:
        links = sorted(run.domain.network.cut, key=sorted)
        run.domain.network.cut.discard(run.rng.choice(links))


@action(3)
def restore_all_links(run: Run) -> None:
    """Restore all cut links.

    :param run: run to act on.
    """
    run.domain.network.cut.clear()


@action(2)
def log_down(run: Run) -> None:
    """Make the log unavailable to the whole domain.

    :param run: run to act on.
    """
    run.domain.network.log_down = True


@action(6)
def log_up(run: Run) -> None:
    """Make the log available again.

    :param run: run to act on.
    """
    run.domain.network.log_down = False


@action(2)
def drop_answers(run: Run) -> None:
    """Change the share of lost answers.

    :param run: run to act on.
    """
    run.domain.network.lost_share = run.rng.choice((0, 0.05, 0.3))


@action(2)
def delay_messages(run: Run) -> None:
    """Change the share of late messages.

    :param run: run to act on.
    """
    run.domain.network.late_share = run.rng.choice((0, 0.02, 0.15))


@action(1)
def duplicate_answers(run: Run) -> None:
    """Change the share of duplicated answers.

    :param run: run to act on.
    """
    run.domain.network.duplicated_share = run.rng.choice((0, 0.2))


@action(2)
def crash_server(run: Run) -> None:
    """Crash and restart a server.

    :param run: run to act on.
    """
    run.server().die(run.domain.now_ms)


@action(1)
def drain_server(run: Run) -> None:
    """Begin to drain a server.

    :param run: run to act on.
    """
    run.server().leave(run.domain.now_ms)


@action(2)
def cancel_drain(run: Run) -> None:
    """Cancel the draining of a server.

    :param run: run to act on.
    """
    run.server().rejoin(run.domain.now_ms)


@action(1)
def change_list_lag(run: Run) -> None:
    """Change the lag of the VM list.

    :param run: run to act on.
    """
    run.domain.list_lag_ms = run.rng.choice((500, 5000, 60_000))


@action(2)
def truncate_log(run: Run) -> None:
    """Truncate the domain's stream up to its newest snapshot.

    :param run: run to act on.
    """
    covered = run.domain.fold.snapshot_offset
    run.domain.network.log.truncate(STREAM, covered)


def _cut(run: Run, one: str, other: str) -> None:
    if one != other:
        run.domain.network.cut.add(frozenset((one, other)))
