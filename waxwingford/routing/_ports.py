"""Interfaces that the request path requires: peers and metrics."""

from typing import Protocol

from waxwingford.routing._messages import KeyLookupAnswer, Outcome, Request


class PeerForwarder(Protocol):
    """Client for the peer daemons."""

    async def forward(
        self, peer_id: str, request: Request, timeout_ms: int
    ) -> Outcome:
        """Forward a request to a peer, which serves or refuses it.

        Implementations increment ``hops``.  They return a refusal only if the
        peer refused the request or nothing was sent, and an unknown outcome
        for any other failure.

        :param request: request whose deadline is the time left.
        :param timeout_ms: maximum time to wait, in milliseconds.
        """
        ...

    async def look_up_key(
        self, member: str, key: str, body_digest: bytes
    ) -> dict[str, KeyLookupAnswer]:
        """Look up a key on every other daemon of the region.

        :param member: owner of the key.
        :param body_digest: digest of service, path and body.
        :returns: answer by daemon id; ``unreachable`` for failed lookups.
        """
        ...


class RequestMetrics(Protocol):
    """Sink for metrics, implemented by ``metrics.Metrics``."""

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Increment a counter.

        :param name: name of the counter, ending in ``_total``.
        :param labels: label values by name.
        """
        ...

    def latency(self, name: str, elapsed_ms: float, **labels: str) -> None:
        """Record a latency in a histogram.

        :param elapsed_ms: latency, in milliseconds.
        :param labels: label values by name.
        """
        ...
