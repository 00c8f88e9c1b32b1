"""
How many retries a service may be given.

Retries are a share of the requests that came lately, counted for the service and
not for a request: when a service is in trouble, every request would like a second
try, and together they would double the load that the service cannot carry. Each
host spends a share of its own requests, so the fleet's retries stay below the same
share of the fleet's requests.
"""

SMALLEST = 3.0
MOST = 100.0


class HostRetryBudget:
    """
    A token bucket that requests fill and retries empty.

    Args:
      ratio: The retries that one request allows for.
    """

    def __init__(self, ratio):
        self.ratio = ratio
        self.tokens = SMALLEST

    def note_request(self):
        """Count a request that came in."""
        self.tokens = min(MOST, self.tokens + self.ratio)

    def has_retry(self):
        """Return whether a retry could go out now."""
        return self.tokens >= 1.0

    def spend(self):
        """Return whether a retry may go out, and count it if so."""
        if not self.has_retry():
            return False
        self.tokens -= 1.0
        return True
