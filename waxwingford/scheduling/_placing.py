"""Choice of a backend server for each task that waits."""

from waxwingford.ports import fits_resources
from waxwingford.scheduling import _gangs as gangs
from waxwingford.scheduling._admission import BestEffortAdmission
from waxwingford.scheduling._book import Book
from waxwingford.scheduling._choices import Choices
from waxwingford.scheduling._crashes import is_suspect
from waxwingford.scheduling._eligibility import eligible
from waxwingford.scheduling._harm import HarmModel
from waxwingford.scheduling._holding import Holds
from waxwingford.scheduling._isolation import Isolation
from waxwingford.scheduling._runners import RunKey
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Job, Run, RunPhase, Step, Task
from waxwingford.scheduling._turns import (
    Waiting,
    in_turn,
    waiting,
    work_left,
)
from waxwingford.scheduling._waits import WaitNotes

#: Costs of a server, in units of its whole cpu: it is away from the task's
#: data; the task failed there before; it is blamed for a failure; a fill
#: goes beyond what its tails bear by all that it needs; one more image
#: serves there, so that more fills harm some tail there than on two servers
#: with an image each; and for a task that may crash it, each run there.
AWAY_COST = 0.5
AVOIDED_COST = 4.0
BLAME_COST = 0.5
HARM_COST = 3.0
OTHER_IMAGE_COST = 1.0
LOST_RUN_COST = 2.0
#: Share of its cpu that a task is taken to use; fills get the rest.
USE_SHARE = 0.6
#: Weight of the cpu that fills ask for in the choice for other tasks.
FILL_WEIGHT = 0.15
#: Least time between two rounds in which fills are placed, in ms, and most
#: servers that are looked at for them in a ms: hundreds of steps may wait. A
#: look takes 5 us.
FILLS_EVERY_MS = 40
MOST_LOOKS_PER_MS = 40
#: Starts that are not answered yet, on one server at most: its answers come
#: one after the other, and a server that stalls must not take many tasks.
MOST_UNANSWERED = 12


class Placer:
    """Places waiting tasks of a book on its servers."""

    def __init__(self, book: Book, model: HarmModel) -> None:
        """Work on a book.

        :param book: of the shard.
        :param model: of what harms what.
        """
        self._book = book
        self._admission = BestEffortAdmission(model)
        self._fills_ms = 0
        self._fills_due_ms = 0
        self._looks = 0
        self._waits = WaitNotes(book.notes)
        self._holds = Holds()
        self._isolation = Isolation(book)
        self._choices_by_step: dict[str, Choices] = {}
        self._changed: list[Server] = []

    def release(self, job: Job, now_ms: int, wall_ms: int) -> None:
        """Make the tasks wait for servers whose turn has come.

        :param job: whose.
        :param now_ms: steady time.
        :param wall_ms: Unix time, for jobs that are due at a time.
        """
        if job.ended is not None or job.held:
            return
        for occurrence in range(_due(job, wall_ms)):
            steps = job.begin(occurrence)
            for step in steps:
                if step.left and _has_turn(step, steps):
                    _make_wait(self._book, step, now_ms)

    def place(self, now_ms: int) -> None:
        """Plan a run of each waiting task for which a server has room.

        :param now_ms: steady time.
        """
        self._holds.begin(now_ms)
        turns = self._turns(now_ms)
        if not turns:
            # Most answers of servers bring nothing to place: to go through all
            # servers with each takes most of an owner's processor.
            return
        usable = self._usable(now_ms)
        self._admission.begin(usable)
        self._isolation.begin(usable)
        self._looks = 0
        self._choices_by_step.clear()
        self._changed.clear()
        unplaced: list[Waiting] = []
        full_steps: set[str] = set()
        for turn in turns:
            if not self._place_one(turn, usable, full_steps, now_ms):
                unplaced.append(turn)
                if turn.overdue:
                    self._keep_room(turn, usable)
        if self._fills_ms == now_ms:
            pause_ms = max(FILLS_EVERY_MS, self._looks // MOST_LOOKS_PER_MS)
            self._fills_due_ms = now_ms + pause_ms
            self._waits.update(unplaced, usable, now_ms)

    def find_servers(self, task: Task, step: Step, now_ms: int) -> list[Server]:
        """Find the servers on which a task would be placed if it waited.

        :param task: which.
        :param step: its step.
        :param now_ms: steady time.
        :returns: servers with room for it, where a fill harms nobody.
        """
        queue = self._book.queue_of(step.job)
        steps = step.job.steps_by_occurrence[step.occurrence]
        turn = waiting(task, step, queue, work_left(steps), now_ms)
        usable = self._usable(now_ms)
        self._admission.begin(usable)
        return self._fitting(turn, usable, now_ms)

    def _usable(self, now_ms: int) -> list[Server]:
        return [
            server
            for server_id, server in self._book.server_by_id.items()
            if _takes_starts(server, now_ms)
            and server_id not in self._book.withheld
        ]

    def _place_one(
        self,
        turn: Waiting,
        usable: list[Server],
        full_steps: set[str],
        now_ms: int,
    ) -> bool:
        if is_suspect(turn.task, turn.step):
            return self._seat_alone(turn, usable, now_ms)
        name = turn.step.name
        if name in full_steps and not turn.task.avoided:
            return False
        if self._seat(turn, usable, now_ms):
            return True
        full_steps.add(name)
        return False

    def _seat(self, turn: Waiting, usable: list[Server], now_ms: int) -> bool:
        if turn.task.key not in self._book.ready_by_key:
            # Placed in this round, with the rest of its gang.
            return True
        if turn.step.spec.gang:
            fitting = self._fitting(turn, usable, now_ms)
            return self._seat_gang(turn, fitting, now_ms)
        server = self._choose(turn, usable, now_ms)
        if server is None:
            return False
        self.plan(turn.task, turn.step, server, now_ms)
        return True

    def _seat_alone(
        self, turn: Waiting, usable: list[Server], now_ms: int
    ) -> bool:
        if self._seat(turn, usable, now_ms):
            return True
        able = self._with_room(turn, usable, now_ms)
        self._changed += self._isolation.reserve(
            turn.task, turn.step, able, self._holds.room
        )
        return False

    def _choose(
        self, turn: Waiting, usable: list[Server], now_ms: int
    ) -> Server | None:
        task, step = turn.task, turn.step

        def fit(servers: list[Server]) -> list[Server]:
            return self._fitting(turn, servers, now_ms)

        def cost(server: Server) -> float:
            return self._cost(task, step, server, now_ms)

        differs = task.avoided or task.evidence
        if step.spec.fills or turn.queue.advised or differs:
            # Fills choose among a few servers, others with each task; what an
            # advised step may use, what a task avoids and what it may crash is
            # its own matter.
            return min(fit(usable), key=cost, default=None)
        choices = self._choices_by_step.get(step.name)
        if choices is None:
            choices = Choices(usable, fit, cost, len(self._changed))
            self._choices_by_step[step.name] = choices
        return choices.best(self._changed)

    def _keep_room(self, turn: Waiting, usable: list[Server]) -> None:
        if turn.step.spec.gang or turn.queue.advised:
            # A gang needs room on several servers, and which ones an advised
            # step may use is known only when they have it.
            return
        if self._holds.seeks(turn.step):
            able = eligible(turn.step, turn.queue.service, usable)
            server = self._holds.keep(turn.step, able)
            if server is not None:
                self._changed.append(server)

    def _seat_gang(
        self, turn: Waiting, fitting: list[Server], now_ms: int
    ) -> bool:
        step = turn.step
        seats = (
            gangs.find_seats(step, fitting, self._holds.room)
            if gangs.is_whole(step)
            else None
        )
        if seats is None:
            return False
        number = gangs.next_run(step)
        for seat in seats:
            seat.task.last_run = number - 1
            self.plan(seat.task, step, seat.server, now_ms)
        return True

    def plan(self, task: Task, step: Step, server: Server, now_ms: int) -> None:
        """Plan a run.

        :param task: of this task.
        :param step: its step.
        :param server: there.
        :param now_ms: steady time.
        """
        task.last_run += 1
        key = RunKey(task.key, task.last_run)
        run = Run(
            key,
            server.entry.server_id,
            RunPhase.planned,
            now_ms,
            now_ms,
            checkpoint=task.checkpoint,
            moved_ms=now_ms,
        )
        task.run_by_number[key.run] = run
        if is_suspect(task, step):
            self._isolation.keep(server, task, step)
        self._book.ready_by_key.pop(task.key, None)
        self._book.plan(run, step)
        self._changed.append(server)
        self._waits.placed(step)
        self._book.notes.add(
            'run.planned',
            task.key,
            run=key.run,
            server=run.server_id,
            waited_ms=now_ms - task.waiting_ms,
            looked_ms_ago=now_ms - server.looked_ms,
            terms=self._book.terms.version,
        )

    def _turns(self, now_ms: int) -> list[Waiting]:
        fills_too = now_ms >= self._fills_due_ms
        if fills_too:
            self._fills_ms = now_ms
        return in_turn(self._book, now_ms, fills_too)

    def _fitting(
        self, turn: Waiting, usable: list[Server], now_ms: int
    ) -> list[Server]:
        able = self._with_room(turn, usable, now_ms)
        return self._isolation.admitting(able, turn.task, turn.step)

    def _with_room(
        self, turn: Waiting, usable: list[Server], now_ms: int
    ) -> list[Server]:
        step = turn.step
        service = turn.queue.service
        pool = usable
        if step.spec.fills:
            pool = self._admission.open_servers(step, service, now_ms)
            self._looks += len(pool)
        takes = step.spec.takes
        fitting = [
            server
            for server in eligible(step, service, pool)
            if fits_resources(takes, self._holds.room(server))
        ]
        if step.spec.fills:
            fitting = self._admission.admitting(step, service, fitting, now_ms)
        if turn.queue.advised and fitting:
            return self._book.advice.allowed(step, fitting, now_ms)
        return fitting

    def _cost(
        self, task: Task, step: Step, server: Server, now_ms: int
    ) -> float:
        spec = step.spec
        cost = _crowding(step, server)
        if spec.near_rack and spec.near_rack != server.entry.rack:
            cost += AWAY_COST
        if server.entry.server_id in task.avoided:
            cost += AVOIDED_COST
        cost += BLAME_COST * server.blame
        if task.evidence:
            cost += LOST_RUN_COST * len(server.run_by_key)
        if spec.fills:
            cost += HARM_COST * self._admission.excess(step, server, now_ms)
        elif spec.target_ms:
            cost += OTHER_IMAGE_COST * _count_other_images(spec.image, server)
        return cost


def _due(job: Job, wall_ms: int) -> int:
    """Count the repetitions of a job that are due.

    :param job: the job.
    :param wall_ms: Unix time.
    :returns: the count; 1 for a job without a time.
    """
    spec = job.spec
    if not spec.times:
        return 1
    if wall_ms < spec.first_due_ms:
        return 0
    past = (wall_ms - spec.first_due_ms) // max(1, spec.every_ms)
    return min(spec.times, past + 1)


def _has_turn(step: Step, steps: list[Step]) -> bool:
    return not any(
        steps[index].left for index in step.spec.after if index < len(steps)
    )


def _make_wait(book: Book, step: Step, now_ms: int) -> None:
    for task in step.tasks:
        waits = not (task.done or task.run_by_number)
        if waits and task.key not in book.ready_by_key:
            # A former owner may have stored that it waits already.
            task.waiting_ms = task.waiting_ms or now_ms
            book.ready_by_key[task.key] = task


def _takes_starts(server: Server, now_ms: int) -> bool:
    if not server.takes_part or server.strangers:
        return False
    if server.barred_until_ms > now_ms:
        return False
    return len(server.unanswered) < MOST_UNANSWERED


def _crowding(step: Step, server: Server) -> float:
    """Say how crowded a server would be.

    A fill gets what is not in use, so what counts for it is the share of that
    which all fills together would ask for.

    :param step: what is to be placed.
    :param server: where.
    :returns: 0 to 1 while there is enough, more beyond.
    """
    needs_milli = step.spec.needs.processors_milli
    capacity_milli = max(1, server.entry.capacity.processors_milli)
    if step.spec.target_ms:
        # Packed tightly, so that some servers stay free of tasks that fills
        # could harm.
        return (server.room.processors_milli - needs_milli) / capacity_milli
    if not step.spec.fills:
        used_milli = server.used.processors_milli + needs_milli
        return (used_milli + FILL_WEIGHT * server.fill_milli) / capacity_milli
    idle_milli = capacity_milli - USE_SHARE * server.used.processors_milli
    return (server.fill_milli + needs_milli) / max(1, idle_milli)


def _count_other_images(image: str, server: Server) -> int:
    images = {
        step.spec.image
        for step in server.step_by_run.values()
        if step.spec.target_ms
    }
    return len(images - {image})
