"""Retry budget: retries are a share of traffic, so they cannot multiply it."""

#: Retries that each first request pays for.
RETRY_SHARE = 0.1
#: Retries that may be saved up.
MAX_TOKENS = 50.0


class RetryBudget:
    """Token bucket that requests fill and retries empty.

    With a fixed number of retries for each request, an overload multiplies
    itself: one would notice load at the servers go up as answers go down.
    """

    def __init__(
        self, share: float = RETRY_SHARE, max_tokens: float = MAX_TOKENS
    ) -> None:
        """Start with a tenth of what may be saved.

        :param share: retries that each request pays for.
        :param max_tokens: retries saved at most.
        """
        self.share = share
        self._max_tokens = max_tokens
        self._tokens = max_tokens / 10

    def deposit(self) -> None:
        """Count a first request."""
        self._tokens = min(self._max_tokens, self._tokens + self.share)

    def try_withdraw(self) -> bool:
        """Pay for a retry.

        :returns: whether the budget allows it.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
