"""One submission of 25 is a gang that never fits; the others are sound.

The rule is looked at 14 s after the end of the traffic, when all workers are
free: each accepted submission has to be answered for, and none may have nothing
running for 3 s while its turn has come.
"""

import asyncio

from deployment import (
    BROKEN,
    HELD,
    CouldNotRunError,
    Deployment,
    has_trouble,
    main,
)

WORKERS = 6
SOUND_JOBS = tuple(f'00000000000000{number:02x}' for number in range(1, 25))
GANG_JOB = '00000000000000f0'
#: Place of the gang among the submissions.
GANG_AFTER = 12
MEMBERS = 5000
STEPS = 4
SUBMIT_GAP_S = 0.1
FINISH_S = 14.0
STILL_S = 3.0
#: Run time of a task, in seconds: the first steps run when the gang comes.
RUN_S = 2.5
BUDGET_S = 3.0
#: Submissions without an answer after which no others are asked for.
MAX_SILENT = 5
#: Attempts of a client: the first one and four retries.
MAX_ATTEMPTS = 5
OK = 200


def sound() -> dict[str, object]:
    """Make a submission whose steps run one after the other."""
    step = {'count': 1, 'cpu': 500, 'mem-mb': 256, 'estimate-ms': 2500}
    later = [{**step, 'depends-on': [one]} for one in range(STEPS - 1)]
    return {'spec': 'text', 'steps': [step, *later]}


def gang() -> dict[str, object]:
    """Make a gang of ten times what the workers have room for."""
    step = {
        'count': MEMBERS,
        'cpu': 500,
        'mem-mb': 256,
        'estimate-ms': 1000,
        'gang': True,
    }
    return {'spec': 'text', 'steps': [step]}


async def submit_gang(deployment: Deployment) -> None:
    """Hand the gang in, with the retries that a client makes.

    :raises CouldNotRunError: if it isn't accepted.
    """
    for attempt in range(MAX_ATTEMPTS):
        daemon = deployment.daemons[attempt % len(deployment.daemons)]
        answer = await deployment.send(daemon, 'POST', GANG_JOB, gang())
        if answer.status == OK:
            return
    raise CouldNotRunError('the gang is not accepted')


async def submit_all(deployment: Deployment) -> list[str]:
    """Hand all submissions in, and return the sound ones that were accepted."""
    accepted: list[str] = []

    async def submit(number: int, job_id: str) -> None:
        daemon = deployment.daemons[number % len(deployment.daemons)]
        answer = await deployment.send(daemon, 'POST', job_id, sound())
        if answer.status == OK:
            accepted.append(job_id)

    tasks = []
    for number, job_id in enumerate(SOUND_JOBS):
        if number == GANG_AFTER and has_trouble():
            await submit_gang(deployment)
        tasks.append(asyncio.create_task(submit(number, job_id)))
        await asyncio.sleep(SUBMIT_GAP_S)
    await asyncio.gather(*tasks)
    return accepted


async def ask_all(deployment: Deployment, job_ids: list[str]) -> list[str]:
    """Ask for submissions, until some of them get no answer in time.

    :returns: submissions without an answer.
    """
    silent: list[str] = []
    for number, job_id in enumerate(job_ids):
        daemon = deployment.daemons[number % len(deployment.daemons)]
        answer = await deployment.send(daemon, 'GET', job_id, budget_s=BUDGET_S)
        if not answer.status:
            silent.append(job_id)
        if len(silent) == MAX_SILENT:
            break
    return silent


async def play(deployment: Deployment) -> int:
    """Play the case."""
    await deployment.start(daemons=2, workers=WORKERS)
    for worker in deployment.workers:
        worker.run_s = RUN_S
    accepted = await submit_all(deployment)
    record = deployment.record
    record.write('end of the traffic', accepted=len(accepted))
    await asyncio.sleep(FINISH_S)
    before = {job_id: deployment.runs_of(job_id) for job_id in accepted}
    record.write('looked at from now on', runs=before)
    await asyncio.sleep(STILL_S)
    still = [
        job_id
        for job_id in accepted
        if before[job_id] == deployment.runs_of(job_id)
        and not deployment.is_done(job_id, steps=STEPS)
        and not deployment.is_running(job_id)
    ]
    silent = await ask_all(deployment, accepted)
    record.write('nothing running for 3 s', jobs=still)
    record.write('no answer in time', jobs=silent)
    return BROKEN if still or silent else HELD


if __name__ == '__main__':
    main(play)
