"""Resource vector arithmetic and feasibility checks by dimension."""

import dataclasses
from collections.abc import Iterable

from waxwingford.placement._views import ServerView
from waxwingford.ports import Resources
from waxwingford.ports import add_resources as add
from waxwingford.ports import fits_resources as fits
from waxwingford.ports import subtract_resources as subtract

NO_RESOURCES = Resources(0, 0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class InfeasibleSize:
    """No server has the capacity for a task of the declared size.

    :ivar dimension: field of :class:`Resources` that exceeds the capacity.
    :ivar declared: declared amount, in the unit of the field.
    :ivar largest: capacity that the declared amount exceeds, in the same
        unit; see :func:`check_feasibility`.
    """

    dimension: str
    declared: int
    largest: int


def largest(left: Resources, right: Resources) -> Resources:
    """Compute the element-wise maximum of two resource vectors."""
    return Resources(*map(max, left, right))


def smallest(left: Resources, right: Resources) -> Resources:
    """Compute the element-wise minimum of two resource vectors."""
    return Resources(*map(min, left, right))


def sum_resources(sizes: Iterable[Resources]) -> Resources:
    """Sum resource vectors.

    :returns: the element-wise sum; all zero if there are none.
    """
    total = NO_RESOURCES
    for size in sizes:
        total = add(total, size)
    return total


def free_resources(server: ServerView) -> Resources:
    """Compute the unallocated batch capacity of a server.

    :returns: ``total - reserved`` minus the resources allocated to batch
        attempts; negative if the reservation was raised above what running
        attempts leave.
    """
    allocated = sum_resources(task.resources for task in server.running)
    return subtract(subtract(server.total, server.reserved), allocated)


def check_feasibility(
    declared: Resources,
    capacities: Iterable[Resources],
) -> InfeasibleSize | None:
    """Check whether a job's tasks exceed the capacity of every server.

    Lets infeasible jobs be rejected on submission instead of staying pending
    forever.

    :param declared: declared size of each task.
    :param capacities: ``total - reserved`` of every known server.
    :returns: the first dimension that exceeds every server's capacity, or
        None if a server can hold the task.  If each dimension fits on some
        server but no server fits all of them, the first dimension that is too
        large for the server that satisfies most dimensions.
    """
    known_capacities = list(capacities)
    if any(fits(declared, capacity) for capacity in known_capacities):
        return None
    maxima = NO_RESOURCES
    for capacity in known_capacities:
        maxima = largest(maxima, capacity)
    nearest = max(
        known_capacities,
        key=lambda capacity: sum(map(int.__ge__, capacity, declared)),
        default=NO_RESOURCES,
    )
    reference = nearest if fits(declared, maxima) else maxima
    return next(
        InfeasibleSize(dimension, requested, available)
        for dimension, requested, available in zip(
            Resources._fields,
            declared,
            reference,
            strict=True,
        )
        if requested > available
    )
