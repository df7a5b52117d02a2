"""Hints and settings that other tasks of the daemon give the batch task."""

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
    """Takes hints, none of which safety rests on, and the bundle."""

    def __init__(self, clock: Clock) -> None:
        """Start without hints.

        :param clock: source of time.
        """
        super().__init__(clock)
        self._alive: AliveDaemons | None = None

    # The name is the daemon's word for it.
    def set_alive(  # noqa: WPS615
        self, daemon_ids: Iterable[str]
    ) -> None:
        """Take the daemons of the failure domain that seem alive.

        :param daemon_ids: their names.
        """
        self._alive = AliveDaemons(frozenset(daemon_ids))
        self._handle(self._alive)

    # The name is the daemon's word for it.
    def set_bundle(  # noqa: WPS615
        self, bundle: BundleSettings
    ) -> None:
        """Put the settings of a bundle in force.

        :param bundle: the settings.
        :raises UnknownPlugin: if no policy has the name.
        """
        self._bundle = bundle
        self._handle(bundle)

    # The name is the daemon's word for it.
    def set_busy_shares(  # noqa: WPS615
        self, share_by_server: Mapping[str, float]
    ) -> None:
        """Take how busy the services on held servers are at present.

        :param share_by_server: busy slots by server, 0 to 1; one that is left
            out is judged by its last usage sample.
        """
        self._handle(BusyShares(share_by_server))

    def note_released(self, server_ids: Iterable[str]) -> None:
        """Take that a peer gave servers up, so that they are acquired at once.

        :param server_ids: which.
        """
        self._handle(ServersReleased(tuple(server_ids)))

    def _handle(self, message: Message) -> None:
        """Give the controller a message.

        :param message: the message.
        :raises NotImplementedError: if the task does not say how.
        """
        raise NotImplementedError
