"""Retry budget: retries are a share of traffic, so they cannot multiply it."""

#: Retries that each first request pays for.
RETRY_SHARE = 0.1
#: Retries that may be saved up.
MOST_SAVED = 50.0


class RetryBudget:
    """Token bucket that requests fill and retries empty.

    With a fixed number of retries for each request, an overload multiplies
    itself: one would notice load at the servers go up as answers go down.
    """

    def __init__(
        self, share: float = RETRY_SHARE, most_saved: float = MOST_SAVED
    ) -> None:
        """Start with a tenth of what may be saved.

        :param share: retries that each request pays for.
        :param most_saved: retries saved at most.
        """
        self.share = share
        self._most_saved = most_saved
        self._saved = most_saved / 10

    def fill(self) -> None:
        """Count a first request."""
        self._saved = min(self._most_saved, self._saved + self.share)

    def take(self) -> bool:
        """Pay for a retry.

        :returns: whether the budget allows it.
        """
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
