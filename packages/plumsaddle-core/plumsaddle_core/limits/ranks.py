"""
Strict priority among the kinds of request of a workspace that is over its limit.

It answers a workspace whose least urgent requests use up the limit that its urgent ones
need. Below the reserve of its limit, a workspace is allowed a part of its demand
(`meter`). That part goes to the most urgent rank first, and what is left of it to the
next one, so that nothing is kept for urgent requests that do not come.

All hosts know the demand of a workspace on all of them, but each only its own mix of
ranks. Callers are spread over the hosts, so the mixes are alike. A host that receives
few requests of a workspace takes the mix of all workspaces in addition.
"""

# The time constant in seconds with which a mix follows the requests. A burst of a kind
# takes seconds, and a mix of few requests is inaccurate.
MIX_TIME = 4.0
# The requests of a workspace for which the mix of all workspaces stands in.
PRIOR_REQUESTS = 10.0


class RankMix:
    """
    The decaying numbers of requests by rank.

    Args:
      make_sum: Returns a new sum with a time constant.
    """

    __slots__ = ("_make_sum", "_sums")

    def __init__(self, make_sum):
        self._make_sum = make_sum
        self._sums = {}

    def add(self, rank, now):
        """Count a request."""
        if rank not in self._sums:
            self._sums[rank] = self._make_sum(MIX_TIME)
        self._sums[rank].add(1.0, now)

    @property
    def last_rank(self):
        """The least urgent rank of any request."""
        return max(self._sums, default=0)

    def counts(self, now):
        """Return the decayed numbers by rank."""
        return {rank: total.at(now) for rank, total in self._sums.items()}


def blend(counts, prior):
    """
    Return the fraction of each rank.

    Args:
      counts: The numbers of a workspace's requests by rank.
      prior: Those of all workspaces.

    Example:
        >>> blend({0: 3.0, 1: 3.0}, {0: 10.0})
        {0: 0.75, 1: 0.25}
    """
    all_prior = sum(prior.values())
    scale = PRIOR_REQUESTS / all_prior if all_prior else 0.0
    total = sum(counts.values()) + scale * all_prior
    return {
        rank: (counts.get(rank, 0.0) + scale * prior.get(rank, 0.0)) / total
        for rank in sorted(counts.keys() | prior.keys())
    }


def rank_probability(probability, fractions, rank):
    """
    Return the probability with which to admit a request of a rank.

    Args:
      probability: That of a request of any rank.
      fractions: The fraction of each rank in the demand.
      rank: The request's rank; 0 is the most urgent.

    Example:
        >>> rank_probability(0.5, {0: 0.25, 1: 0.5, 2: 0.25}, 0)
        1.0
        >>> rank_probability(0.5, {0: 0.25, 1: 0.5, 2: 0.25}, 1)
        0.5
    """
    more_urgent = sum(part for other, part in fractions.items() if other < rank)
    own = fractions.get(rank, 0.0)
    if own <= 0.0:
        return float(probability > more_urgent)
    return max(0.0, min(1.0, (probability - more_urgent) / own))
