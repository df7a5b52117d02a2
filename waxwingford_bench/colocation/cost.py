"""Sub-command ``cost``: processor time of policy decisions in one daemon."""

import argparse
import random
import sys
import time
from typing import NamedTuple

from waxwingford.kernel import load_plugins
from waxwingford.placement import (
    ColocationPolicy,
    PendingTask,
    PolicyWeights,
    RunningTask,
    ServerView,
    policies,
)
from waxwingford.ports import AttemptKey, Resources, UsageSample

_SERVICE = 'service'
_KINDS = tuple(f'kind{number}' for number in range(12))
_TOTAL = Resources(32_000, 128_000, 0)
_RESERVED = Resources(10_000, 32_000, 0)
_TASK = Resources(1200, 6000, 0)
_TASKS_PER_SERVER = 16
_PENDING_TASKS = 6
_ROUNDS = 20
_ROUND_MS = 1000
_WINDOW_S = 5
_SERVERS_PER_DAEMON = (3, 24, 90, 360)


class Cost(NamedTuple):
    """Processor time of one daemon.

    :ivar servers: number of servers that it holds.
    :ivar placement_us: time per pending task, in microseconds.
    :ivar reaction_us: time per pass over all servers, in microseconds.
    :ivar sample_us: time per sample, in microseconds.
    """

    servers: int
    placement_us: float
    reaction_us: float
    sample_us: float


def main(argv: list[str]) -> int:
    """Measure and print the table.

    :param argv: arguments after the name of the sub-command.
    :returns: exit code.
    """
    parser = argparse.ArgumentParser('waxwingford-bench cost')
    parser.add_argument('--policy', default='learned')
    parser.add_argument(
        '--servers', type=int, nargs='+', default=_SERVERS_PER_DAEMON
    )
    options = parser.parse_args(argv)
    load_plugins(['waxwingford.colocation'])
    sys.stdout.write(
        'Processor time of one daemon by the servers that it holds\n'
        '(24 servers over 8 daemons: 3; 720 over 8: 90; 13000 over 18 failure\n'
        'domains of 8 daemons: 90; 360 if all but two daemons are down)\n'
        'servers  us/placement  us/reaction pass  us/sample  %core at 1/s\n',
    )
    for count in options.servers:
        cost = measure(options.policy, count)
        share = _core_percent(cost)
        sys.stdout.write(
            f'{cost.servers:7}  {cost.placement_us:12.0f}  '
            f'{cost.reaction_us:16.0f}  {cost.sample_us:9.1f}  {share:12.2f}\n',
        )
    return 0


def measure(name: str, count: int) -> Cost:
    """Measure the processor time of one daemon.

    :param name: registered name of the policy.
    :param count: number of servers that it holds.
    :returns: processor times.
    """
    weights = {_SERVICE: PolicyWeights(120, 0.5, 0.5)}
    policy = policies.get(name)(weights, 1)
    rng = random.Random(1)
    servers = [_server(index, rng) for index in range(count)]
    spent_ns = [0, 0, 0]
    for round_number in range(_ROUNDS):
        now_ms = round_number * _ROUND_MS
        spent_ns[0] += _observe(policy, servers, now_ms, rng)
        began_ns = time.process_time_ns()
        policy.react(servers, now_ms)
        spent_ns[1] += time.process_time_ns() - began_ns
        pending = [
            _pending(round_number, index) for index in range(_PENDING_TASKS)
        ]
        began_ns = time.process_time_ns()
        policy.place(pending, servers, now_ms)
        spent_ns[2] += time.process_time_ns() - began_ns
    return Cost(
        count,
        spent_ns[2] / 1000 / _ROUNDS / _PENDING_TASKS,
        spent_ns[1] / 1000 / _ROUNDS,
        spent_ns[0] / 1000 / _ROUNDS / count * _WINDOW_S,
    )


def _core_percent(cost: Cost) -> float:
    # Per second: one placement round, one reaction pass, and one sample of
    # every server per sampling window.
    spent_us = (
        _PENDING_TASKS * cost.placement_us
        + cost.reaction_us
        + cost.servers / _WINDOW_S * cost.sample_us
    )
    return spent_us / 1e6 * 100


def _observe(
    policy: ColocationPolicy,
    servers: list[ServerView],
    now_ms: int,
    rng: random.Random,
) -> int:
    spent_ns = 0
    # Each server reports once per sampling window.
    for server in servers[now_ms // _ROUND_MS % _WINDOW_S :: _WINDOW_S]:
        sample = UsageSample(
            5000,
            5000,
            _SERVICE,
            server.busy_share,
            rng.uniform(60, 90),
            tuple(task.key for task in server.running),
            {task.key.task_id: task.resources for task in server.running},
        )
        kinds = {task.key.task_id: task.kind for task in server.running}
        began_ns = time.process_time_ns()
        policy.observe(server.server_id, sample, now_ms, kinds)
        spent_ns += time.process_time_ns() - began_ns
    return spent_ns


def _server(index: int, rng: random.Random) -> ServerView:
    running = tuple(
        RunningTask(
            AttemptKey(f'member.job{index}/{number}', 1),
            'member',
            'team',
            rng.choice(_KINDS),
            _TASK,
            60_000,
        )
        for number in range(_TASKS_PER_SERVER)
    )
    return ServerView(
        f'w{index}',
        f'rack{index // 8}',
        _SERVICE,
        _TOTAL,
        _RESERVED,
        running,
        busy_share=rng.uniform(0.2, 0.5),
    )


def _pending(round_number: int, index: int) -> PendingTask:
    return PendingTask(
        AttemptKey(f'member.new{round_number}/{index}', 1),
        'member',
        'team',
        _KINDS[index % len(_KINDS)],
        _TASK,
        60_000,
    )
