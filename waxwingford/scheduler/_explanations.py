"""Answers where a job would go now, on the daemon that owns the shard."""

import time
from collections.abc import Callable
from http import HTTPStatus

import msgspec

from waxwingford.http_server import Request, Response
from waxwingford.kernel import SystemClock
from waxwingford.metrics import Metrics
from waxwingford.scheduler._time_budget import TimeBudget
from waxwingford.scheduling import (
    DocumentFault,
    Moment,
    decode_job,
    explain_placement,
)
from waxwingford.shard import ShardMember
from waxwingford.shard._clocks import monotonic_ms
from waxwingford.shard._owner_ports import OwnerView

#: Time in seconds that the owner spends on questions in each second, so that they
#: delay no decision for long.
MAX_TIME_S = 0.02
#: Largest question, in bytes. Decoding one takes some ms.
MAX_BODY_BYTES = 131_072
#: Queues that are named to a caller who has named an unknown one.
_MAX_QUEUES = 20
#: Time after which a daemon is asked again that knows no owner, in seconds.
_NO_OWNER_RETRY_S = 1
_JSON_CONTENT_TYPE = 'application/json'

_wall_clock = SystemClock()


class PlacementExplanations:
    """Answers questions about jobs that aren't submitted."""

    def __init__(
        self,
        daemon_id: str,
        member: ShardMember,
        metrics: Metrics,
        clock_s: Callable[[], float] = time.perf_counter,
    ) -> None:
        """Create the answers of a daemon, whether or not it owns the shard.

        :param clock_s: monotonic clock, in seconds, that measures the answers.
        """
        self._daemon_id = daemon_id
        self._member = member
        self._metrics = metrics
        self._budget = TimeBudget(MAX_TIME_S, clock_s)

    def answer(self, request: Request) -> Response:
        """Answer one question.

        :param request: request whose body is a job as JSON.
        """
        response = self._answer(request.body)
        self._metrics.count(
            'placement_questions_total', status=str(int(response.status))
        )
        return response

    def _answer(self, raw: bytes) -> Response:
        owner = self._member.owner
        if owner is None:
            return self._name_owner()
        if not owner.ready or owner.view is None:
            return _refuse('this daemon is taking the shard over')
        if not owner.view.placement.state.terms.version:
            return _refuse('the owner has read no configuration yet')
        retry_after_s = self._budget.retry_after_s()
        if retry_after_s:
            return _refuse(
                'the owner has no more time for questions',
                HTTPStatus.TOO_MANY_REQUESTS,
                retry_after_s,
            )
        if len(raw) > MAX_BODY_BYTES:
            return _reject(
                DocumentFault(
                    '(whole file)',
                    f'{len(raw)} bytes',
                    f'at most {MAX_BODY_BYTES} bytes',
                )
            )
        with self._budget.measure():
            return self._explain(raw, owner.view)

    def _explain(self, raw: bytes, view: OwnerView) -> Response:
        spec = decode_job(raw)
        if isinstance(spec, DocumentFault):
            return _reject(spec)
        queues = view.placement.state.terms.queue_by_name
        if spec.queue not in queues:
            known = ', '.join(sorted(queues)[:_MAX_QUEUES])
            return _reject(
                DocumentFault('queue', repr(spec.queue), f'one of {known}')
            )
        moment = Moment(monotonic_ms(), _wall_clock.wall_ms())
        load_report = view.load_report().bounded()
        refusal = load_report.refusal(spec, queues[spec.queue])
        if refusal is not None:
            moment = moment._replace(
                retry_after_s=refusal.retry_after_s,
                refusal_cause=refusal.cause.value,
                refusal_reason=refusal.reason,
            )
        report = explain_placement(
            view.placement, spec, moment, self._budget.has_time
        )
        return _respond(HTTPStatus.OK, {'owner': self._daemon_id, **report})

    def _name_owner(self) -> Response:
        record = self._member.owner_record
        gone = not self._member.knows_owner
        if record is None or gone or record.daemon_id == self._daemon_id:
            return _refuse('the shard has no owner that this daemon knows')
        return _respond(
            HTTPStatus.MISDIRECTED_REQUEST,
            {'owner': record.daemon_id, 'address': record.metrics_endpoint},
        )


def _respond(
    status: HTTPStatus, content: dict[str, object], retry_after_s: int = 0
) -> Response:
    headers = {'Retry-After': str(retry_after_s)} if retry_after_s else {}
    return Response(
        status, msgspec.json.encode(content), _JSON_CONTENT_TYPE, headers
    )


def _refuse(
    reason: str,
    status: HTTPStatus = HTTPStatus.SERVICE_UNAVAILABLE,
    retry_after_s: int = _NO_OWNER_RETRY_S,
) -> Response:
    return _respond(status, {'reason': reason}, retry_after_s)


def _reject(fault: DocumentFault) -> Response:
    return _respond(HTTPStatus.BAD_REQUEST, fault._asdict())
