"""Explains where a job would go if it were submitted now, and changes nothing.

Each step is compared with the present state of the servers as if the steps that it
depends on were done. The tasks that are ahead, and the other steps of the job, aren't
placed for it. The work is bounded, as the owner does it between its decisions.
"""

from collections.abc import Callable

from waxwingford.scheduling._order_preview import preview_order
from waxwingford.scheduling._placement_answer import (
    PlacementReport,
    StepReport,
)
from waxwingford.scheduling._placement_view import PlacementView
from waxwingford.scheduling._specs import JobSpec
from waxwingford.scheduling._state import Step, new_job
from waxwingford.scheduling._step_explainer import (
    Moment,
    StepExplainer,
    assume_steps,
)

#: Steps that are explained; the rest of a job is only counted.
MAX_STEPS = 8
#: Servers that are evaluated for one step, and for all steps of a job.
MAX_SERVERS = 400
MAX_EVALUATIONS = 800
_MS_PER_S = 1000


def _is_unlimited() -> bool:
    return True


def explain_placement(
    view: PlacementView,
    spec: JobSpec,
    moment: Moment,
    has_time: Callable[[], bool] = _is_unlimited,
) -> PlacementReport:
    """Explain where a job would go now.

    :param spec: job without faults (``find_fault``).
    :param has_time: function that tells whether one more step may be explained; the
        first one always is.
    """
    job = new_job(spec, moment.now_ms)
    steps = assume_steps(job)
    queue = view.state.queue_of(job)
    order = preview_order(view.state, moment.now_ms)
    explainer = StepExplainer(view, queue, order, moment)
    reports = _explain_steps(explainer, steps, has_time)
    refused = moment.retry_after_s > 0
    until_ms = moment.wall_ms + moment.retry_after_s * _MS_PER_S
    return PlacementReport(
        queue=spec.queue,
        service=queue.service,
        priority=queue.priority,
        accepted=not refused,
        retry_after_s=moment.retry_after_s,
        refused_until_ms=until_ms if refused else 0,
        refusal_cause=moment.refusal_cause,
        refusal_reason=moment.refusal_reason,
        due_ms=spec.first_due_ms if spec.times else 0,
        pending_tasks=order.pending,
        steps=reports,
        steps_not_shown=len(steps) - len(reports),
    )


def _explain_steps(
    explainer: StepExplainer, steps: list[Step], has_time: Callable[[], bool]
) -> list[StepReport]:
    most_steps = min(MAX_STEPS, len(steps))
    most_servers = min(MAX_SERVERS, MAX_EVALUATIONS // most_steps)
    reports: list[StepReport] = []
    for index in range(most_steps):
        if reports and not has_time():
            break
        reports.append(explainer.explain(steps, index, most_servers))
    return reports


__all__ = ('MAX_SERVERS', 'MAX_STEPS', 'Moment', 'explain_placement')
