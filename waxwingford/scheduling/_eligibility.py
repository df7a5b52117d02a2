"""Selects the backend servers that accept starts and may run the tasks of a step.

Free resources are not considered here.
"""

from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._shard_state import ShardState
from waxwingford.scheduling._state import Step

#: Maximum number of unanswered starts on one server, so that a stalled server
#: doesn't accumulate tasks.
MAX_UNANSWERED_STARTS = 12


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
    runs_by_server = step.runs_by_server if step.spec.max_per_server else {}
    limit = step.spec.max_per_server or len(step.tasks) + 1
    return [
        server
        for server in servers
        if len(runs_by_server.get(server.entry.server_id, ())) < limit
        and matches(step, service, server)
    ]


def usable_servers(state: ShardState, now_ms: int) -> list[Server]:
    """List the servers that accept starts.

    :param now_ms: current monotonic time, in ms.
    """
    # Few calls, as each round checks all servers.
    available = [
        server
        for server in state.server_by_id.values()
        if server.is_available
        and not (server.unknown_runs or server.keeps_ends)
    ]
    return [
        server
        for server in available
        if server.refusal_backoff_until_ms <= now_ms
        and server.excluded_until_ms <= now_ms
        and len(server.unanswered) < MAX_UNANSWERED_STARTS
        and server.entry.server_id not in state.withheld_servers
    ]
