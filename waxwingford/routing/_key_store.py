"""Store of idempotency keys, bounded per member, with expiry."""

import collections
import dataclasses
import enum

from waxwingford.kernel import Invariant, check_invariant
from waxwingford.routing._answer_cache import AnswerCache
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
from waxwingford.routing._limits import DispatchLimits
from waxwingford.routing._messages import (
    Answered,
    KeyLookupState,
    Outcome,
    Refused,
    Rejected,
    Unknown,
)


class _KeyState(enum.Enum):
    looked_up = (
        'looked up by another daemon or a declined retry; not executed here'
    )
    looking_up = 'a retry on this daemon queries the other daemons'
    running = 'an attempt may be running'
    answered = 'an attempt was executed and its answer received'
    unknown = 'an attempt may have been executed'


@dataclasses.dataclass(slots=True)
class _KeyRecord:
    digest: bytes
    state: _KeyState
    expires_ms: int = 0
    was_looked_up: bool = False
    yielded: bool = False
    requester: str = ''


class KeyStore:
    """Idempotency keys received by this daemon or looked up by others."""

    def __init__(self, limits: DispatchLimits) -> None:
        self._limits = limits
        self._record_by_id: dict[KeyId, _KeyRecord] = {}
        self._count_by_member: collections.Counter[str] = collections.Counter()
        self._expiries: collections.deque[tuple[int, KeyId]] = (
            collections.deque()
        )
        self._answers = AnswerCache(limits.answer_cache_bytes)

    def begin(
        self, key_id: KeyId, digest: bytes, is_first: bool, now_ms: int
    ) -> KeyDecision:
        """Register an attempt before any other processing.

        :param digest: digest of service, path and body.
        :param is_first: whether the attempt is handled as the first one.
        :param now_ms: monotonic time, in milliseconds.
        """
        self._expire(now_ms)
        record = self._record_by_id.get(key_id)
        if record is None:
            return self._register(key_id, digest, is_first)
        if record.digest not in {b'', digest}:
            return KeyBodyMismatch()
        match record.state:
            case _KeyState.looked_up if is_first:
                # Its caller may have been told that the retry was refused.
                return KeySuperseded()
            case _KeyState.looked_up:
                record.digest = digest
                record.yielded = False
                record.state = _KeyState.looking_up
                return MustLookUp()
            case _KeyState.looking_up | _KeyState.running:
                return KeyInProgress()
            case _:
                return KeyExecuted(self._answers.get(key_id))

    def begin_forwarded(
        self, key_id: KeyId, digest: bytes, entry_daemon: str, now_ms: int
    ) -> KeyDecision:
        """Register an attempt that the entry daemon has already registered.

        :param digest: digest of service, path and body.
        :param now_ms: monotonic time, in milliseconds.
        """
        decision = self.begin(key_id, digest, True, now_ms)
        if not isinstance(decision, KeySuperseded):
            return decision
        record = self._record_by_id[key_id]
        if record.requester != entry_daemon:
            return decision
        # The lookup was sent for the retry that is being forwarded.
        record.digest = digest
        record.state = _KeyState.running
        return MayRun()

    def start_retry(self, key_id: KeyId) -> bool:
        """Start a retry after no daemon reported an execution.

        :returns: whether the retry may run; false if a concurrent retry on
            another daemon has priority.
        """
        record = self._record_by_id[key_id]
        check_invariant(
            record.state is _KeyState.looking_up,
            Invariant.at_most_once,
            f'{key_id.member}/{key_id.key}: retry from {record.state.name}',
        )
        if record.yielded:
            return False
        record.state = _KeyState.running
        return True

    def answer_lookup(
        self, key_id: KeyId, digest: bytes, requester: Requester, now_ms: int
    ) -> tuple[KeyLookupState, Answered | None]:
        """Answer a lookup by another daemon and record the key.

        Unknown keys are recorded too, so that a delayed first attempt does not
        run concurrently with the retry on the other daemon.

        :param digest: digest of service, path and body of the retry.
        :param now_ms: monotonic time, in milliseconds.
        :returns: state of the key, and the answer if it is still cached.
        """
        self._expire(now_ms)
        record = self._record_by_id.get(key_id)
        if record is None:
            return self._record_lookup(key_id, requester, now_ms), None
        if record.digest not in {b'', digest}:
            return KeyLookupState.other_body, None
        match record.state:
            case _KeyState.looked_up:
                record.requester = requester.daemon_id
                self._schedule_expiry(key_id, record, now_ms)
                return KeyLookupState.never_seen, None
            case _KeyState.looking_up if requester.has_priority:
                record.yielded = True
                return KeyLookupState.never_seen, None
            case _KeyState.looking_up | _KeyState.running:
                return KeyLookupState.running, None
            case _KeyState.answered:
                return KeyLookupState.answered, self._answers.get(key_id)
            case _:
                return KeyLookupState.unknown, None

    def finish(self, key_id: KeyId, outcome: Outcome, now_ms: int) -> None:
        """Record the outcome of an attempt that was registered here.

        :param outcome: outcome of the attempt; a refused or rejected one was
            not executed.
        :param now_ms: monotonic time, in milliseconds.
        """
        record = self._record_by_id[key_id]
        match outcome:
            case Refused() | Rejected():
                self._record_not_executed(key_id, record, now_ms)
                return
            case Answered():
                record.state = _KeyState.answered
                self._answers.put(key_id, outcome)
            case Unknown():
                record.state = _KeyState.unknown
        self._schedule_expiry(key_id, record, now_ms)

    def finish_late(self, key_id: KeyId, outcome: Outcome, now_ms: int) -> None:
        """Record an outcome that arrived after the attempt was abandoned.

        :param now_ms: monotonic time, in milliseconds.
        """
        record = self._record_by_id.get(key_id)
        if record is not None and record.state is _KeyState.unknown:
            self.finish(key_id, outcome, now_ms)

    def abandon_lookup(self, key_id: KeyId, now_ms: int) -> None:
        """End the lookup of a retry that may not run.

        :param now_ms: monotonic time, in milliseconds.
        """
        self._record_not_executed(key_id, self._record_by_id[key_id], now_ms)

    def _register(
        self, key_id: KeyId, digest: bytes, is_first: bool
    ) -> KeyDecision:
        if self._is_full(key_id.member):
            return KeyStoreFull()
        state = _KeyState.running if is_first else _KeyState.looking_up
        self._add(key_id, _KeyRecord(digest, state, was_looked_up=not is_first))
        return MayRun() if is_first else MustLookUp()

    def _record_lookup(
        self, key_id: KeyId, requester: Requester, now_ms: int
    ) -> KeyLookupState:
        if self._is_full(key_id.member):
            # Without a record, a delayed first attempt could still run here.
            return KeyLookupState.unknown
        record = _KeyRecord(b'', _KeyState.looked_up, was_looked_up=True)
        record.requester = requester.daemon_id
        self._add(key_id, record)
        self._schedule_expiry(key_id, record, now_ms)
        return KeyLookupState.never_seen

    def _is_full(self, member: str) -> bool:
        return self._count_by_member[member] >= self._limits.max_keys_per_member

    def _add(self, key_id: KeyId, record: _KeyRecord) -> None:
        self._record_by_id[key_id] = record
        self._count_by_member[key_id.member] += 1

    def _record_not_executed(
        self, key_id: KeyId, record: _KeyRecord, now_ms: int
    ) -> None:
        if record.was_looked_up:
            record.state = _KeyState.looked_up
            record.digest = b''
            self._schedule_expiry(key_id, record, now_ms)
        else:
            self._remove(key_id)

    def _schedule_expiry(
        self, key_id: KeyId, record: _KeyRecord, now_ms: int
    ) -> None:
        record.expires_ms = now_ms + self._limits.key_memory_ms
        self._expiries.append((record.expires_ms, key_id))

    def _expire(self, now_ms: int) -> None:
        while self._expiries and self._expiries[0][0] <= now_ms:
            expires_ms, key_id = self._expiries.popleft()
            record = self._record_by_id.get(key_id)
            in_progress = record and record.state in {
                _KeyState.looking_up,
                _KeyState.running,
            }
            if record and not in_progress and record.expires_ms <= expires_ms:
                self._remove(key_id)

    def _remove(self, key_id: KeyId) -> None:
        self._record_by_id.pop(key_id)
        self._count_by_member[key_id.member] -= 1
        self._answers.discard(key_id)
