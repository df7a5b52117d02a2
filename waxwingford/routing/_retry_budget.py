"""Retry budget, which limits retries to a fraction of the traffic."""

#: Tokens deposited per first attempt; a retry costs one token.
RETRY_SHARE = 0.1
#: Maximum number of tokens in the budget.
MAX_TOKENS = 50.0


class RetryBudget:
    """Token bucket that first attempts fill and retries empty.

    Limiting retries by traffic prevents the retry storms that a fixed number
    of retries per request causes under overload.

    :ivar share: tokens deposited per first attempt.
    """

    def __init__(
        self, share: float = RETRY_SHARE, max_tokens: float = MAX_TOKENS
    ) -> None:
        """Create a budget filled to a tenth of its maximum.

        :param max_tokens: maximum number of tokens.
        """
        self.share = share
        self._max_tokens = max_tokens
        self._tokens = max_tokens / 10

    def deposit(self) -> None:
        """Add the tokens of a first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self.share)

    def try_withdraw(self) -> bool:
        """Take the token for a retry, if there is one.

        :returns: whether the retry is allowed.
        """
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
