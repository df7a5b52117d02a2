"""Vector fit: processors, memory and accelerators, checked one by one."""

import dataclasses
from collections.abc import Iterable

from waxwingford.placement._views import ServerView
from waxwingford.ports import Resources
from waxwingford.ports import add_resources as add
from waxwingford.ports import fits_resources as fits
from waxwingford.ports import subtract_resources as subtract

NOTHING = Resources(0, 0, 0)


@dataclasses.dataclass(frozen=True, slots=True)
class NeverFits:
    """No server that exists could ever run a task of this size.

    :ivar dimension: field of :class:`Resources` that is too large.
    :ivar declared: what was asked for, in the unit of the field.
    :ivar largest: the most that a server offers to batch work, same unit.
    """

    dimension: str
    declared: int
    largest: int


def largest(left: Resources, right: Resources) -> Resources:
    """Take the larger value in each dimension.

    :param left: one.
    :param right: the other.
    :returns: the maximum by dimension.
    """
    return Resources(*map(max, left, right))


def smallest(left: Resources, right: Resources) -> Resources:
    """Take the smaller value in each dimension.

    :param left: one.
    :param right: the other.
    :returns: the minimum by dimension.
    """
    return Resources(*map(min, left, right))


def total_of(sizes: Iterable[Resources]) -> Resources:
    """Add up many vectors.

    :param sizes: vectors.
    :returns: their sum.
    """
    total = NOTHING
    for size in sizes:
        total = add(total, size)
    return total


def free_on(server: ServerView) -> Resources:
    """Compute what batch work may still be given on a server.

    :param server: its view.
    :returns: ``total - reserved`` less what is given to attempts; negative
        where an operator raised the reservation under running work.
    """
    given = total_of(task.resources for task in server.running)
    return subtract(subtract(server.total, server.reserved), given)


def never_fits(
    declared: Resources,
    offers: Iterable[Resources],
) -> NeverFits | None:
    """Tell whether a job can never run, so that it is refused at once.

    Without this check such a job would wait for ever and look like one that
    is merely unlucky.

    :param declared: size of each of its tasks.
    :param offers: ``total - reserved`` of every server that exists.
    :returns: the dimension that rules it out, or None if some server would
        do; for a mix that no one server has, the dimension that is too large
        on the server that comes nearest.
    """
    known = list(offers)
    if any(fits(declared, offer) for offer in known):
        return None
    best = NOTHING
    for offer in known:
        best = largest(best, offer)
    nearest = max(
        known,
        key=lambda offer: sum(map(int.__ge__, offer, declared)),
        default=NOTHING,
    )
    against = nearest if fits(declared, best) else best
    return next(
        NeverFits(dimension, wanted, offered)
        for dimension, wanted, offered in zip(
            Resources._fields,
            declared,
            against,
            strict=True,
        )
        if wanted > offered
    )
