"""Recounts of what an engine keeps up to date where its state changes."""

from waxwingford.scheduling import RunPhase
from waxwingford.scheduling._crashes import _is_suspected, has_many_suspicions


def find_differences(state):
    """Compare derived values of the servers of a shard with a recount.

    :param state: state of the shard in its owner's memory.
    :returns: descriptions of the servers whose values differ.
    """
    differences = [
        f'{server_id}: {kept} are kept, {recounted} are right'
        for server_id, server in state.server_by_id.items()
        for kept, recounted in ((_kept(server), _recount(server)),)
        if kept != recounted
    ]
    for job_id, job in state.job_by_id.items():
        kept, recounted = _kept_of_job(state, job), _recount_job(state, job)
        if kept != recounted:
            differences.append(
                f'{job_id}: {kept} are kept, {recounted} are right'
            )
    return differences


def _steps(job):
    return [
        step for steps in job.steps_by_occurrence.values() for step in steps
    ]


def _kept_of_job(state, job):
    queues = state.pending_by_key.steps_by_job.get(job.spec.job_id, {})
    return {
        'runs': job.run_count,
        'runs_by_step': {
            step.name: {
                (server_id, key)
                for server_id, runs in step.runs_by_server.items()
                for key in runs
            }
            for step in _steps(job)
        },
        'suspects': {step.name: step.suspects for step in _steps(job)},
        'holding': {step.name: step.holding for step in _steps(job)},
        'pending': sorted(
            (*queue, place[-1])
            for queue, step in queues.items()
            for place in step.places
        ),
    }


def _recount_job(state, job):
    runs_by_step = {
        step.name: {
            (run.server_id, run.key)
            for task in step.tasks
            for run in task.run_by_number.values()
        }
        for step in _steps(job)
    }
    return {
        'runs': sum(map(len, runs_by_step.values())),
        'runs_by_step': runs_by_step,
        'suspects': {
            step.name: _indices(step, _is_suspected) for step in _steps(job)
        },
        'holding': {step.name: _indices(step, _holds) for step in _steps(job)},
        'pending': sorted(
            key[1:]
            for key in state.pending_by_key
            if key.job_id == job.spec.job_id
        ),
    }


def _indices(step, chosen):
    return {task.key.index for task in step.tasks if chosen(task)}


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


def _holds(task):
    return has_many_suspicions(task.suspected_crashes)
