"""What peers are asked for while the log is away."""

import dataclasses
from collections.abc import Mapping
from typing import Protocol


@dataclasses.dataclass(frozen=True, slots=True)
class PeerBundle:
    """A peer answered.

    :ivar payloads: whole record of what it has in force; empty if that is
        not newer than what was asked for, or if it has none.
    """

    payloads: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSilent:
    """A peer gave no answer.

    :ivar reason: for people.
    """

    reason: str


PeerBundleAnswer = PeerBundle | PeerSilent


class PeerBundles(Protocol):
    """Way to ask all configured peers."""

    async def fetch(self, after_version: int) -> dict[str, PeerBundleAnswer]:
        """Ask every peer at once.

        :param after_version: version known here, 0 for none.
        :returns: one answer by daemon id, silent ones included.
        """
        ...


def offered_payloads(
    answers: Mapping[str, PeerBundleAnswer],
) -> dict[str, bytes]:
    """Pick the bundles out of the answers.

    :param answers: by daemon id.
    :returns: payload of a whole record by daemon id, in order of ids.
    """
    return {
        daemon_id: answer.payloads[-1]
        for daemon_id, answer in sorted(answers.items())
        if isinstance(answer, PeerBundle) and answer.payloads
    }


def missing_for_start(
    answers: Mapping[str, PeerBundleAnswer], domain_daemons: frozenset[str]
) -> str:
    """Say why an empty VM may not take what peers have.

    A peer that did not answer might be the only one that has a newer bundle;
    to start with an older one would revert it here.

    :param answers: by daemon id.
    :param domain_daemons: other configured daemons of the failure domain.
    :returns: what is missing, empty if nothing is.
    """
    answered = {
        daemon_id
        for daemon_id, answer in answers.items()
        if isinstance(answer, PeerBundle)
    }
    silent = sorted(domain_daemons - answered)
    if silent:
        return f'no answer from {", ".join(silent)}'
    if not domain_daemons:
        return 'no other daemon in the failure domain to ask'
    return '' if offered_payloads(answers) else 'no peer has a bundle'
