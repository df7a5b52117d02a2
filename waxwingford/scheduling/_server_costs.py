"""Cost of a task on each server that fits it; the cheapest one is chosen."""

from waxwingford.scheduling._admission import BestEffortAdmission
from waxwingford.scheduling._job_estimates import expected_run_time_ms
from waxwingford.scheduling._run_times import RunTimes
from waxwingford.scheduling._servers import Server
from waxwingford.scheduling._state import Step, Task

#: Costs of a server, in units of its whole CPU.
#: The server isn't on the rack of the task's data.
REMOTE_DATA_COST = 0.5
#: The task has failed, stalled or been throttled there.
AVOIDED_COST = 4.0
#: Per unit of the server's penalty for failed runs.
PENALTY_COST = 0.5
#: The whole CPU need of a best-effort task exceeds the server's allowance.
INTERFERENCE_COST = 3.0
#: A best-effort task uses the server's whole allowance. Tasks that interfere little
#: leave the rest of it to others.
ALLOWANCE_COST = 2.0
#: Per image that serves there already: best-effort tasks suit a server with one
#: image more often than one with several.
OTHER_IMAGE_COST = 1.0
#: Other steps serve there already, and the step could fill a server: the loads of
#: different steps have their crests at different times, and the highest one bounds
#: what best-effort tasks may use.
OTHER_STEP_COST = 1.0
#: Per run that would be lost if a task that may crash the server does so.
LOST_RUN_COST = 2.0
#: A task that isn't long-running would run on a cold server from begin to end.
#: More than the utilisation can cost, so that cold servers come last while others
#: have room.
COLD_COST = 2.0
#: Share of its requested CPU that a task is assumed to use; the rest is
#: available to best-effort tasks.
ASSUMED_USE_SHARE = 0.6
#: Weight of the CPU requested by best-effort runs in the cost of other tasks.
BEST_EFFORT_WEIGHT = 0.15


class ServerCosts:
    """Compares servers for a task."""

    def __init__(
        self,
        admission: BestEffortAdmission,
        run_times: RunTimes,
    ) -> None:
        """Use the forecast of a placement round.

        :param admission: forecasts the interference of best-effort tasks.
        :param run_times: learned run times.
        """
        self._admission = admission
        self._run_times = run_times

    def cost(
        self, task: Task, step: Step, server: Server, now_ms: int
    ) -> float:
        """Compute the cost of a task on a server with free resources for it.

        :param now_ms: current monotonic time, in ms.
        :returns: cost; lower is better.
        """
        return sum(self.terms(task, step, server, now_ms).values())

    def terms(
        self, task: Task, step: Step, server: Server, now_ms: int
    ) -> dict[str, float]:
        """Compute the terms of ``cost`` that apply to a task.

        :param now_ms: current monotonic time, in ms.
        :returns: terms by name.
        """
        spec = step.spec
        terms = {'utilisation': _utilisation_cost(step, server)}
        if spec.near_rack and spec.near_rack != server.entry.rack:
            terms['remote data'] = REMOTE_DATA_COST
        if server.incarnation in task.avoided:
            terms['avoided'] = AVOIDED_COST
        if server.penalty:
            terms['penalty'] = PENALTY_COST * server.penalty
        if server.cold_until_ms > now_ms and not spec.long_running:
            run_time_ms = expected_run_time_ms(step, self._run_times)
            cold_share = (server.cold_until_ms - now_ms) / max(1, run_time_ms)
            terms['cold'] = COLD_COST * min(1, cold_share)
        if task.may_crash:
            terms['lost runs'] = LOST_RUN_COST * len(server.run_by_key)
        if spec.best_effort:
            excess = self._admission.excess(step, server, now_ms)
            usage = self._admission.usage(step, server, now_ms)
            terms['interference'] = INTERFERENCE_COST * excess
            terms['allowance'] = ALLOWANCE_COST * usage
        elif spec.target_ms:
            images = _count_other_images(spec.image, server)
            terms['other images'] = OTHER_IMAGE_COST * images
            terms['other steps'] = OTHER_STEP_COST * _crest_cost(step, server)
        return terms


def _utilisation_cost(step: Step, server: Server) -> float:
    """Compute the cost of a server's CPU utilisation with one more task.

    For a best-effort task it is the CPU requested by all best-effort runs, as a
    share of what other runs leave idle.

    :returns: cost, from 0 to 1 if the CPU suffices, more otherwise.
    """
    needs_milli = step.spec.needs.processors_milli
    capacity_milli = max(1, server.entry.capacity.processors_milli)
    if step.spec.target_ms:
        # Best fit: concentrates serving tasks, so that best-effort tasks find
        # servers without them.
        return (
            server.free_resources.processors_milli - needs_milli
        ) / capacity_milli
    if not step.spec.best_effort:
        used_milli = server.used.processors_milli + needs_milli
        return (
            used_milli + BEST_EFFORT_WEIGHT * server.best_effort_milli
        ) / capacity_milli
    idle_milli = (
        capacity_milli - ASSUMED_USE_SHARE * server.used.processors_milli
    )
    return (server.best_effort_milli + needs_milli) / max(1, idle_milli)


def _count_other_images(image: str, server: Server) -> int:
    images = {step.spec.image for _, step in server.serving.values()}
    return len(images - {image})


def _crest_cost(step: Step, server: Server) -> float:
    """Compute the cost of a serving task beside those of other steps.

    :returns: cost from 0 to 1: the other tasks of the step, as a share of the
        server, could stand beside it on a server of its own.
    """
    if all(other is step for _, other in server.serving.values()):
        return 0
    needs_milli = (step.spec.count - 1) * step.spec.needs.processors_milli
    capacity_milli = max(1, server.entry.capacity.processors_milli)
    return min(1, needs_milli / capacity_milli)
