"""Orders to the platform's workers, which are backend servers here."""

from http import HTTPStatus

import msgspec

from waxwingford.platform._calls import Answer, Calls, NoAnswer, NotSent
from waxwingford.scheduling import (
    Address,
    Denial,
    EndKind,
    EndReport,
    Looked,
    LookOrder,
    LookOutcome,
    OrderDenied,
    OrderNotSent,
    OrderOutcome,
    OrderTaken,
    OrderUnknown,
    RunKey,
    RunningReport,
    ServerReplaced,
    StartOrder,
    TaskKey,
)

#: Time for an order, in seconds: a server answers within some ms; what takes
#: longer is looked for by what the server lists.
ORDER_TIMEOUT_S = 0.6
#: Time for a look beyond the time that the server may wait, in seconds.
LOOK_TIMEOUT_S = 0.8
_MS_IN_S = 1000
_DENIAL_BY_REASON = {
    'fence': Denial.fenced,
    'old': Denial.superseded,
    'late': Denial.too_late,
    'room': Denial.no_room,
    'ticket': Denial.no_ticket,
}


class _OrderBody(msgspec.Struct, rename='kebab'):
    clock_ms: int = 0
    reason: str = ''


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    run: int
    checkpoint: str | None
    percent: float
    # Of its last half second: the tail in ms, or the cpu in use.
    figure: float | None = None


class _EndRow(msgspec.Struct, array_like=True):
    number: int
    task: str
    run: int
    kind: str
    checkpoint: str | None = None


class _LookBody(msgspec.Struct, rename='kebab'):
    clock_ms: int
    running: list[_RunningRow]
    ended_runs: list[_EndRow]


_order_decoder = msgspec.json.Decoder(_OrderBody)
_look_decoder = msgspec.json.Decoder(_LookBody)


class PlatformWorkers:
    """Way to all workers of the platform."""

    def __init__(self, calls: Calls) -> None:
        """Use connections.

        :param calls: to make calls with.
        """
        self._calls = calls

    async def start(self, address: Address, order: StartOrder) -> OrderOutcome:
        """Start a run, once.

        :param address: which server.
        :param order: what to run.
        :returns: what is known of it.
        """
        content = {
            'task': str(order.run.task),
            'run-id': order.run.run,
            'spec': order.payload,
            'deadline-ms': order.lease_until_ms,
            'fence': order.fencing_token,
        }
        if order.checkpoint:
            content['last-checkpoint'] = order.checkpoint
        if order.ticket:
            content['ticket'] = order.ticket
        return await self._order(address, '/api/run-start', content)

    async def stop(
        self, address: Address, run: RunKey, fencing_token: int
    ) -> OrderOutcome:
        """Stop a run; one that is not there yet will be refused later.

        :param address: which server.
        :param run: which run.
        :param fencing_token: of the shard's owner.
        :returns: what is known of it.
        """
        content = {
            'task': str(run.task),
            'run-id': run.run,
            'fence': fencing_token,
        }
        return await self._order(address, '/api/run-stop', content)

    async def pace(
        self, address: Address, run: RunKey, percent: int, fencing_token: int
    ) -> OrderOutcome:
        """Let a run work at a share of its speed.

        :param address: which server.
        :param run: which run.
        :param percent: 0 to 100.
        :param fencing_token: of the shard's owner.
        :returns: what is known of it.
        """
        content = {
            'task': str(run.task),
            'run-id': run.run,
            'percent': percent,
            'fence': fencing_token,
        }
        return await self._order(address, '/api/pace', content)

    async def look(self, address: Address, order: LookOrder) -> LookOutcome:
        """Extend the lease and see what runs.

        :param address: which server.
        :param order: lease, forgotten ends, wait.
        :returns: what the server lists.
        """
        content = {'fence': order.fencing_token, 'ack-cursor': order.seen_end}
        if order.lease_until_ms is not None:
            content['deadline-ms'] = order.lease_until_ms
        if order.wait_ms:
            content['wait-ms'] = order.wait_ms
        timeout_s = order.wait_ms / _MS_IN_S + LOOK_TIMEOUT_S
        answer = await self._post(address, '/api/hold', content, timeout_s)
        if not isinstance(answer, Answer):
            return answer
        try:
            return _looked(_look_decoder.decode(answer.body))
        except (msgspec.MsgspecError, ValueError) as error:
            return OrderUnknown(f'answer not understood: {error}')

    async def _order(
        self, address: Address, path: str, content: dict[str, object]
    ) -> OrderOutcome:
        answer = await self._post(address, path, content, ORDER_TIMEOUT_S)
        if not isinstance(answer, Answer):
            return answer
        return _taken(answer)

    async def _post(
        self,
        address: Address,
        path: str,
        content: dict[str, object],
        timeout_s: float,
    ) -> Answer | OrderDenied | ServerReplaced | OrderNotSent | OrderUnknown:
        headers = {'X-Expect-Instance': address.server_id}
        outcome = await self._calls.post_json(
            address.endpoint, path, content, headers, timeout_s
        )
        match outcome:
            case NotSent(reason):
                return OrderNotSent(reason)
            case NoAnswer(reason, broken):
                return OrderUnknown(reason, broken)
            case Answer():
                return _by_status(outcome)


def task_key(name: str) -> TaskKey:
    """Read the name of a task.

    :param name: job, repetition, step and index, joined by dots.
    :returns: the key.
    """
    job_id, occurrence, step, index = name.split('.')
    return TaskKey(job_id, int(occurrence), int(step), int(index))


def _by_status(
    answer: Answer,
) -> Answer | OrderDenied | ServerReplaced | OrderUnknown:
    match answer.status:
        case HTTPStatus.OK:
            return answer
        case HTTPStatus.MISDIRECTED_REQUEST:
            return ServerReplaced()
        case HTTPStatus.CONFLICT:
            return _denied(answer)
        case HTTPStatus.TOO_MANY_REQUESTS | HTTPStatus.SERVICE_UNAVAILABLE:
            return OrderDenied(Denial.unhealthy)
        case HTTPStatus.BAD_REQUEST:
            return OrderDenied(Denial.invalid)
        case _:
            return OrderUnknown(f'status {answer.status}')


def _looked(body: _LookBody) -> Looked:
    return Looked(
        body.clock_ms,
        tuple(map(_running, body.running)),
        tuple(map(_ended, body.ended_runs)),
    )


def _taken(answer: Answer) -> OrderTaken | OrderUnknown:
    try:
        return OrderTaken(_order_decoder.decode(answer.body).clock_ms)
    except msgspec.MsgspecError as error:
        return OrderUnknown(f'answer not understood: {error}')


def _denied(answer: Answer) -> OrderDenied | OrderUnknown:
    try:
        reason = _order_decoder.decode(answer.body).reason
    except msgspec.MsgspecError as error:
        return OrderUnknown(f'answer not understood: {error}')
    return OrderDenied(_DENIAL_BY_REASON.get(reason, Denial.invalid))


def _running(row: _RunningRow) -> RunningReport:
    return RunningReport(
        RunKey(task_key(row.task), row.run),
        row.checkpoint or '',
        row.percent,
        row.figure or 0,
    )


def _ended(row: _EndRow) -> EndReport:
    return EndReport(
        row.number,
        RunKey(task_key(row.task), row.run),
        EndKind(row.kind),
        row.checkpoint or '',
    )
