"""Steps for the answers of daemons where a job would go."""

import asyncio

import msgspec
from behave import then

from waxwingford.http_server import Request
from waxwingford.metrics import Metrics
from waxwingford.scheduler._explanations import PlacementExplanations

JOB = (
    b'{"queue": "queue", "steps": [{"count": 2, "estimate_ms": 700,'
    b' "needs": {"processors_milli": 1000, "memory_mb": 100}}]}'
)
#: Time in which a successor takes over, in steps of 20 ms.
TAKEOVER_STEPS = 500


def ask_all(shard):
    async def _ask():
        return {
            daemon.daemon_id: PlacementExplanations(
                daemon.daemon_id, daemon.member, Metrics()
            ).answer(Request('POST', '/where', {}, 0, True, body=JOB))
            for daemon in shard.living()
        }

    return shard.run_until(_ask())


@then('one daemon explains a job, and the others answer 421 with its address')
def check_answers(context):
    response_by_id = ask_all(context.shard)
    owner = context.shard.owners[0]
    assert len(context.shard.owners) == 1
    for daemon_id, response in response_by_id.items():
        answer = msgspec.json.decode(response.body)
        assert answer['owner'] == owner.daemon_id, answer
        if daemon_id == owner.daemon_id:
            assert response.status == 200, response
            assert answer['steps'][0]['fitting'] == 4, answer
        else:
            assert response.status == 421, response
            assert answer['address'] == f'{owner.daemon_id}:2', answer


@then("the others never explain a job that they can't place")
def check_takeover(context):
    shard = context.shard
    statuses = set()
    for _ in range(TAKEOVER_STEPS):
        shard.run_until(asyncio.sleep(0.02))
        ready = {daemon.daemon_id for daemon in shard.owners}
        for daemon_id, response in ask_all(shard).items():
            statuses.add(int(response.status))
            assert (response.status == 200) == (daemon_id in ready), response
        if ready:
            break
    assert {200, 421} <= statuses <= {200, 421, 503}, statuses
    # The heartbeat of the new owner reaches the others.
    shard.run(2)
