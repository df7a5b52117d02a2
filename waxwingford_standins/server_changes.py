"""Which attempts of a stand-in backend server changed since an answer."""

from collections.abc import Iterable

from waxwingford.ports import TaskKey, TaskReport


class ChangeCounter:
    """Counts changes of attempts in one boot.

    :ivar version: changes so far.
    """

    def __init__(self) -> None:
        """Start with a boot."""
        self.version = 0
        self._version_by_key: dict[TaskKey, int] = {}
        self._first_by_key: dict[TaskKey, int] = {}
        self._shown_by_key: dict[TaskKey, tuple[str, bool]] = {}

    def note(self, reports: Iterable[TaskReport]) -> None:
        """Compare all attempts with what was noted before.

        :param reports: every attempt that the server knows now.
        """
        known = set()
        for report in reports:
            known.add(report.key)
            shown = (report.phase.value, report.throttled)
            if self._shown_by_key.get(report.key) != shown:
                self.version += 1
                self._shown_by_key[report.key] = shown
                self._version_by_key[report.key] = self.version
                self._first_by_key.setdefault(report.key, self.version)
        for key in self._shown_by_key.keys() - known:
            self._shown_by_key.pop(key)
            self._version_by_key.pop(key)
            self._first_by_key.pop(key)

    def changed(
        self, reports: Iterable[TaskReport], since: int
    ) -> tuple[TaskReport, ...]:
        """Choose what changed after a version.

        :param reports: every attempt, as noted just now.
        :param since: the version.
        :returns: the changed ones.
        """
        return tuple(
            report
            for report in reports
            if self._version_by_key[report.key] > since
        )

    def named(self, version: int) -> tuple[TaskKey, ...]:
        """List attempts that an answer of a version, or one before, named.

        :param version: the version.
        :returns: keys of attempts that are still known.
        """
        return tuple(
            key for key, first in self._first_by_key.items() if first <= version
        )
