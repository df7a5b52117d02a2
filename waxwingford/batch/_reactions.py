"""Applies the reactions of a policy to running attempts."""

from collections.abc import Mapping

from waxwingford.batch._effects import EmitEvent
from waxwingford.batch._fleet import Fleet
from waxwingford.batch._server import ServerControl
from waxwingford.placement import Evict, Stop, Throttle
from waxwingford.ports import AttemptKey
from waxwingford.records import DomainState


def apply_reaction(
    fleet: Fleet,
    state: DomainState,
    held: Mapping[str, ServerControl],
    reaction: Throttle | Evict | Stop,
    now_ms: int,
) -> list[EmitEvent]:
    """Schedule a reaction for the next exchange with the server.

    :param state: state replayed from the domain's stream.
    :param held: held servers by id.
    :param now_ms: monotonic time, in milliseconds.
    :returns: an event; empty if the attempt is over or its server not held.
    """
    key = reaction.key
    server = _server_of(state, held, key)
    if server is None:
        return []
    match reaction:
        case Throttle(percent=percent):
            server.throttle_percent_by_key[key] = percent
        case Evict():
            server.evicting.add(key)
        case Stop():
            server.stopping.add(key)
    fleet.schedule_exchange(server.vm.server_id, now_ms)
    kind = f'policy.{type(reaction).__name__.lower()}'
    detail = f'attempt {key.attempt} at {server.vm.server_id}'
    return [EmitEvent(kind, f'task:{key.task_id}', detail)]


def _server_of(
    state: DomainState,
    held: Mapping[str, ServerControl],
    key: AttemptKey,
) -> ServerControl | None:
    task = state.task(key.task_id)
    if task is None or task.attempt != key.attempt:
        return None
    return held.get(task.server_id)
