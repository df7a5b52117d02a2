"""Which backend servers may run the tasks of a step, with room or without."""

from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step


def suits(step: Step, service: str, server: Server) -> bool:
    """Tell whether a server is of the kind that a step asks for.

    :param step: which.
    :param service: whose servers run it.
    :param server: which.
    :returns: whether it is of that service and has the step's label.
    """
    label = step.spec.label
    if server.entry.service != service:
        return False
    return not label or label in server.entry.labels


def eligible(step: Step, service: str, servers: list[Server]) -> list[Server]:
    """List the servers that may run one more task of a step.

    :param step: which.
    :param service: whose servers run it.
    :param servers: from these.
    :returns: those that suit it and are below its bound for one server.
    """
    counts = step.per_server() if step.spec.most_per_server else {}
    most = step.spec.most_per_server or len(step.tasks) + 1
    return [
        server
        for server in servers
        if counts.get(server.entry.server_id, 0) < most
        and suits(step, service, server)
    ]
