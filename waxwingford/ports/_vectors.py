"""Arithmetic of resource vectors, dimension by dimension."""

from waxwingford.ports._directory import Resources


def add_resources(one: Resources, other: Resources) -> Resources:
    """Add two vectors.

    :param one: a vector.
    :param other: a vector.
    :returns: the sum, by dimension.
    """
    return Resources(one[0] + other[0], one[1] + other[1], one[2] + other[2])


def subtract_resources(one: Resources, other: Resources) -> Resources:
    """Subtract a vector from another; a dimension may become negative.

    :param one: a vector.
    :param other: what to take away.
    :returns: the difference, by dimension.
    """
    return Resources(one[0] - other[0], one[1] - other[1], one[2] - other[2])


def fits_resources(needed: Resources, room: Resources) -> bool:
    """Compare two vectors.

    :param needed: what is asked for.
    :param room: what there is.
    :returns: whether no dimension asks for more than there is.
    """
    return (
        needed[0] <= room[0] and needed[1] <= room[1] and needed[2] <= room[2]
    )
