"""What runs on a server: tasks that serve, and fills beside them."""

from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Run, RunPhase, Step

#: Share of its asked cpu that a fill is taken to use before it was listed.
EXPECTED_USE_SHARE = 0.9


def serving_runs(server: Server) -> list[tuple[Run, Step]]:
    """List the runs that have a target for their tail.

    :param server: where.
    :returns: runs with their steps.
    """
    return [
        (server.run_by_key[key], step)
        for key, step in server.step_by_run.items()
        if step.spec.target_ms
    ]


def serving_steps(server: Server) -> list[Step]:
    """List the steps whose tasks have a target for their tail.

    :param server: where.
    :returns: each step once.
    """
    return list(dict.fromkeys(step for _, step in serving_runs(server)))


def fill_runs(server: Server) -> list[tuple[Run, Step]]:
    """List the runs that use only the cpu that others leave.

    :param server: where.
    :returns: runs with their steps.
    """
    return [
        (server.run_by_key[key], step)
        for key, step in server.step_by_run.items()
        if step.spec.fills
    ]


def full_share(server: Server, step: Step) -> float:
    """Predict the cpu that a fill uses at full pace.

    :param server: where it is.
    :param step: its step.
    :returns: share of the server's cpu, above 0.
    """
    asked = max(1, step.spec.needs.processors_milli)
    return EXPECTED_USE_SHARE * asked / cpu_of(server)


def cpu_of(server: Server) -> int:
    """Say what cpu a server has.

    :param server: which.
    :returns: thousandths of a core, at least 1.
    """
    return max(1, server.entry.capacity.processors_milli)


def share_by_image(server: Server) -> dict[str, float]:
    """Say what cpu the fills of each image use.

    :param server: where.
    :returns: shares of the server's cpu, as listed last.
    """
    shares: dict[str, float] = {}
    capacity = cpu_of(server)
    for run, step in fill_runs(server):
        if run.phase is RunPhase.present:
            image = step.spec.image
            shares[image] = shares.get(image, 0) + run.figure / capacity
    return shares
