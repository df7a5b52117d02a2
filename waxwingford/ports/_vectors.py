"""Element-wise arithmetic of resource vectors."""

from waxwingford.ports._directory import Resources


def add_resources(left: Resources, right: Resources) -> Resources:
    """Add two vectors."""
    return Resources(left[0] + right[0], left[1] + right[1], left[2] + right[2])


def subtract_resources(left: Resources, right: Resources) -> Resources:
    """Subtract one vector from another; elements may become negative."""
    return Resources(left[0] - right[0], left[1] - right[1], left[2] - right[2])


def fits_resources(needed: Resources, available: Resources) -> bool:
    """Check whether required resources are available.

    :returns: true if no element of ``needed`` exceeds that of ``available``.
    """
    return (
        needed[0] <= available[0]
        and needed[1] <= available[1]
        and needed[2] <= available[2]
    )
