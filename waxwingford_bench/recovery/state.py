"""Jobs and states of a failure domain with many tasks."""

from waxwingford.ports import AttemptKey, Resources
from waxwingford.records import (
    Claim,
    DomainState,
    JobAccepted,
    JobSpec,
    RecordGroup,
    TasksClaimed,
)

TASKS_PER_JOB = 10
_TASK_RESOURCES = Resources(500, 1000)


def make_spec(number: int, count: int) -> JobSpec:
    """Create a job specification.

    :param number: number that makes the job id unique.
    :param count: number of tasks.
    :returns: the specification as submitted.
    """
    return JobSpec(
        f'qadri.night{number}',
        'qadri',
        f'team{number % 40}',
        'archive_rebuild',
        count,
        _TASK_RESOURCES,
        240_000,
        payload=f'{{"file":"archive/{number:06d}"}}',
        submitted_wall_ms=1_700_000_000_000 + number,
    )


def _make_groups(tasks: int, holder: str, servers: int) -> list[RecordGroup]:
    keys = []
    groups = []
    for number in range(tasks // TASKS_PER_JOB):
        spec = make_spec(number, TASKS_PER_JOB)
        record = JobAccepted(spec)
        groups.append(RecordGroup('w#1', number, (record,)))
        keys.extend(
            AttemptKey(f'{spec.job_id}/{index}', 1)
            for index in range(TASKS_PER_JOB)
        )
    for index in range(servers):
        claims = tuple(Claim(key) for key in keys[index::servers])
        record = TasksClaimed(holder, f's{index}', f'boot{index}', 1, claims)
        groups.append(RecordGroup('w#1', len(groups), (record,)))
    return groups


def make_state(
    tasks: int, holder: str = 'd0#1', servers: int = 720
) -> DomainState:
    """Create a state in which every task is claimed.

    :param tasks: number of live tasks.
    :param holder: daemon incarnation that claimed the tasks.
    :param servers: number of backend servers that the tasks are spread over.
    :returns: state folded from generated records.
    """
    state = DomainState()
    for offset, group in enumerate(_make_groups(tasks, holder, servers)):
        state.apply(offset, group)
    return state
