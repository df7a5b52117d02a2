"""Callers that check their outcomes against the executed requests."""

import asyncio
import collections
import contextvars

from waxwingford.routing import Answered, Refused
from waxwingford.routing.tests.fakes import sleep_ms


class Callers:
    def __init__(self, region):
        self._region = region
        self._first_s_by_key = {}
        self._attempts_by_key = collections.Counter()
        self._sent = []
        self._ids_by_key = collections.defaultdict(list)

    def send_keyed(self, key, daemon_id, delay_ms, states_age):
        """Send the next attempt of a key."""
        now_s = self._region.loop.time()
        first_s = self._first_s_by_key.setdefault(key, now_s)
        self._attempts_by_key[key] += 1
        attempt = self._attempts_by_key[key]
        age_ms = round((now_s - first_s) * 1000)
        late = age_ms > self._region.limits.key_memory_ms // 2
        fields = {
            'idempotent': False,
            'key': key,
            'attempt': attempt,
            # Callers must state the age after half the retention period.
            'age_ms': age_ms if states_age or late else -1,
            'body': key.encode(),
            'deadline_ms': 400,
        }
        self._send(daemon_id, delay_ms, key, fields)

    def send_burst(self, daemon_id, count, urgency):
        """Send idempotent requests and non-idempotent ones without a key."""
        for number in range(count):
            fields = {
                'idempotent': number % 3 > 0,
                'urgency': urgency,
                'body': f'{len(self._sent)}'.encode(),
                'deadline_ms': 200,
            }
            self._send(daemon_id, 0, '', fields)

    def outcome_counts(self):
        outcomes = (self._outcome(sent[1]) for sent in self._sent)
        return collections.Counter(type(one).__name__ for one in outcomes)

    def check_all(self):
        counts = collections.Counter(self._region.executed_ids())
        for request, task in self._sent:
            self._check_one(request, self._outcome(task), counts)
        for key, request_ids in self._ids_by_key.items():
            runs = sum(counts[one] for one in request_ids)
            assert runs <= 1, f'{key} executed {runs} times: {request_ids}'

    def _check_one(self, request, outcome, counts):
        executions = counts[request.request_id]
        if not request.idempotent:
            assert executions <= 1, f'{request} was executed {executions} times'
        if isinstance(outcome, Refused):
            assert not executions, f'{request} was executed, but {outcome}'
        if isinstance(outcome, Answered):
            assert outcome.body == request.body, (request, outcome)
            ids = self._ids_by_key[request.key] if request.key else ()
            replayed = any(counts[one] for one in ids)
            assert executions or replayed, (
                f'{request} was never executed, but {outcome}'
            )

    def _send(self, daemon_id, delay_ms, key, fields):
        request = self._region.request(daemon_id, **fields)
        if key:
            self._ids_by_key[key].append(request.request_id)
        task = self._region.loop.create_task(
            self._deliver(daemon_id, request, delay_ms, key),
            context=contextvars.Context(),
        )
        self._sent.append((request, task))

    async def _deliver(self, daemon_id, request, delay_ms, key):
        await sleep_ms(delay_ms)
        if self._region.dispatcher_by_id[daemon_id] is None:
            return None
        serving = self._region.begin(daemon_id, request)
        await asyncio.wait((serving,))
        outcome = None if serving.cancelled() else serving.result()
        if isinstance(outcome, Refused) and request.attempt > 1:
            self._check_refused_retry(key)
        return outcome

    def _check_refused_retry(self, key):
        # A refused retry means that no attempt of the key was executed.
        counts = collections.Counter(self._region.executed_ids())
        assert not any(counts[one] for one in self._ids_by_key[key]), key

    def _outcome(self, task):
        return task.result() if task.done() and not task.cancelled() else None
