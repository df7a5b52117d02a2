"""Form of an explanation of a placement, as it is sent in JSON."""

from typing import TypedDict


class Candidate(TypedDict):
    """A server on which a task may start.

    ``cost`` is the sum of ``cost_by_term``, in units of the server's whole CPU.
    """

    server: str
    rack: str
    failure_domain: str
    cost: float
    cost_by_term: dict[str, float]


class GangReport(TypedDict):
    """Whether the members of a gang fit at the same time.

    ``fits`` is ``None`` if it isn't known, as not all servers were evaluated or the
    gangs of the job are too large. ``rack`` is empty if the members are on several racks.
    """

    members: int
    room_for: int
    fits: bool | None
    rack: str


class StepReport(TypedDict):
    """Where the first task of a step would go.

    ``candidates`` are the chosen server and the next ones: by cost, those of a gang
    in the order in which its members are assigned. ``fitting`` and
    ``left_out_by_reason`` add up to ``evaluated`` and the servers of other services.
    With ``needs_ticket`` the candidates lack only a ticket. ``ahead`` counts tasks
    for the same service, at least if ``ahead_complete`` is false.
    """

    step: int
    after: list[int]
    tasks: int
    kind: str
    candidates: list[Candidate]
    fitting: int
    evaluated: int
    servers: int
    left_out_by_reason: dict[str, int]
    needs_ticket: bool
    gang: GangReport | None
    ahead: int
    ahead_complete: bool


class PlacementReport(TypedDict):
    """Where a job would go now.

    ``refused_until_ms`` is a Unix time in ms, 0 for a job that is accepted;
    ``refusal_cause`` is the label of the metric, ``refusal_reason`` the text that
    callers get, both empty then. ``due_ms`` is that of the first repetition, 0 for a job that isn't timed.
    """

    queue: str
    service: str
    priority: int
    accepted: bool
    retry_after_s: int
    refused_until_ms: int
    refusal_cause: str
    refusal_reason: str
    due_ms: int
    pending_tasks: int
    steps: list[StepReport]
    steps_not_shown: int
