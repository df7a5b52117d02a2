"""Steps for the bundle reader and for publishing."""

import asyncio

from behave import fixture, given, then, use_fixture, when

from waxwingford.bundles import (
    CONFIG_STREAM,
    Bundle,
    NotReady,
    PeerBundle,
    PeerUnavailable,
    Published,
    PublishRefused,
    canonical_bytes,
    compute_digest,
    decode_record,
    publish,
)
from waxwingford.bundles.tests.consortium import (
    TRUST,
    make_bodies,
    make_reader,
    next_body,
    signed_payload,
    signed_record,
)
from waxwingford.kernel import ManualClock
from waxwingford_standins.platform_log import FakeLog, LogCore, Outage

DOMAIN_DAEMONS = frozenset(('gulberg-1', 'gulberg-2'))


class FakePeers:
    """Peers with answers set by the scenario."""

    def __init__(self):
        self.answer_by_id = {
            name: PeerUnavailable('down') for name in DOMAIN_DAEMONS
        }

    async def fetch(self, after_version):
        return dict(self.answer_by_id)


class SmallReadLog(FakeLog):
    """Log that returns few entries per read, so that a start needs several."""

    async def read(self, stream, from_offset, limit, wait_ms=0):
        """Read at most three entries."""
        return await super().read(stream, from_offset, min(limit, 3), wait_ms)


class ReaderFixture:
    """A log, peers, and readers whose versions in force are recorded."""

    def __init__(self):
        self.clock = ManualClock()
        self.core = LogCore()
        self.log = SmallReadLog(self.core, self.clock)
        self.peers = FakePeers()
        self.bodies = make_bodies(80)
        self.readers = []
        self.versions = []
        self.events = []

    def append(self, payload):
        self.clock.advance(10)
        self.core.append(CONFIG_STREAM, payload, self.clock.monotonic_ms())

    def head(self):
        return self.core.read(CONFIG_STREAM, 0, 0, 0).next_offset

    def fill(self, first, last):
        for version in range(first, last + 1):
            body = self.bodies[version - 1]
            before = self.bodies[version - 2] if version > 1 else None
            self.append(signed_payload(body, before))

    def start(self):
        versions_in_force = []
        self.versions.append(versions_in_force)
        self.readers.append(
            make_reader(
                self.log,
                self.peers,
                self.clock,
                DOMAIN_DAEMONS,
                lambda seen: versions_in_force.append(seen.version),
                lambda kind, *_: self.events.append(kind),
            )
        )

    def step(self, count=30):
        for reader in self.readers:
            for _ in range(count):
                asyncio.run(reader.step())


@fixture
def bundle_rig(context):
    context.rig = ReaderFixture()
    yield context.rig


@given('the log holds bundle versions 1 to {last:d}')
def log_holds(context, last):
    use_fixture(bundle_rig, context)
    context.rig.fill(1, last)
    context.last = last


@given('the log is unavailable for bundle readers')
def log_unavailable(context):
    context.rig.core.faults.outage = Outage.refuse


@given('the log is available and holds bundle versions up to {last:d}')
@when('the log is available and holds bundle versions up to {last:d}')
def log_available(context, last):
    context.rig.core.faults.outage = Outage.none
    context.rig.fill(context.last + 1, last)


@given('bundle peer "{name}" has bundle version {version:d}')
@when('bundle peer "{name}" has bundle version {version:d}')
def peer_has(context, name, version):
    payload = signed_payload(context.rig.bodies[version - 1])
    context.rig.peers.answer_by_id[name] = PeerBundle((payload,))


@given('bundle peer "{name}" does not answer')
def peer_unavailable(context, name):
    context.rig.peers.answer_by_id[name] = PeerUnavailable('down')


@when('bundle peer "{name}" answers without a bundle')
def peer_without_bundle(context, name):
    context.rig.peers.answer_by_id[name] = PeerBundle(())


@given('version {version:d} is restated and the log drops all older entries')
def restate_and_drop(context, version):
    head = context.rig.head()
    body = context.rig.bodies[version - 1]
    context.rig.append(signed_payload(body, as_of=head))
    context.rig.core.truncate(CONFIG_STREAM, head)


@given('version {version:d} is restated at the head')
@when('version {version:d} is restated at the head')
@given('version {version:d} is wrongly restated at the head')
def restate(context, version):
    body = context.rig.bodies[version - 1]
    context.rig.append(signed_payload(body, as_of=context.rig.head()))


@given(
    'version {version:d} is restated by a daemon that has read only 3 entries'
)
def restate_lagging(context, version):
    context.rig.append(signed_payload(context.rig.bodies[version - 1], as_of=3))


@given('the log has dropped all but the last entry')
def drop_all_but_last(context):
    context.rig.core.truncate(CONFIG_STREAM, context.rig.head() - 1)


@given('the log has dropped all entries')
def drop_all(context):
    context.rig.core.truncate(CONFIG_STREAM, context.rig.head())


@given('version 1 is appended again')
@when('version 1 is appended again')
def append_first(context):
    context.rig.append(signed_payload(context.rig.bodies[0]))


@given('a competing version {version:d} is appended with its whole body')
def append_competing(context, version):
    body = next_body(context.rig.bodies[version - 2], 77)
    context.rig.append(signed_payload(body))


@given('version 4 is appended before version 3')
def append_out_of_order(context):
    context.rig.fill(4, 4)
    context.rig.fill(3, 3)


@given('a losing version 3 is wrongly restated at the head')
def restate_competing(context):
    body = next_body(context.rig.bodies[1], 77)
    context.rig.append(signed_payload(body, as_of=context.rig.head()))


@given('a bundle reader that has read them')
@when('a bundle reader starts and reads')
@when('a second bundle reader starts and reads')
def reader_starts(context):
    context.rig.start()
    context.rig.step()


@when('the bundle reader reads again')
def reader_reads(context):
    context.rig.step()


@when('an hour passes with the bundle reader reading')
def hour_passes(context):
    for _ in range(120):
        context.rig.clock.advance(30_000)
        context.rig.step(1)


@when('the log drops everything but restatements')
def drop_all_but_restatements(context):
    context.rig.core.truncate(CONFIG_STREAM, context.last)


@given('the log loses every acknowledgement')
def lose_acknowledgements(context):
    context.rig.core.faults.lost_share = 1


@then('its bundles in force were "{versions}"')
def were_in_force(context, versions):
    versions_in_force = ', '.join(map(str, context.rig.versions[-1]))
    assert versions_in_force == versions, (
        versions_in_force,
        context.rig.readers[-1].readiness(),
    )


@then('the bundles in force of both end with version {version:d}')
def both_end_with(context, version):
    ends = [
        versions_in_force[-1:] for versions_in_force in context.rig.versions
    ]
    assert ends == [[version], [version]], ends


@then('the bundle reader recorded event "{kind}"')
def event_recorded(context, kind):
    assert kind in context.rig.events, context.rig.events


@then('its digest is that of version {version:d}')
def digest_is(context, version):
    body = context.rig.bodies[version - 1]
    expected = compute_digest(canonical_bytes(body))
    assert context.rig.readers[-1].current.digest == expected


@then('the bundle reader is not ready because "{reason}"')
def not_ready(context, reason):
    reader = context.rig.readers[-1]
    match reader.readiness():
        case NotReady(why):
            assert reason in why, why
        case ready:
            raise AssertionError(ready)
    assert not reader.whole_record()


def publish_body(rig, log, body, restate=False):
    bundle = Bundle.model_validate_json(canonical_bytes(body))
    whole = bundle.model_dump(mode='json')
    signed = signed_record(whole)
    return asyncio.run(
        publish(log, TRUST, bundle, signed.signature_by_member, restate)
    )


@when('version 4 is published, and then published again')
def publish_twice(context):
    rig = context.rig
    body = next_body(rig.bodies[2], 44)
    context.outcomes = [publish_body(rig, rig.log, body) for _ in range(2)]


@when('the log drops the entries before version {version:d}')
def drop_before(context, version):
    # Version 1 has offset 0.
    context.rig.core.truncate(CONFIG_STREAM, version - 1)


@when('version 4 is restated by operators')
def restate_by_operators(context):
    body = context.rig.bodies[3]
    context.outcome = publish_body(context.rig, context.rig.log, body, True)


@when('the log drops all entries and operators restate version 4 twice')
def truncate_and_restate(context):
    rig = context.rig
    rig.core.truncate(CONFIG_STREAM, rig.head())
    context.outcomes = [
        publish_body(rig, rig.log, rig.bodies[3], True) for _ in range(2)
    ]


@then('both times it is in force')
def both_in_force(context):
    assert all(isinstance(seen, Published) for seen in context.outcomes), (
        context.outcomes
    )


@then('the log holds versions "{versions}"')
def log_holds_versions(context, versions):
    entries = context.rig.core.read(CONFIG_STREAM, 0, 99, 0).entries
    held = [str(decode_record(entry.payload).version) for entry in entries]
    assert ', '.join(held) == versions, held


class ContendedLog(FakeLog):
    """Log in which a competing record is appended before each append."""

    async def append(self, stream, payload):
        """Append the competing record first."""
        await super().append(stream, self.competing_payload)
        return await super().append(stream, payload)


@when('a competing version 4 is appended between read and append')
def publish_contended(context):
    rig = context.rig
    log = ContendedLog(rig.core, rig.clock)
    log.competing_payload = signed_payload(
        next_body(rig.bodies[2], 66), rig.bodies[2]
    )
    context.outcome = publish_body(rig, log, next_body(rig.bodies[2], 44))


@then('publishing is refused with "{reason}"')
def publishing_refused(context, reason):
    assert isinstance(context.outcome, PublishRefused), context.outcome
    assert reason in context.outcome.reason, context.outcome.reason
