"""Rendezvous hashing: every daemon ranks the same way without talking."""

import collections
from collections.abc import Iterable

import xxhash


def _weight(daemon_id: str, subject: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{daemon_id}\0{subject}'.encode())


def ranked(daemon_ids: Iterable[str], subject: str) -> list[str]:
    """Order daemons by preference for a subject.

    :param daemon_ids: daemons that seem alive.
    :param subject: a server, task or anything else with a name.
    :returns: the daemons, first choice first.
    """
    return sorted(
        daemon_ids,
        key=lambda daemon_id: (_weight(daemon_id, subject), daemon_id),
        reverse=True,
    )


def rank_of(daemon_id: str, daemon_ids: Iterable[str], subject: str) -> int:
    """Tell a daemon's place in the order.

    :param daemon_id: whose place; it counts also if it is not listed.
    :param daemon_ids: daemons that seem alive.
    :param subject: what they are ranked for.
    :returns: 0 for the first choice.
    """
    own = (_weight(daemon_id, subject), daemon_id)
    return sum(
        (_weight(other, subject), other) > own
        for other in daemon_ids
        if other != daemon_id
    )


def shared_out(
    daemon_ids: Iterable[str], subjects: Iterable[str]
) -> dict[str, list[str]]:
    """Rank daemons for many subjects, so that each is first for a fair share.

    Plain rendezvous hashing gave one of two daemons five of six servers.
    Here a daemon that is first for its share already is passed over, in an
    order of subjects that depends on their names only: the same hints give the
    same answer everywhere, and different hints do no harm.

    :param daemon_ids: daemons that seem alive.
    :param subjects: all servers.
    :returns: by subject the daemons, first choice first.
    """
    names = sorted(daemon_ids)
    in_order = sorted(subjects, key=lambda subject: _weight('', subject))
    if not names:
        return {subject: [] for subject in in_order}
    share = -(-len(in_order) // len(names))
    first_of = collections.Counter[str]()
    ranks_by_subject = {}
    for subject in in_order:
        order = ranked(names, subject)
        first = next(name for name in order if first_of[name] < share)
        first_of[first] += 1
        order.remove(first)
        ranks_by_subject[subject] = [first, *order]
    return ranks_by_subject
