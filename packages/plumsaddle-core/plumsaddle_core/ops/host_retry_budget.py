"""
The retry budget of one host for a service.

Retries are limited to a share of the service's recent requests, since retrying every
request of a failing service would double its load. Each host spends a share of its own
requests, so the fleet's retries stay below the same share of the fleet's requests.
"""

INITIAL_TOKENS = 3.0
MAX_TOKENS = 100.0


class HostRetryBudget:
    """
    A token bucket that requests fill and retries empty.

    Args:
      ratio: The tokens that each request adds.
    """

    def __init__(self, ratio):
        self.ratio = ratio
        self.tokens = INITIAL_TOKENS

    def note_request(self):
        """Add the tokens of an incoming request."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio)

    def has_retry(self):
        """Return whether a retry may be sent now."""
        return self.tokens >= 1.0

    def spend(self):
        """Return whether a retry may be sent, and take its token if so."""
        if not self.has_retry():
            return False
        self.tokens -= 1.0
        return True
