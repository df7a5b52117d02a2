"""Explains to members why a task is pending."""

from waxwingford.batch._fleet import Fleet
from waxwingford.batch._placer import Placer
from waxwingford.batch._quotas import TeamLimits
from waxwingford.batch._views import oversize_reason
from waxwingford.placement import TeamName
from waxwingford.records import DomainState, TaskStage, TaskState

_MAX_SERVERS_SHOWN = 8


def pending_reason(
    task: TaskState,
    state: DomainState,
    fleet: Fleet,
    placer: Placer,
    log_error: str,
) -> str:
    """Explain why a task is pending, by the first sufficient cause.

    :param state: state replayed from the domain's stream.
    :param log_error: why the log is unavailable; empty if it is available.
    :returns: human-readable reason; empty if the task is not pending.
    """
    if task.stage != TaskStage.pending:
        return ''
    reasons = (
        oversize_reason(task.job.spec, fleet),
        f'the platform log is unavailable: {log_error}' if log_error else '',
        TeamLimits(state, placer.bundle).reason(task),
        _share_reason(task, placer),
        _server_reason(task, placer),
    )
    first = next((reason for reason in reasons if reason), '')
    return first or _room_reason(task, placer)


def _share_reason(task: TaskState, placer: Placer) -> str:
    offers = placer.queue.offers(task.next_key)
    if offers is None or offers:
        return ''
    spec = task.job.spec
    shares = placer.trackers.quotas.shares
    member_share = shares.of_member(spec.member)
    team_share = shares.of_team(TeamName(spec.member, spec.team))
    return (
        f'share: other tasks come first; relative to their shares, member '
        f'{spec.member} uses '
        f'{member_share:.3f} and team {spec.team} {team_share:.3f} of the '
        'capacity'
    )


def _server_reason(task: TaskState, placer: Placer) -> str:
    quarantined = placer.quarantined_servers()
    failed = [name for name in task.failed_on if name not in quarantined]
    failed_on = f'failed on {_names(failed)}: {task.detail}' if failed else ''
    quarantine_reason = (
        f'quarantine of {_names(sorted(quarantined))}' if quarantined else ''
    )
    causes = [cause for cause in (failed_on, quarantine_reason) if cause]
    if not causes:
        return ''
    return f'no room on the other servers; {"; ".join(causes)}'


def _room_reason(task: TaskState, placer: Placer) -> str:
    spec = task.job.spec
    allocation = placer.trackers.allocation(spec)
    size = f'{tuple(allocation)}'
    if allocation != spec.resources:
        size = f'{size}, measured; {tuple(spec.resources)} was declared'
    reason = f'no room: no available server has enough left ({size})'
    if placer.queue.offers(task.next_key) is None:
        return f'{reason}; another daemon may claim it first'
    return reason


def _names(servers: list[str]) -> str:
    rest = len(servers) - _MAX_SERVERS_SHOWN
    more = f' and {rest} more' if rest > 0 else ''
    return f'{", ".join(servers[:_MAX_SERVERS_SHOWN])}{more}'
