"""States of a failure domain's batch work, for measurements."""

from waxwingford.ports import Resources, TaskKey
from waxwingford.records import (
    Claim,
    DomainState,
    JobAccepted,
    JobSpec,
    RecordGroup,
    TasksClaimed,
)

#: Tasks in each job of a state.
TASKS_IN_JOB = 10
_SIZE = Resources(500, 1000)


def make_spec(number: int, count: int) -> JobSpec:
    """Make a job.

    :param number: tells it from others.
    :param count: its tasks.
    :returns: as submitted.
    """
    return JobSpec(
        f'qadri.night{number}',
        'qadri',
        f'team{number % 40}',
        'archive_rebuild',
        count,
        _SIZE,
        240_000,
        payload=f'{{"file":"archive/{number:06d}"}}',
        submitted_wall_ms=1_700_000_000_000 + number,
    )


def _groups(tasks: int, holder: str, servers: int) -> list[RecordGroup]:
    keys = []
    groups = []
    for number in range(tasks // TASKS_IN_JOB):
        spec = make_spec(number, TASKS_IN_JOB)
        record = JobAccepted(spec)
        groups.append(RecordGroup('w#1', number, (record,)))
        keys.extend(
            TaskKey(f'{spec.job_id}/{index}', 1)
            for index in range(TASKS_IN_JOB)
        )
    for index in range(servers):
        claims = tuple(Claim(key) for key in keys[index::servers])
        record = TasksClaimed(holder, f's{index}', f'boot{index}', 1, claims)
        groups.append(RecordGroup('w#1', len(groups), (record,)))
    return groups


def make_state(
    tasks: int, holder: str = 'd0#1', servers: int = 720
) -> DomainState:
    """Make a state in which every task is claimed.

    :param tasks: live tasks.
    :param holder: who claimed them.
    :param servers: backend servers that they are spread over.
    :returns: folded state.
    """
    state = DomainState()
    for offset, group in enumerate(_groups(tasks, holder, servers)):
        state.apply(offset, group)
    return state
