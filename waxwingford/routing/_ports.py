"""What the request path needs of other parts: peers and metrics."""

from typing import Protocol

from waxwingford.routing._messages import Outcome, RecallAnswer, Request


class PeerForwarder(Protocol):
    """Hands requests and questions to peer daemons."""

    async def forward(
        self, peer_id: str, request: Request, timeout_ms: int
    ) -> Outcome:
        """Hand a request to a peer, which serves or refuses it.

        A refusal may only be returned if the peer said so or certainly
        nothing was sent; everything else is unknown.  The implementation
        adds one to ``hops``.

        :param peer_id: which peer.
        :param request: the request with the time that is left.
        :param timeout_ms: longest wait, in milliseconds.
        :returns: tagged outcome.
        """
        ...

    async def recall_all(
        self, member: str, key: str, body_digest: bytes
    ) -> dict[str, RecallAnswer]:
        """Ask every other daemon of the region about a key.

        :param member: owner of the key.
        :param key: idempotency key.
        :param body_digest: digest of service, path and body.
        :returns: one answer for each daemon, ``unreachable`` included.
        """
        ...


class RequestMetrics(Protocol):
    """Where the request path counts; ``metrics.Metrics`` fits."""

    def count(self, name: str, by: int = 1, **labels: str) -> None:
        """Add to a counter.

        :param name: counter, ends in ``_total``.
        :param by: how much.
        :param labels: label values by name.
        """
        ...

    def latency(self, name: str, elapsed_ms: float, **labels: str) -> None:
        """Record a latency.

        :param name: histogram.
        :param elapsed_ms: milliseconds.
        :param labels: label values by name.
        """
        ...
