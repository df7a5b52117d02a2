"""Hints and settings that the daemon passes to the batch task."""

from collections.abc import Iterable, Mapping

from waxwingford.batch._messages import (
    AliveDaemons,
    BundleSettings,
    BusyShares,
    Message,
    ServersReleased,
)
from waxwingford.batch._queries import BatchQueries
from waxwingford.kernel import Clock


class BatchHints(BatchQueries):
    """Receives the bundle, and hints that safety does not depend on."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._alive: AliveDaemons | None = None

    def update_live_daemons(self, daemon_ids: Iterable[str]) -> None:
        """Update the daemons of the failure domain that appear to be alive."""
        self._alive = AliveDaemons(frozenset(daemon_ids))
        self._handle(self._alive)

    def set_bundle(  # noqa: WPS615
        self, bundle: BundleSettings
    ) -> None:
        """Apply the settings of a bundle.

        :raises UnknownPlugin: if no policy has the name that it gives.
        """
        self._bundle = bundle
        self._handle(bundle)

    def set_busy_shares(  # noqa: WPS615
        self, share_by_server: Mapping[str, float]
    ) -> None:
        """Update the utilization of the services on held servers.

        :param share_by_server: share of busy slots by server, 0 to 1; for
            other servers the last usage sample is used.
        """
        self._handle(BusyShares(share_by_server))

    def handle_released_leases(self, server_ids: Iterable[str]) -> None:
        """Record servers released by a peer, to acquire them without delay."""
        self._handle(ServersReleased(tuple(server_ids)))

    def _handle(self, message: Message) -> None:
        """Pass a message to the controller.

        :raises NotImplementedError: if a subclass does not override it.
        """
        raise NotImplementedError
