"""
Hosts of other data centres that a host has heard of.

A few of each are enough, since any one of them passes on what it is told, and they are
replaced as others are heard. Each host knows its own few, so that no host's loss cuts
two data centres off from each other.
"""

from plumsaddle_core.ops.neighbours import PEER_TTL

from ..utils.addresses import is_address

# Hosts of each other data centre that a beat or an answer names.
STRANGERS_NAMED = 3
# Hosts kept of each other data centre. Those heard last are kept, so a few that are up
# are always among them.
STRANGERS_KEPT = 16


class Strangers:
    """
    The hosts of other data centres, by data centre and address.

    Args:
      settings: The `HostSettings`, which name the data centres.
      rng: A `random.Random`.
    """

    def __init__(self, settings, rng):
        self._own = settings.data_centre
        self._others = set(settings.data_centres) - {settings.data_centre}
        self._rng = rng
        self._heard_at = {}

    def remember(self, centre, address, at):
        """Keep a host of another data centre as one that was up at a moment."""
        heard_at = self._heard_at.setdefault(centre, {})
        heard_at[address] = max(at, heard_at.get(address, at))
        if len(heard_at) > STRANGERS_KEPT:
            del heard_at[min(heard_at, key=heard_at.get)]

    def learn(self, named, now):
        """
        Take hosts that another host named, as maybe up.

        Args:
          named: A dictionary of data centre to addresses.
          now: The present, in seconds.
        """
        for centre in self._others & set(named):
            for address in filter(is_address, named[centre]):
                self.remember(centre, address, now - PEER_TTL / 2)

    def of(self, centre, now):
        """Return the hosts of a data centre that may be up."""
        heard_at = self._heard_at.get(centre, {})
        return [a for a, heard in heard_at.items() if now - heard < PEER_TTL]

    def some(self, now):
        """Return a few hosts of each other data centre, by data centre."""
        some = {}
        for centre in self._heard_at:
            fresh = self.of(centre, now)
            if fresh:
                some[centre] = self._rng.sample(fresh, min(STRANGERS_NAMED, len(fresh)))
        return some

    def are_few(self, now):
        """Return whether one or two lost hosts could cut this one off."""
        return any(len(self.of(c, now)) < STRANGERS_NAMED for c in self._others)
