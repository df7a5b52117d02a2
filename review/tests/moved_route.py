"""A route moves to another service while a daemon takes the shard over."""

import asyncio
import pathlib
import sys
import time
from http import HTTPStatus

from review.tests.http_service import Call
from review.tests.scene import (
    MS_PER_S,
    Scene,
    give_up,
    job_body,
    new_id,
    play,
    route,
    trouble,
)
from review.tests.store import PREFIX as TOPIC_PREFIX

DAEMONS = 4
FORMER_SERVICE = 'desk-a'
NEW_SERVICE = 'desk-b'
WORKERS_BY_SERVICE = {FORMER_SERVICE: 1, NEW_SERVICE: 15}
PREFIX = '/lohu930/'
#: The owner is killed, and starts again after this time, in seconds.
KILLED_FOR_S = 3.5
#: Time for which the store is down, in seconds.
DOWN_S = 1.0
#: Bounds of the pages, in seconds: of a configuration, of what an unstable core
#: adds, and after which machines are in touch again.
CONFIG_APPLY_S = 2
MAX_STRETCH_S = 5
CONTACT_S = 3
JOBS = 3
#: A job that hasn't started by then is lost, in seconds: `finish_s` after the last
#: request, and 3 s in which nothing of it runs.
START_TIMEOUT_S = 14 + 3
#: Time for which a worker drains before it leaves, in seconds.
DRAIN_S = 2.5
#: Time between the two versions that move the route, in seconds.
VERSION_GAP_S = 0.1
OTHER_ROUTES = (
    route('r-9n73hh2', '/pule252/', FORMER_SERVICE),
    route('r-73d3zji', '/pufi791/', NEW_SERVICE),
)


def _route_to(service: str) -> dict[str, object]:
    return route('r-3hwrr6x', PREFIX, service)


class MovedRoute:
    """Moves the route, and looks where its jobs run long after that."""

    def __init__(self, scene: Scene) -> None:
        self._scene = scene
        self.violations: list[str] = []

    async def run(self) -> None:
        """Play the case."""
        scene = self._scene
        await self._set_up()
        await self._judge_jobs(FORMER_SERVICE, time.monotonic())
        if trouble():
            acked_s = await self._move_during_takeover()
        else:
            acked_s = await self._move()
        await scene.wait_ready()
        await asyncio.sleep(CONFIG_APPLY_S + MAX_STRETCH_S + CONTACT_S)
        await self._judge_after_move(acked_s)

    async def _judge_after_move(self, acked_s: float) -> None:
        await self._judge_jobs(NEW_SERVICE, acked_s)
        await self._empty_former_service()
        await self._judge_job(0, NEW_SERVICE, acked_s)

    async def _set_up(self) -> None:
        scene = self._scene
        for service, count in WORKERS_BY_SERVICE.items():
            for number in range(count):
                await scene.fleet.add(service, ['a', f'r1-{number}'])
        scene.configure([_route_to(FORMER_SERVICE), *OTHER_ROUTES])
        await scene.start_daemons()
        await asyncio.sleep(CONTACT_S)

    async def _move(self) -> float:
        """Remove the route, then add it again with the other service.

        :returns: time of the acknowledgement of the configuration.
        """
        self._scene.configure(list(OTHER_ROUTES))
        await asyncio.sleep(VERSION_GAP_S)
        self._scene.configure([_route_to(NEW_SERVICE), *OTHER_ROUTES])
        return time.monotonic()

    async def _move_during_takeover(self) -> float:
        """Kill the owner; the store is down for a moment as another follows.

        :returns: time of the acknowledgement of the configuration.
        """
        scene = self._scene
        owner = scene.owner()
        if owner is None:
            give_up('no daemon owns the shard')
        taking_over = asyncio.Event()

        def note(call: Call) -> None:
            topic = call.query.get('topic')
            if topic == f'{TOPIC_PREFIX}servers' and not taking_over.is_set():
                taking_over.set()
                scene.store.go_down()

        owner.kill()
        killed_s = time.monotonic()
        scene.record(event='owner killed', daemon=owner.name)
        await asyncio.sleep(0.1)
        scene.store.called = note
        await asyncio.wait_for(taking_over.wait(), 20)
        scene.record(event='store down, silent', for_s=DOWN_S)
        await asyncio.sleep(DOWN_S)
        scene.store.come_back()
        scene.record(event='store back')
        acked_s = await self._move()
        await asyncio.sleep(max(0, killed_s + KILLED_FOR_S - time.monotonic()))
        owner.start()
        scene.record(event='killed daemon starts again', daemon=owner.name)
        await asyncio.sleep(CONTACT_S)
        return acked_s

    async def _empty_former_service(self) -> None:
        """Let the only worker of the former service drain and leave."""
        scene = self._scene
        worker = scene.fleet.workers[0]
        await worker.leave(DRAIN_S)
        scene.record(event='worker left', worker=worker.id)
        await asyncio.sleep(CONTACT_S)

    async def _judge_jobs(self, service: str, acked_s: float) -> None:
        for number in range(JOBS):
            await self._judge_job(number, service, acked_s)

    async def _judge_job(
        self, number: int, service: str, acked_s: float
    ) -> None:
        scene = self._scene
        daemon = scene.daemons[number % len(scene.daemons)]
        job_id = new_id()
        sent_ms = int((time.monotonic() - acked_s) * MS_PER_S)
        answer = await scene.call(
            daemon, 'POST', PREFIX + job_id, job_body(500)
        )
        if answer is None or answer.status != HTTPStatus.OK:
            give_up(f'submission not accepted: {answer}')
        started_at = await self._find_start(job_id)
        kept = started_at == service
        scene.record(
            event='judged',
            job=job_id,
            sent_ms_after_ack=sent_ms,
            configured=service,
            ran_at=started_at,
            kept=kept,
        )
        sent = f'job {job_id}, sent {sent_ms} ms after the ack of the'
        moved = f'configuration that moves its route to {service}, was started'
        if not started_at:
            self.violations.append(
                f'LOST: {sent} {moved} by nobody for {START_TIMEOUT_S} s'
            )
        elif not kept:
            self.violations.append(f'CONFIG: {sent} {moved} by {started_at}')

    async def _find_start(self, job_id: str) -> str:
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            for start in self._scene.fleet.starts:
                if start.task.startswith(job_id):
                    return start.service
            await asyncio.sleep(0.1)
        return ''


async def main(record_file: str) -> int:
    """Play the case.

    :returns: exit status.
    """
    scene = Scene(pathlib.Path(record_file), DAEMONS)
    async with scene.open():
        case = MovedRoute(scene)
        await case.run()
    for violation in case.violations:
        sys.stdout.write(f'{violation}\n')
    return int(bool(case.violations))


if __name__ == '__main__':
    play(main)
