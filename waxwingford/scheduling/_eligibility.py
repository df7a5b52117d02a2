"""Selects the backend servers that may run the tasks of a step.

Free resources are not considered here.
"""

from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step


def matches(step: Step, service: str, server: Server) -> bool:
    """Tell whether a server has the service and label that a step requires.

    :param service: service whose servers run the step.
    """
    label = step.spec.label
    if server.entry.service != service:
        return False
    return not label or (server.described and label in server.entry.labels)


def eligible(step: Step, service: str, servers: list[Server]) -> list[Server]:
    """List the servers that may run one more task of a step.

    :param service: service whose servers run the step.
    :returns: matching servers below the step's limit of tasks per server.
    """
    counts = step.runs_per_server() if step.spec.max_per_server else {}
    limit = step.spec.max_per_server or len(step.tasks) + 1
    return [
        server
        for server in servers
        if counts.get(server.entry.server_id, 0) < limit
        and matches(step, service, server)
    ]
