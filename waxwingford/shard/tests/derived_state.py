"""Recounts of what an engine keeps up to date where its state changes."""

from waxwingford.scheduling import RunPhase


def find_differences(state):
    """Compare derived values of the servers of a shard with a recount.

    :param state: state of the shard in its owner's memory.
    :returns: descriptions of the servers whose values differ.
    """
    return [
        f'{server_id}: {kept} are kept, {recounted} are right'
        for server_id, server in state.server_by_id.items()
        for kept, recounted in ((_kept(server), _recount(server)),)
        if kept != recounted
    ]


def _kept(server):
    return {
        # Runs that would be counted as starts although they have an answer.
        'answered_starts': [],
        'starts_in_progress': server.starts_in_progress,
        'serving': list(server.serving.items()),
        'best_effort': list(server.best_effort.items()),
    }


def _recount(server):
    runs = [
        (key, (server.run_by_key[key], step))
        for key, step in server.step_by_run.items()
    ]
    answered = (RunPhase.present, RunPhase.inherited)
    return {
        'answered_starts': [
            key
            for key in (*server.unsent, *server.unanswered)
            if server.run_by_key[key].phase in answered
        ],
        'starts_in_progress': len(server.unsent) + len(server.unanswered),
        'serving': [
            (key, (run, step))
            for key, (run, step) in runs
            if step.spec.target_ms
        ],
        'best_effort': [
            (key, (run, step))
            for key, (run, step) in runs
            if step.spec.best_effort
        ],
    }
