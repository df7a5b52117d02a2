"""At-most-once execution of non-idempotent requests with a key."""

import asyncio

import xxhash

from waxwingford.kernel import Clock
from waxwingford.routing._calls import CallOutcome, NotExecuted
from waxwingford.routing._evidence import refuse_or_unknown
from waxwingford.routing._key_messages import (
    KeyBodyMismatch,
    KeyDecision,
    KeyExecuted,
    KeyId,
    KeyInProgress,
    KeyStoreFull,
    KeySuperseded,
    MayRun,
    MustLookUp,
    Requester,
)
from waxwingford.routing._key_store import KeyStore
from waxwingford.routing._limits import DispatchLimits
from waxwingford.routing._messages import (
    Answered,
    KeyLookupAnswer,
    KeyLookupState,
    Outcome,
    Refused,
    Rejected,
    Request,
    Unknown,
)
from waxwingford.routing._ports import PeerForwarder
from waxwingford.routing._retry_decision import (
    BODY_MISMATCH,
    IN_PROGRESS_RETRY_MS,
    UNREACHABLE_RETRY_MS,
    decide_retry,
    first_attempt_age_ms,
)
from waxwingford.routing._stall_detector import (
    STALL_THRESHOLD_MS,
    StallDetector,
)

_MS_IN_S = 1000
_SEPARATOR = b'\x00'
#: Retry delay when the key store is full, in milliseconds.
FULL_RETRY_MS = 5000


def body_digest(request: Request) -> bytes:
    """Compute the digest that detects reuse of a key for another request.

    :returns: digest of service, path and body, 16 bytes.
    """
    digest = xxhash.xxh3_128()
    digest.update(request.service.encode())
    digest.update(_SEPARATOR)
    digest.update(request.path.encode())
    digest.update(_SEPARATOR)
    digest.update(request.body)
    return digest.digest()


def entry_daemon(request_id: str) -> str:
    """Extract the id of the entry daemon from a request id.

    :param request_id: ``<daemon id>/<incarnation>/<number>``.
    """
    return request_id.partition('/')[0]


class KeyGate:
    """Decides whether a request with a key may run and records its outcome."""

    def __init__(
        self,
        daemon_id: str,
        limits: DispatchLimits,
        peers: PeerForwarder,
        clock: Clock,
    ) -> None:
        """Create a gate with an empty key store.

        :param daemon_id: id of this daemon.
        :param peers: client for key lookups at the other daemons.
        :param clock: source of monotonic time.
        """
        self._daemon_id = daemon_id
        self._limits = limits
        self._peers = peers
        self._clock = clock
        self._started_ms = clock.monotonic_ms()
        self._stall_detector = StallDetector(
            self._started_ms, limits.delivery_ms + STALL_THRESHOLD_MS
        )
        self._key_store = KeyStore(limits)
        self._lookups = 0

    def tick(self) -> None:
        """Record that the process is running, for stall detection."""
        self._stall_detector.tick(self._clock.monotonic_ms())

    async def enter(
        self, request: Request, daemon_ids: frozenset[str]
    ) -> MayRun | Outcome:
        """Register an attempt and decide whether it may run.

        :param request: non-idempotent request with a key.
        :param daemon_ids: ids of all other daemons, to be queried for a retry.
        """
        self.tick()
        max_wait_ms = self._stall_detector.max_wait_ms(
            self._clock.monotonic_ms()
        )
        is_first = self._counts_as_first(request)
        decision = self._begin(request, is_first)
        match decision:
            case MayRun():
                return decision
            case MustLookUp():
                return await self._look_up(request, daemon_ids, max_wait_ms)
            case KeyExecuted(outcome=Answered() as outcome):
                return outcome
            case KeyExecuted():
                return Unknown(
                    'an earlier attempt may have been executed', FULL_RETRY_MS
                )
            case KeyInProgress() | KeySuperseded():
                return Unknown(
                    'another attempt is in progress', IN_PROGRESS_RETRY_MS
                )
            case KeyBodyMismatch():
                return BODY_MISMATCH
            case KeyStoreFull():
                return refuse_or_unknown(
                    request, 'key store is full', FULL_RETRY_MS
                )

    def finish(self, request: Request, outcome: Outcome) -> None:
        """Record the outcome of an attempt that was permitted to run."""
        self._key_store.finish(_key_id(request), outcome, self._now_ms())

    def record_late_outcome(
        self, request: Request, outcome: CallOutcome
    ) -> None:
        """Record an outcome that arrived after the caller was answered."""
        if request.idempotent or not request.key:
            return
        match outcome:
            case Answered():
                self._key_store.finish_late(
                    _key_id(request), outcome, self._now_ms()
                )
            case NotExecuted(reason=reason):
                self._key_store.finish_late(
                    _key_id(request), Refused(reason, 0), self._now_ms()
                )

    def answer_lookup(
        self, member: str, key: str, digest: bytes, requester: str
    ) -> KeyLookupAnswer:
        """Answer a key lookup by another daemon and record the lookup.

        :param member: owner of the key.
        :param digest: digest of service, path and body.
        :param requester: id of the daemon that sent the lookup.
        :returns: state of the key on this daemon.
        """
        self.tick()
        now_ms = self._now_ms()
        state, outcome = self._key_store.answer_lookup(
            KeyId(member, key),
            digest,
            Requester(requester, requester < self._daemon_id),
            now_ms,
        )
        return KeyLookupAnswer(state, self._uptime_ms(), outcome)

    def _counts_as_first(self, request: Request) -> bool:
        # A daemon that started while the attempt was in transit has lost the
        # lookups that its predecessor answered, so a retry may be running
        # elsewhere.  It handles the first attempt like a retry.
        is_past_startup = self._uptime_ms() >= self._limits.delivery_ms
        return request.attempt == 1 and is_past_startup

    def _begin(self, request: Request, is_first: bool) -> KeyDecision:
        key_id = _key_id(request)
        digest = body_digest(request)
        now_ms = self._now_ms()
        if request.hops:
            return self._key_store.begin_forwarded(
                key_id, digest, entry_daemon(request.request_id), now_ms
            )
        return self._key_store.begin(key_id, digest, is_first, now_ms)

    async def _look_up(
        self, request: Request, daemon_ids: frozenset[str], max_wait_ms: int
    ) -> MayRun | Outcome:
        key_id = _key_id(request)
        decision: MayRun | Answered | Unknown | Rejected = Unknown(
            'too many key lookups in progress', UNREACHABLE_RETRY_MS
        )
        try:
            decision = await self._query_and_decide(
                request, daemon_ids, max_wait_ms
            )
        finally:
            # Also on cancellation: the key must not stay in progress.
            match decision:
                case MayRun() if not self._key_store.start_retry(key_id):
                    decision = Unknown(
                        'a concurrent retry has priority', IN_PROGRESS_RETRY_MS
                    )
                    self._key_store.abandon_lookup(key_id, self._now_ms())
                case Answered():
                    self._key_store.finish(key_id, decision, self._now_ms())
                case Unknown() | Rejected():
                    self._key_store.abandon_lookup(key_id, self._now_ms())
        return decision

    async def _query_and_decide(
        self, request: Request, daemon_ids: frozenset[str], max_wait_ms: int
    ) -> MayRun | Answered | Unknown | Rejected:
        limits = self._limits
        age_ms = first_attempt_age_ms(
            request,
            limits.key_memory_ms,
            limits.delivery_ms + max_wait_ms,
        )
        if age_ms > limits.key_memory_ms:
            return Unknown(
                'first attempt may be older than the retention period of keys',
                limits.key_memory_ms,
            )
        if self._lookups >= limits.max_lookups:
            return Unknown(
                'too many key lookups in progress', UNREACHABLE_RETRY_MS
            )
        answers = dict.fromkeys(
            daemon_ids, KeyLookupAnswer(KeyLookupState.unreachable, 0)
        )
        answers.update(await self._query_peers(request))
        answers[self._daemon_id] = KeyLookupAnswer(
            KeyLookupState.never_seen, self._uptime_ms()
        )
        return decide_retry(answers, age_ms)

    async def _query_peers(
        self, request: Request
    ) -> dict[str, KeyLookupAnswer]:
        timeout_ms = min(self._limits.lookup_timeout_ms, request.deadline_ms)
        lookups = self._peers.look_up_key(
            request.member, request.key, body_digest(request)
        )
        self._lookups += 1
        try:
            return await asyncio.wait_for(lookups, timeout_ms / _MS_IN_S)
        except asyncio.TimeoutError:
            return {}
        finally:
            self._lookups -= 1

    def _now_ms(self) -> int:
        # Keys do not expire during a stall, because a request that arrived
        # before or during it must still find their records.
        return self._stall_detector.active_ms(self._clock.monotonic_ms())

    def _uptime_ms(self) -> int:
        return self._clock.monotonic_ms() - self._started_ms


def _key_id(request: Request) -> KeyId:
    return KeyId(request.member, request.key)
