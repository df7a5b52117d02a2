"""Steps for records and submissions that can't be used."""

import json

import logbook
import msgspec
from behave import then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from waxwingford.http_server import Request
from waxwingford.platform._adapter import _try_decode
from waxwingford.platform._client_api import ClientApi
from waxwingford.platform._records import (
    Configuration,
    QueuePath,
    evacuated_domains,
)
from waxwingford.platform._registrations import Registrations
from waxwingford.ports import Resources
from waxwingford.scheduling import (
    JobSpec,
    StepSpec,
    encode_spec,
    find_fault,
)
from waxwingford.scheduling._rows import ENDED_PREFIX
from waxwingford.scheduling.tests.engine_harness import (
    JOB,
    SECOND,
    THIRD,
    EngineHarness,
    new_engine,
)
from waxwingford.scheduling.tests.engine_harness import QUEUE as HARNESS_QUEUE
from waxwingford.scheduling.tests.engine_harness import step as harness_step
from waxwingford.shard import KeyedRecord, StoredRecord
from waxwingford.shard._intake import CANCEL_PREFIX, INTAKE_TOPIC, JOB_PREFIX
from waxwingford.shard._intake_reader import apply_records
from waxwingford.shard._journal import OwnerRecord, decode_owner
from waxwingford.shard.tests.virtual_shard import QUEUE, TERMS, step

HOST = 'h'
JOB_ID = '00000000000000ee'
MAX_BODY_BYTES = 10_000
EXAMPLES = 200
SERVERS = 3
CORES = 8
ROUNDS = 3
ROUND_MS = 700

NUMBERS = st.one_of(
    st.integers(-2, 5),
    st.sampled_from((-(2**63), -1_000_000, 10**6, 10**12, 2**53, 2**63 - 1)),
)
TEXTS = st.one_of(
    st.sampled_from(('', 's0', 's0@0', 's9@7', '@', 'x@999999999')),
    st.text(max_size=4),
)
FIGURES = st.one_of(st.sampled_from((0, -1, 1e300)), st.floats())
SCALARS = st.one_of(st.none(), st.booleans(), NUMBERS, st.floats(), TEXTS)
STEPS = st.builds(
    StepSpec,
    NUMBERS,
    st.builds(Resources, NUMBERS, NUMBERS, NUMBERS),
    NUMBERS,
    st.lists(NUMBERS, max_size=2).map(tuple),
    gang=st.booleans(),
    max_per_server=NUMBERS,
    long_running=st.booleans(),
    target_ms=NUMBERS,
    best_effort=st.booleans(),
    image=st.sampled_from(('', 'a')),
)
JOBS = st.builds(
    JobSpec,
    st.just(SECOND),
    st.just(HARNESS_QUEUE.name),
    st.just(''),
    st.lists(STEPS, max_size=3).map(tuple),
    NUMBERS,
    NUMBERS,
    NUMBERS,
    st.just(HARNESS_QUEUE),
)
TASK_ROWS = st.one_of(
    st.lists(SCALARS, max_size=13),
    st.tuples(
        st.integers(-2, 3),
        NUMBERS,
        NUMBERS,
        st.booleans(),
        TEXTS,
        st.lists(st.tuples(NUMBERS, TEXTS), max_size=2),
        NUMBERS,
        st.booleans(),
        NUMBERS,
        st.lists(NUMBERS, max_size=2),
        st.lists(NUMBERS, max_size=2),
        st.booleans(),
        st.lists(NUMBERS, max_size=2),
    ),
)
OTHERS = st.one_of(
    st.binary(max_size=8),
    st.recursive(SCALARS, lambda inner: st.lists(inner, max_size=3)).map(
        msgspec.msgpack.encode
    ),
)
STEP_ROWS = st.one_of(
    st.lists(TASK_ROWS, max_size=3).map(msgspec.msgpack.encode), OTHERS
)
EFFECTS = st.one_of(
    st.lists(
        st.tuples(st.just('a'), st.just('a'), FIGURES, FIGURES), min_size=1
    ).map(msgspec.msgpack.encode),
    OTHERS,
)
LOSSES = st.one_of(
    st.lists(NUMBERS, max_size=3).map(msgspec.msgpack.encode), OTHERS
)
STEP_KEYS = [
    f'{job_id}.{place}'
    for job_id in (SECOND, THIRD)
    for place in ('0.0', '0.1', '0.-1', '-1.0', f'{10**9}.0', 'x.0', '')
]
JOURNALS = st.fixed_dictionaries(
    {},
    optional={
        'effects': EFFECTS,
        'losses': LOSSES,
        'harm': EFFECTS,
        'something else': OTHERS,
        ENDED_PREFIX: OTHERS,
        ENDED_PREFIX + SECOND: OTHERS,
        **dict.fromkeys(STEP_KEYS, STEP_ROWS),
    },
)
JOB_ROWS = st.one_of(JOBS.map(encode_spec), OTHERS)
INTAKES = st.fixed_dictionaries(
    {},
    optional={
        JOB_PREFIX + SECOND: JOB_ROWS,
        JOB_PREFIX: JOB_ROWS,
        CANCEL_PREFIX + SECOND: OTHERS,
        CANCEL_PREFIX: OTHERS,
        'something else': OTHERS,
    },
)


@when('a client submits the steps {steps} with {more}')
def submit_as_client(context, steps, more):
    shard = context.shard
    api = ClientApi(shard.daemons[0].frontend)
    path = QueuePath(HOST, '/q/', QUEUE.name, 0)
    api.configuration = Configuration(TERMS, (path,), MAX_BODY_BYTES)
    body = {'spec': '', 'steps': json.loads(steps), **json.loads(more)}
    request = Request(
        'POST',
        f'/q/{JOB_ID}',
        {'host': HOST},
        shard.loop.time(),
        keep_alive=True,
        body=json.dumps(body).encode(),
    )
    context.response = shard.run_until(api.handle(request))


@then('the client gets status {status:d} and "{text}"')
def check_response(context, status, text):
    response = context.response
    assert response.status == status, response
    assert response.body.decode().strip() == text, response.body


@then('the store has no job')
def check_no_job(context):
    assert not context.shard.store.topic(INTAKE_TOPIC).records


@when('a job that waits for itself is stored, bypassing all checks')
def store_bad_job(context):
    context.bad = JobSpec(JOB_ID, QUEUE.name, '', (step(after=(0,)),))
    assert find_fault(context.bad) is not None
    row = KeyedRecord(JOB_PREFIX + JOB_ID, encode_spec(context.bad))
    context.shard.call(
        lambda: context.shard.store.apply(INTAKE_TOPIC, [row], None)
    )


@then('each daemon reports that job as failed')
def check_bad_failed(context):
    phases = [
        context.shard.phase(JOB_ID, daemon) for daemon in context.shard.living()
    ]
    assert set(phases) == {'failed'}, phases


@then("the job that can't be scheduled was told of once by each owner")
def check_told_once(context):
    told = [line for line in context.shard.lines if 'record.unreadable' in line]
    daemons = [json.loads(line)['daemon'] for line in told]
    assert told and len(set(daemons)) == len(daemons), told


def colocated_job(job_id):
    serving = harness_step(
        3, image='a', target_ms=30, long_running=True, max_per_server=1
    )
    best_effort = harness_step(3, image='a', best_effort=True)
    return JobSpec(
        job_id,
        HARNESS_QUEUE.name,
        '',
        (serving, best_effort),
        terms=HARNESS_QUEUE,
    )


def colocated_harness():
    harness = EngineHarness(SERVERS, CORES)
    harness.figure_by_image = {'calm': 10, 'wild': 2}
    return harness


def run_rounds(harness):
    """Decide and poll, and submit a sound job: it has to start."""
    harness.engine.submit(colocated_job(JOB), harness.now_ms)
    for _ in range(ROUNDS):
        harness.decide()
        harness.poll()
        harness.now_ms += ROUND_MS
    job = harness.engine.state.job_by_id[JOB]
    begun = [step.tasks[0].begun for step in job.steps_by_occurrence[0]]
    assert all(begun), job


@then('an owner that reads any rows runs a sound job beside them')
def any_rows(context):
    @settings(max_examples=EXAMPLES)
    @drawn(JOURNALS, INTAKES)
    def _read(rows, intake):
        harness = colocated_harness()
        engine = new_engine(8, harness.now_ms)
        engine.restore(dict(rows))
        intake[JOB_PREFIX + THIRD] = encode_spec(colocated_job(THIRD))
        records = [StoredRecord(0, key, raw) for key, raw in intake.items()]
        apply_records(engine, records, harness.now_ms)
        engine.inherit(harness.now_ms, harness.wall_ms)
        harness.engine = engine
        harness.register()
        harness.poll()
        run_rounds(harness)

    _read()


@then('an owner runs a sound job beside any job that is accepted')
def any_submissions(context):
    @settings(max_examples=EXAMPLES)
    @drawn(JOBS)
    def _submit(spec):
        if find_fault(spec) is not None:
            return
        harness = colocated_harness()
        harness.engine.submit(spec, harness.now_ms)
        run_rounds(harness)

    _submit()


SOUND_REGISTRATION = {
    'service': 's',
    'address': '127.0.0.1:80',
    'zone': 'z',
    'state': 'ready',
    'capacity': {'cpu': 1},
}
SOUND_CONFIGURATION = {
    'version': 1,
    'routes': [{'name': 'r', 'host': HOST, 'path-prefix': '/q/'}],
}
CONTENTS = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.sampled_from(('cpu', 'name', 'host')), inner),
    ),
    max_leaves=6,
)


def changed(sound):
    """Draw records in which any fields differ from those of a sound one."""
    fields = st.dictionaries(
        st.sampled_from((*sound, 'labels', 'born', 'limits')), CONTENTS
    )
    return st.one_of(
        st.binary(max_size=8),
        fields.map(lambda drawn: json.dumps({**sound, **drawn}).encode()),
    )


@then(
    'a daemon that reads any of these records uses the sound ones beside them'
)
def any_foreign_records(context):
    handler = logbook.NullHandler()

    @settings(max_examples=EXAMPLES)
    @drawn(
        changed(SOUND_REGISTRATION),
        changed(SOUND_CONFIGURATION),
        OTHERS,
        st.text(max_size=6),
    )
    def _read(registration, configuration, owner, key):
        sound = json.dumps(SOUND_REGISTRATION).encode()
        entries = Registrations().read({'any': registration, 'sound': sound})
        assert 'sound' in {entry.server_id for entry in entries}, entries
        _try_decode(configuration)
        assert isinstance(decode_owner(owner), OwnerRecord)
        assert 'a' in evacuated_domains((key, 'evacuate/a'))

    with handler.applicationbound():
        _read()
