"""Schema of ``deployment.toml``, the input of the launcher."""

import pathlib
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field

from waxwingford.ports import Resources
from waxwingford.settings import Millis, Name, Problem, load_toml

Count = Annotated[int, Field(ge=0, le=100_000)]
Amount = Annotated[int, Field(ge=0, le=1 << 40)]
Rate = Annotated[float, Field(ge=0, le=100_000)]
LatencyMs = Annotated[float, Field(ge=0, le=60_000)]


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class DomainPlan(_StrictModel):
    """Daemons and servers of a failure domain.

    :ivar daemons: ids of its daemons.
    :ivar racks: number of servers in each rack.
    """

    name: Name
    daemons: Annotated[tuple[Name, ...], Field(min_length=1)]
    racks: tuple[Count, ...]


class ServerPlan(_StrictModel):
    """Capacity of every backend server.

    :ivar processors_milli: CPU capacity, in thousandths of a core.
    :ivar memory_mb: memory, in mebibytes.
    :ivar accelerators: number of accelerator devices.
    :ivar slots: maximum number of concurrent service requests.
    :ivar connections: maximum number of TCP connections.
    """

    processors_milli: Amount
    memory_mb: Amount
    accelerators: Amount = 0
    slots: Annotated[int, Field(ge=1, le=4096)]
    connections: Annotated[int, Field(ge=1, le=65_536)]

    def resources(self) -> Resources:
        """Convert the capacity to a resource vector."""
        return Resources(
            self.processors_milli, self.memory_mb, self.accelerators
        )


class ServicePlan(_StrictModel):
    """Latency model of the latency-critical service.

    :ivar median_ms: median service time without interference, in
        milliseconds.
    :ivar sigma: standard deviation of the logarithm of the service time.
    :ivar answer_bytes: padding of each response, in bytes.
    :ivar slowdown_by_kind: relative increase of the service time at full
        load for each colocated batch task, by batch kind.
    """

    name: Name
    median_ms: LatencyMs
    sigma: Annotated[float, Field(ge=0, le=3)]
    answer_bytes: Amount = 2048
    slowdown_by_kind: dict[Name, Annotated[float, Field(ge=0, le=100)]]


class NetworkPlan(_StrictModel):
    """One-way network latencies.

    :ivar between_domains_ms: latency between failure domains, in
        milliseconds.
    :ivar client_ms: latency between callers and daemons, in milliseconds.
    """

    between_domains_ms: LatencyMs
    client_ms: LatencyMs


class CallerPlan(_StrictModel):
    """Open-loop request load of one kind.

    :ivar name: label in the report.
    :ivar member: member that sends the requests.
    :ivar path: request path relative to the service.
    :ivar urgency: ``urgent``, ``normal`` or ``background``.
    :ivar idempotent: whether requests may be executed more than once.
    :ivar requests_per_s: arrival rate over all daemons, per second.
    :ivar deadline_ms: deadline of each request, in milliseconds.
    :ivar attempts: maximum number of attempts, including the first.
    """

    name: Name
    member: Name
    path: str
    urgency: Annotated[str, Field(pattern='^(urgent|normal|background)$')]
    idempotent: bool
    requests_per_s: Rate
    deadline_ms: Millis
    attempts: Annotated[int, Field(ge=1, le=20)] = 3


class JobPlan(_StrictModel):
    """Batch jobs of one kind.

    :ivar name: prefix of the job names.
    :ivar member: member that owns the jobs.
    :ivar team: team of the owner.
    :ivar kind: batch kind.
    :ivar tasks: number of tasks per job.
    :ivar processors_milli: requested CPU per task, in thousandths of a core.
    :ivar memory_mb: requested memory per task, in mebibytes.
    :ivar accelerators: requested accelerators per task.
    :ivar run_ms: declared run time of a task, in milliseconds.
    :ivar real_run_ms: actual run time, in milliseconds; 0 if as declared.
    :ivar real_processors_milli: actual CPU usage, in thousandths of a core;
        0 if as requested.
    :ivar real_memory_mb: actual memory usage, in mebibytes; 0 if as
        requested.
    :ivar priority: priority from 0 to 100.
    :ivar finish_within_ms: deadline relative to submission, in milliseconds;
        0 for none.
    :ivar lost_after_ms: see :class:`waxwingford.records.JobSpec`.
    :ivar cancel_after_ms: time from submission to cancellation, in
        milliseconds; 0 for never.
    :ivar submit_at_ms: time of submission from the start of the run, in
        milliseconds.
    :ivar never_fits: whether the tasks exceed the capacity of every server.
    """

    name: Name
    member: Name
    team: Name
    kind: Name
    jobs: Count = 1
    tasks: Count
    processors_milli: Amount
    memory_mb: Amount
    accelerators: Amount = 0
    run_ms: Millis
    real_run_ms: Amount = 0
    real_processors_milli: Amount = 0
    real_memory_mb: Amount = 0
    priority: Annotated[int, Field(ge=0, le=100)] = 0
    finish_within_ms: Amount = 0
    lost_after_ms: Amount = 0
    cancel_after_ms: Amount = 0
    submit_at_ms: Amount = 0
    never_fits: bool = False


class Deployment(_StrictModel):
    """Daemons, servers and load of a local run.

    :ivar region: region of all failure domains.
    :ivar seed: seed of the random choices of stand-ins and load.
    """

    name: Name
    region: Name
    seed: int
    failure_domains: Annotated[tuple[DomainPlan, ...], Field(min_length=1)]
    servers: ServerPlan
    service: ServicePlan
    network: NetworkPlan
    callers: tuple[CallerPlan, ...]
    jobs: tuple[JobPlan, ...] = ()


def load_deployment(
    path: pathlib.Path,
) -> Deployment | tuple[Problem, ...]:
    """Read and validate a deployment.

    :param path: path of ``deployment.toml``.
    :returns: the deployment, or all validation errors.
    """
    return load_toml(path, Deployment)
