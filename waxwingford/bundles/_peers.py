"""Fetching bundles from peers while the log is unavailable."""

import dataclasses
from collections.abc import Mapping
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class PeerBundle:
    """Answer of a peer.

    :ivar payloads: record of the bundle that the peer has in force, with its
        whole body; empty if the peer has none or none newer than requested.
    """

    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUnavailable:
    """A peer did not answer."""

    reason: str


PeerBundleAnswer = PeerBundle | PeerUnavailable


class PeerBundleClient(Protocol):
    """Client for all configured peers."""

    async def fetch(self, after_version: int) -> dict[str, PeerBundleAnswer]:
        """Query all peers concurrently.

        :param after_version: version in force here, 0 for none.
        :returns: answer or error of every peer, by daemon id.
        """
        ...


def offered_payloads(
    answers: Mapping[str, PeerBundleAnswer],
) -> dict[str, bytes]:
    """Extract the bundle records from the answers of peers.

    :param answers: answers by daemon id.
    :returns: records with their whole bodies by daemon id, sorted by id.
    """
    return {
        daemon_id: answer.payloads[-1]
        for daemon_id, answer in sorted(answers.items())
        if isinstance(answer, PeerBundle) and answer.payloads
    }


def bootstrap_fault(
    answers: Mapping[str, PeerBundleAnswer], domain_peers: frozenset[str]
) -> str:
    """Check whether a daemon without a bundle may take one from its peers.

    Requires an answer from every daemon of the failure domain: one that did
    not answer may hold a newer bundle, and starting with an older one would
    revert it.

    :param answers: answers by daemon id.
    :param domain_peers: ids of the other configured daemons of the failure
        domain.
    :returns: why it may not, empty if it may.
    """
    answered = {
        daemon_id
        for daemon_id, answer in answers.items()
        if isinstance(answer, PeerBundle)
    }
    unanswered = sorted(domain_peers - answered)
    if unanswered:
        return f'no answer from {", ".join(unanswered)}'
    if not domain_peers:
        return 'no other daemon in the failure domain to ask'
    return '' if offered_payloads(answers) else 'no peer has a bundle'
