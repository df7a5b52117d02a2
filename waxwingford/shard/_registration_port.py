"""Interface of an owner to the registrations of backend servers."""

from typing import Protocol

from waxwingford.scheduling import ServerEntry


class RegistrationSource(Protocol):
    """Source of the registrations of backend servers."""

    async def entries(self) -> tuple[ServerEntry, ...] | None:
        """Read all registrations.

        :returns: the registrations, ``None`` if they can't be read at present.
        """
        ...
