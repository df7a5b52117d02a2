"""Serving and best-effort runs that share a backend server.

Serving steps have a tail latency target (``StepSpec.target_ms``); best-effort
steps (``StepSpec.best_effort``) use only CPU left idle by others.
"""

from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Run, RunPhase, Step

#: Share of its requested CPU that a best-effort task is assumed to use at full
#: pace.
EXPECTED_USE_SHARE = 0.9


def serving_runs(server: Server) -> list[tuple[Run, Step]]:
    """List the runs that have a tail latency target."""
    return list(server.serving.values())


def serving_steps(server: Server) -> list[Step]:
    """List the steps whose tasks have a tail latency target.

    :returns: steps, each of them once.
    """
    return list(dict.fromkeys([step for _, step in server.serving.values()]))


def best_effort_runs(server: Server) -> list[tuple[Run, Step]]:
    """List the runs that use only CPU left idle by other runs."""
    return list(server.best_effort.values())


def full_pace_share(server: Server, step: Step) -> float:
    """Estimate the CPU that a best-effort task uses at full pace.

    :returns: share of the server's CPU, above 0.
    """
    requested = step.spec.needs.processors_milli or 1
    capacity = server.entry.capacity.processors_milli or 1
    return EXPECTED_USE_SHARE * requested / capacity


def cpu_capacity_milli(server: Server) -> int:
    """Return the CPU capacity of a server.

    :returns: CPU capacity in thousandths of a core, at least 1.
    """
    return max(1, server.entry.capacity.processors_milli)


def share_by_image(server: Server) -> dict[str, float]:
    """Sum the CPU use of the best-effort runs of each image.

    :returns: shares of the server's CPU by image, as reported by the latest
        poll.
    """
    shares: dict[str, float] = {}
    capacity = cpu_capacity_milli(server)
    for run, step in server.best_effort.values():
        if run.phase is RunPhase.present:
            image = step.spec.image
            shares[image] = shares.get(image, 0) + run.measured_value / capacity
    return shares
