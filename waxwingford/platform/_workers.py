"""Client of the platform's workers, the backend servers of the scheduler."""

from http import HTTPStatus
from typing import Annotated

import msgspec

from waxwingford.platform._decoding import MAX_EXACT_NUMBER, decode_json
from waxwingford.platform._http_client import (
    HttpClient,
    HttpResponse,
    NoResponse,
    NotSent,
    RequestOutcome,
)
from waxwingford.scheduling import (
    Address,
    EndKind,
    EndReport,
    OrderAccepted,
    OrderNotSent,
    OrderOutcome,
    OrderOutcomeUnknown,
    OrderRefused,
    PollOrder,
    PollOutcome,
    PollResult,
    RefusalReason,
    RunKey,
    RunningReport,
    ServerReplaced,
    StartOrder,
    TaskKey,
)

#: Timeout of an order, in seconds: servers normally answer within milliseconds;
#: the outcome of a lost order is found by polling the server.
ORDER_TIMEOUT_S = 0.6
#: Timeout of a poll in addition to the long-poll time, in seconds.
POLL_TIMEOUT_S = 0.8
#: Runs, and ends of runs, that a server may list in one answer: several times what
#: the largest server has room for.
MAX_LISTED = 10_000
_MS_PER_S = 1000
_DENIAL_BY_REASON = {
    'fence': RefusalReason.fenced,
    'old': RefusalReason.superseded,
    'late': RefusalReason.too_late,
    'room': RefusalReason.no_room,
    'ticket': RefusalReason.no_ticket,
}


# Counts, and times in whole ms.
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_NUMBER)]
_Figure = Annotated[float, msgspec.Meta(ge=0, le=MAX_EXACT_NUMBER)]


class _OrderBody(msgspec.Struct, rename='kebab'):
    clock_ms: _Count = 0
    reason: str = ''


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    run: _Count
    checkpoint: str | None
    percent: _Figure
    # Over the last 0.5 s: tail latency in ms, or CPU in use.
    measured_value: _Figure | None = None


class _EndRow(msgspec.Struct, array_like=True):
    number: _Count
    task: str
    run: _Count
    kind: str
    checkpoint: str | None = None


class _PollBody(msgspec.Struct, rename='kebab'):
    clock_ms: _Count
    running: Annotated[list[_RunningRow], msgspec.Meta(max_length=MAX_LISTED)]
    ended_runs: Annotated[list[_EndRow], msgspec.Meta(max_length=MAX_LISTED)]
    # Unix time in ms at which the worker started.
    born: _Count = 0


_CheckedOutcome = (
    HttpResponse
    | OrderRefused
    | ServerReplaced
    | OrderNotSent
    | OrderOutcomeUnknown
)
_order_decoder = msgspec.json.Decoder(_OrderBody)
_poll_decoder = msgspec.json.Decoder(_PollBody)


class PlatformWorkers:
    """Client of all workers of the platform."""

    def __init__(self, http_client: HttpClient) -> None:
        self._http_client = http_client

    async def start(self, address: Address, order: StartOrder) -> OrderOutcome:
        """Send an order to start a run, without retries."""
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
        return await self._send_order(address, '/api/run-start', content)

    async def stop(
        self, address: Address, run: RunKey, fencing_token: int
    ) -> OrderOutcome:
        """Stop a run; the server rejects a later start of the same run.

        :param fencing_token: fencing token of the shard's owner.
        """
        content = {
            'task': str(run.task),
            'run-id': run.run,
            'fence': fencing_token,
        }
        return await self._send_order(address, '/api/run-stop', content)

    async def pace(
        self, address: Address, run: RunKey, percent: int, fencing_token: int
    ) -> OrderOutcome:
        """Limit the speed of a run.

        :param percent: share of its full speed, 0 to 100.
        :param fencing_token: fencing token of the shard's owner.
        """
        content = {
            'task': str(run.task),
            'run-id': run.run,
            'percent': percent,
            'fence': fencing_token,
        }
        return await self._send_order(address, '/api/pace', content)

    async def poll(self, address: Address, order: PollOrder) -> PollOutcome:
        """Extend the lease of a server and list its runs.

        :param order: lease, last acknowledged end, and long-poll time.
        :returns: the running and ended runs, or the reason why there are none.
        """
        content: dict[str, object] = {'fence': order.fencing_token}
        if order.lease_until_ms is not None:
            content['deadline-ms'] = order.lease_until_ms
        if order.wait_ms:
            content['wait-ms'] = order.wait_ms
        addressee = (address.server_id, order.started_ms)

        def content_for(peer: object) -> dict[str, object]:
            known = peer == addressee
            content['ack-cursor'] = order.acknowledged_end if known else 0
            return content

        response = _check_outcome(
            await self._http_client.post_json_to_peer(
                address.endpoint,
                '/api/hold',
                content_for,
                _headers(address),
                order.wait_ms / _MS_PER_S + POLL_TIMEOUT_S,
            )
        )
        if not isinstance(response, HttpResponse):
            return response
        try:
            body = decode_json(_poll_decoder, response.body)
            answer = _poll_result(body, content['ack-cursor'])
        except (msgspec.MsgspecError, ValueError) as error:
            return OrderOutcomeUnknown(f'response not decoded: {error}')
        response.note_peer((address.server_id, answer.started_ms))
        return answer

    async def _send_order(
        self, address: Address, path: str, content: dict[str, object]
    ) -> OrderOutcome:
        response = await self._post(address, path, content, ORDER_TIMEOUT_S)
        if not isinstance(response, HttpResponse):
            return response
        return _decode_order(response)

    async def _post(
        self,
        address: Address,
        path: str,
        content: dict[str, object],
        timeout_s: float,
    ) -> _CheckedOutcome:
        return _check_outcome(
            await self._http_client.post_json(
                address.endpoint, path, content, _headers(address), timeout_s
            )
        )


def parse_task_key(name: str) -> TaskKey:
    """Parse the name of a task.

    :param name: job id, repetition, step and index, separated by dots.
    :raises ValueError: if the name has another form.
    """
    job_id, occurrence, step, index = name.split('.')
    return TaskKey(job_id, int(occurrence), int(step), int(index))


def _headers(address: Address) -> dict[str, str]:
    return {'X-Expect-Instance': address.server_id}


def _check_outcome(outcome: RequestOutcome) -> _CheckedOutcome:
    match outcome:
        case NotSent(reason):
            return OrderNotSent(reason)
        case NoResponse(reason, connection_closed):
            return OrderOutcomeUnknown(reason, connection_closed)
        case HttpResponse():
            return _check_status(outcome)


def _check_status(
    response: HttpResponse,
) -> HttpResponse | OrderRefused | ServerReplaced | OrderOutcomeUnknown:
    match response.status:
        case HTTPStatus.OK:
            return response
        case HTTPStatus.MISDIRECTED_REQUEST:
            return ServerReplaced()
        case HTTPStatus.CONFLICT:
            return _decode_denial(response)
        case HTTPStatus.TOO_MANY_REQUESTS | HTTPStatus.SERVICE_UNAVAILABLE:
            return OrderRefused(RefusalReason.unhealthy)
        case HTTPStatus.BAD_REQUEST:
            return OrderRefused(RefusalReason.invalid)
        case _:
            return OrderOutcomeUnknown(f'status {response.status}')


def _poll_result(body: _PollBody, acknowledged_end: int) -> PollResult:
    return PollResult(
        body.clock_ms,
        tuple(map(_running_report, body.running)),
        tuple(map(_end_report, body.ended_runs)),
        body.born,
        acknowledged_end,
    )


def _decode_order(
    response: HttpResponse,
) -> OrderAccepted | OrderOutcomeUnknown:
    try:
        return OrderAccepted(
            decode_json(_order_decoder, response.body).clock_ms
        )
    except msgspec.MsgspecError as error:
        return OrderOutcomeUnknown(f'response not decoded: {error}')


def _decode_denial(
    response: HttpResponse,
) -> OrderRefused | OrderOutcomeUnknown:
    try:
        reason = decode_json(_order_decoder, response.body).reason
    except msgspec.MsgspecError as error:
        return OrderOutcomeUnknown(f'response not decoded: {error}')
    return OrderRefused(_DENIAL_BY_REASON.get(reason, RefusalReason.invalid))


def _running_report(row: _RunningRow) -> RunningReport:
    return RunningReport(
        RunKey(parse_task_key(row.task), row.run),
        row.checkpoint or '',
        row.percent,
        row.measured_value or 0,
    )


def _end_report(row: _EndRow) -> EndReport:
    return EndReport(
        row.number,
        RunKey(parse_task_key(row.task), row.run),
        EndKind(row.kind),
        row.checkpoint or '',
    )
