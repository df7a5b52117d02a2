"""Model of ``deployment.toml``: what the launcher starts and loads."""

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
    """A failure domain.

    :ivar name: its name.
    :ivar daemons: ids of the daemons there.
    :ivar racks: servers in each of its racks.
    """

    name: Name
    daemons: Annotated[tuple[Name, ...], Field(min_length=1)]
    racks: tuple[Count, ...]


class ServerPlan(_StrictModel):
    """Size of every backend server.

    :ivar processors_milli: thousandths of a core.
    :ivar memory_mb: mebibytes.
    :ivar accelerators: whole devices.
    :ivar slots: service requests at once at most.
    :ivar connections: TCP connections at most.
    """

    processors_milli: Amount
    memory_mb: Amount
    accelerators: Amount = 0
    slots: Annotated[int, Field(ge=1, le=4096)]
    connections: Annotated[int, Field(ge=1, le=65_536)]

    def resources(self) -> Resources:
        """Give the size as a vector.

        :returns: resources of one server.
        """
        return Resources(
            self.processors_milli, self.memory_mb, self.accelerators
        )


class ServicePlan(_StrictModel):
    """Behaviour of the latency-critical service.

    :ivar name: its name.
    :ivar median_ms: median service time without interference, milliseconds.
    :ivar sigma: spread of its logarithm.
    :ivar answer_bytes: padding of each answer.
    :ivar slowdown_by_kind: added share of time for each batch task beside
        it, at full load, by batch kind.
    """

    name: Name
    median_ms: LatencyMs
    sigma: Annotated[float, Field(ge=0, le=3)]
    answer_bytes: Amount = 2048
    slowdown_by_kind: dict[Name, Annotated[float, Field(ge=0, le=100)]]


class NetworkPlan(_StrictModel):
    """Latencies, one way.

    :ivar between_domains_ms: between failure domains, in milliseconds.
    :ivar client_ms: between callers and daemons, in milliseconds.
    """

    between_domains_ms: LatencyMs
    client_ms: LatencyMs


class CallerPlan(_StrictModel):
    """Open-loop callers of one kind.

    :ivar name: label in the report.
    :ivar member: organisation that calls.
    :ivar path: path below the service.
    :ivar urgency: ``urgent``, ``normal`` or ``background``.
    :ivar idempotent: whether requests may run more than once.
    :ivar requests_per_s: rate over all daemons.
    :ivar deadline_ms: deadline of each request, in milliseconds.
    :ivar attempts: tries of a caller, counting the first.
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
    """Jobs of one kind in the night's batch.

    :ivar name: prefix of the job names.
    :ivar member: owner.
    :ivar team: team of the owner.
    :ivar kind: batch kind.
    :ivar jobs: how many jobs.
    :ivar tasks: tasks in each.
    :ivar processors_milli: declared size of a task.
    :ivar memory_mb: declared size of a task.
    :ivar accelerators: declared size of a task.
    :ivar run_ms: declared run time of a task, in milliseconds.
    :ivar real_run_ms: real run time; 0 if as declared.
    :ivar real_processors_milli: real use; 0 if as declared.
    :ivar real_memory_mb: real use; 0 if as declared.
    :ivar priority: 0 to 100.
    :ivar finish_within_ms: deadline from submission; 0 for none.
    :ivar lost_after_ms: see :class:`waxwingford.records.JobSpec`.
    :ivar cancel_after_ms: cancelled so long after submission; 0 for never.
    :ivar submit_at_ms: when in the run it is submitted, in milliseconds.
    :ivar never_fits: whether no server is large enough.
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
    """Everything that the launcher starts.

    :ivar name: its name.
    :ivar region: region of all its failure domains.
    :ivar seed: of all random choices of stand-ins and load.
    :ivar failure_domains: domains with daemons and racks.
    :ivar servers: size of every backend server.
    :ivar service: the latency-critical service.
    :ivar network: latencies.
    :ivar callers: load of requests.
    :ivar jobs: load of batch work.
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
    """Read and check a deployment.

    :param path: ``deployment.toml``.
    :returns: the deployment, or everything that is wrong with the file.
    """
    return load_toml(path, Deployment)
