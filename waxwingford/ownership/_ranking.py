"""Rendezvous hashing: daemons compute equal rankings without coordination."""

import collections
from collections.abc import Iterable

import xxhash


def _weight(daemon_id: str, subject: str) -> int:
    return xxhash.xxh3_64_intdigest(f'{daemon_id}\0{subject}'.encode())


def rank_daemons(daemon_ids: Iterable[str], subject: str) -> list[str]:
    """Rank the daemons for a subject.

    :param daemon_ids: daemons that are believed to be alive.
    :param subject: name of a server, task or other object.
    :returns: daemon IDs, first choice first.
    """
    return sorted(
        daemon_ids,
        key=lambda daemon_id: (_weight(daemon_id, subject), daemon_id),
        reverse=True,
    )


def rank_of(daemon_id: str, daemon_ids: Iterable[str], subject: str) -> int:
    """Compute the rank of a daemon for a subject.

    :param daemon_id: daemon to rank; it need not be in ``daemon_ids``.
    :param daemon_ids: daemons that are believed to be alive.
    :param subject: name of a server, task or other object.
    :returns: rank, 0 for the first choice.
    """
    own_weight = (_weight(daemon_id, subject), daemon_id)
    return sum(
        (_weight(other, subject), other) > own_weight
        for other in daemon_ids
        if other != daemon_id
    )


def shared_out(
    daemon_ids: Iterable[str], subjects: Iterable[str]
) -> dict[str, list[str]]:
    """Rank daemons for many subjects with balanced first choices.

    Plain rendezvous hashing distributes few subjects unevenly.  Here a daemon
    that is already the first choice for its share of the subjects is skipped.
    The result depends only on the sets of names, not on their order.

    :param daemon_ids: daemons that are believed to be alive.
    :param subjects: names of all subjects, for example of servers.
    :returns: daemon IDs by subject, first choice first.
    """
    names = sorted(daemon_ids)
    ordered_subjects = sorted(
        subjects, key=lambda subject: _weight('', subject)
    )
    if not names:
        return {subject: [] for subject in ordered_subjects}
    share = -(-len(ordered_subjects) // len(names))
    first_choice_counts = collections.Counter[str]()
    ranks_by_subject = {}
    for subject in ordered_subjects:
        order = rank_daemons(names, subject)
        first = next(
            name for name in order if first_choice_counts[name] < share
        )
        first_choice_counts[first] += 1
        order.remove(first)
        ranks_by_subject[subject] = [first, *order]
    return ranks_by_subject
