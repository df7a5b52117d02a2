"""Tracks which attempts of a stand-in backend server changed."""

from collections.abc import Iterable

from waxwingford.ports import AttemptKey, AttemptReport


class ChangeTracker:
    """Versions the changes of attempts within one boot.

    :ivar version: number of changes so far.
    """

    def __init__(self) -> None:
        self.version = 0
        self._version_by_key: dict[AttemptKey, int] = {}
        self._first_version_by_key: dict[AttemptKey, int] = {}
        self._reported_by_key: dict[AttemptKey, tuple[str, bool]] = {}

    def record(self, reports: Iterable[AttemptReport]) -> None:
        """Record the changes since the previous call.

        :param reports: reports of all attempts of the server.
        """
        current_keys = set()
        for report in reports:
            current_keys.add(report.key)
            reported = (report.phase.value, report.throttled)
            if self._reported_by_key.get(report.key) != reported:
                self.version += 1
                self._reported_by_key[report.key] = reported
                self._version_by_key[report.key] = self.version
                self._first_version_by_key.setdefault(report.key, self.version)
        for key in self._reported_by_key.keys() - current_keys:
            self._reported_by_key.pop(key)
            self._version_by_key.pop(key)
            self._first_version_by_key.pop(key)

    def changed_since(
        self, reports: Iterable[AttemptReport], version: int
    ) -> tuple[AttemptReport, ...]:
        """Select the reports that changed after a version.

        :param reports: reports of all attempts, as last recorded.
        :param version: version to compare with.
        """
        return tuple(
            report
            for report in reports
            if self._version_by_key[report.key] > version
        )

    def reported_by(self, version: int) -> tuple[AttemptKey, ...]:
        """List attempts that responses up to a version reported.

        :param version: version of the last such response.
        :returns: keys of attempts that the server still keeps.
        """
        return tuple(
            key
            for key, first in self._first_version_by_key.items()
            if first <= version
        )
