"""Gate of non-idempotent requests with a key: each runs at most once."""

import asyncio

import xxhash

from waxwingford.kernel import Clock
from waxwingford.routing._calls import CallOutcome, NotRun
from waxwingford.routing._evidence import turn_away
from waxwingford.routing._key_messages import (
    Asker,
    KeyDecision,
    KeyId,
    KeyInProgress,
    KeyMemoryFull,
    KeyOfOtherBody,
    KeyRan,
    KeySuperseded,
    MayRun,
    MustRecall,
)
from waxwingford.routing._keys import KeyMemory
from waxwingford.routing._limits import DispatchLimits
from waxwingford.routing._messages import (
    Answered,
    Outcome,
    RecallAnswer,
    RecallState,
    Refused,
    Rejected,
    Request,
    Unknown,
)
from waxwingford.routing._ports import PeerForwarder
from waxwingford.routing._recall import (
    IN_PROGRESS_RETRY_MS,
    OTHER_BODY,
    UNREACHABLE_RETRY_MS,
    decide_recall,
    first_attempt_age_ms,
)
from waxwingford.routing._stalls import STALL_MS, StallWatch

_MS_IN_S = 1000
_SEPARATOR = b'\x00'
#: When to come back after the key memory was full, in milliseconds.
FULL_RETRY_MS = 5000


def body_digest(request: Request) -> bytes:
    """Digest what a key stands for, so that another use of it shows.

    :param request: the request.
    :returns: 16 bytes.
    """
    digest = xxhash.xxh3_128()
    digest.update(request.service.encode())
    digest.update(_SEPARATOR)
    digest.update(request.path.encode())
    digest.update(_SEPARATOR)
    digest.update(request.body)
    return digest.digest()


def entry_daemon(request_id: str) -> str:
    """Read who gave a request its id.

    :param request_id: ``<daemon id>/<incarnation>/<number>``.
    :returns: daemon id.
    """
    return request_id.partition('/')[0]


class KeyGate:
    """Decides whether a request with a key may run, and remembers its end."""

    def __init__(
        self,
        daemon_id: str,
        limits: DispatchLimits,
        peers: PeerForwarder,
        clock: Clock,
    ) -> None:
        """Start with an empty memory.

        :param daemon_id: this daemon.
        :param limits: bounds of time and memory.
        :param peers: asks the other daemons.
        :param clock: monotonic time.
        """
        self._daemon_id = daemon_id
        self._limits = limits
        self._peers = peers
        self._clock = clock
        self._started_ms = clock.monotonic_ms()
        self._stalls = StallWatch(
            self._started_ms, limits.delivery_ms + STALL_MS
        )
        self._keys = KeyMemory(limits)
        self._recalls = 0

    def alive(self) -> None:
        """Take in a sign of life of the process."""
        self._stalls.alive(self._clock.monotonic_ms())

    async def enter(
        self, request: Request, daemon_ids: frozenset[str]
    ) -> MayRun | Outcome:
        """Register an attempt and find out whether it may run.

        :param request: non-idempotent, with a key.
        :param daemon_ids: all other daemons that must be asked.
        :returns: permission to run, or the outcome.
        """
        self.alive()
        waited_ms = self._stalls.waited_ms(self._clock.monotonic_ms())
        first = self._counts_as_first(request)
        decision = self._begin(request, first)
        match decision:
            case MayRun():
                return decision
            case MustRecall():
                return await self._recall(request, daemon_ids, waited_ms)
            case KeyRan(outcome=Answered() as outcome):
                return outcome
            case KeyRan():
                return Unknown('an attempt ran or may have', FULL_RETRY_MS)
            case KeyInProgress() | KeySuperseded():
                return Unknown(
                    'another attempt is in progress', IN_PROGRESS_RETRY_MS
                )
            case KeyOfOtherBody():
                return OTHER_BODY
            case KeyMemoryFull():
                return turn_away(request, 'key memory is full', FULL_RETRY_MS)

    def finish(self, request: Request, outcome: Outcome) -> None:
        """Remember how an attempt that was let run ended.

        :param request: the request.
        :param outcome: its outcome.
        """
        self._keys.finish(_key_id(request), outcome, self._now_ms())

    def ended_late(self, request: Request, outcome: CallOutcome) -> None:
        """Remember an end that came after the caller's final answer.

        :param request: the request.
        :param outcome: what came late.
        """
        if request.idempotent or not request.key:
            return
        match outcome:
            case Answered():
                self._keys.finish_late(
                    _key_id(request), outcome, self._now_ms()
                )
            case NotRun(reason=reason):
                self._keys.finish_late(
                    _key_id(request), Refused(reason, 0), self._now_ms()
                )

    def answer(
        self, member: str, key: str, digest: bytes, asker: str
    ) -> RecallAnswer:
        """Answer another daemon's question and remember the key.

        :param member: owner of the key.
        :param key: idempotency key.
        :param digest: digest of service, path and body.
        :param asker: daemon that asks.
        :returns: what is known here.
        """
        self.alive()
        now_ms = self._now_ms()
        state, outcome = self._keys.asked(
            KeyId(member, key),
            digest,
            Asker(asker, asker < self._daemon_id),
            now_ms,
        )
        return RecallAnswer(state, self._up_ms(), outcome)

    def _counts_as_first(self, request: Request) -> bool:
        # A daemon that started while the first attempt was under way has lost
        # the questions that its predecessor was asked: the attempt could run
        # beside a retry elsewhere.  A later start is no danger, the questions
        # came to this process then.
        old_enough = self._up_ms() >= self._limits.delivery_ms
        return request.attempt == 1 and old_enough

    def _begin(self, request: Request, first: bool) -> KeyDecision:
        key_id = _key_id(request)
        digest = body_digest(request)
        now_ms = self._now_ms()
        if request.hops:
            return self._keys.begin_forwarded(
                key_id, digest, entry_daemon(request.request_id), now_ms
            )
        return self._keys.begin(key_id, digest, first, now_ms)

    async def _recall(
        self, request: Request, daemon_ids: frozenset[str], waited_ms: int
    ) -> MayRun | Outcome:
        key_id = _key_id(request)
        decision: MayRun | Answered | Unknown | Rejected = Unknown(
            'too many retries are being looked up', UNREACHABLE_RETRY_MS
        )
        try:
            decision = await self._ask_and_decide(
                request, daemon_ids, waited_ms
            )
        finally:
            # Also after a cancellation: the key must not stay in progress.
            match decision:
                case MayRun() if not self._keys.won(key_id):
                    decision = Unknown(
                        'another retry goes first', IN_PROGRESS_RETRY_MS
                    )
                    self._keys.give_up_recall(key_id, self._now_ms())
                case Answered():
                    self._keys.finish(key_id, decision, self._now_ms())
                case Unknown() | Rejected():
                    self._keys.give_up_recall(key_id, self._now_ms())
        return decision

    async def _ask_and_decide(
        self, request: Request, daemon_ids: frozenset[str], waited_ms: int
    ) -> MayRun | Answered | Unknown | Rejected:
        limits = self._limits
        age_ms = first_attempt_age_ms(
            request,
            limits.key_memory_ms,
            limits.delivery_ms + waited_ms,
        )
        if age_ms > limits.key_memory_ms:
            return Unknown(
                'too long ago: what ran is no longer remembered',
                limits.key_memory_ms,
            )
        if self._recalls >= limits.recalls:
            return Unknown(
                'too many retries are being looked up', UNREACHABLE_RETRY_MS
            )
        answers = dict.fromkeys(
            daemon_ids, RecallAnswer(RecallState.unreachable, 0)
        )
        answers.update(await self._ask_all(request))
        answers[self._daemon_id] = RecallAnswer(
            RecallState.never_seen, self._up_ms()
        )
        return decide_recall(answers, age_ms)

    async def _ask_all(self, request: Request) -> dict[str, RecallAnswer]:
        timeout_ms = min(self._limits.recall_timeout_ms, request.deadline_ms)
        question = self._peers.recall_all(
            request.member, request.key, body_digest(request)
        )
        self._recalls += 1
        try:
            return await asyncio.wait_for(question, timeout_ms / _MS_IN_S)
        except asyncio.TimeoutError:
            return {}
        finally:
            self._recalls -= 1

    def _now_ms(self) -> int:
        # Keys do not age during a stall: a request that waited for its end
        # must still meet the records that stood when it came.
        return self._stalls.running_ms(self._clock.monotonic_ms())

    def _up_ms(self) -> int:
        return self._clock.monotonic_ms() - self._started_ms


def _key_id(request: Request) -> KeyId:
    return KeyId(request.member, request.key)
