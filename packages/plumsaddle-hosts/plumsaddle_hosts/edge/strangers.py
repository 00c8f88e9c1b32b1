"""
Hosts of other data centres that a host has heard of.

A few of each are enough, since any one of them passes on what it is told, and they are
replaced as others are heard. Each host knows its own few, so that no host's loss cuts
two data centres off from each other.
"""

from plumsaddle_core.ops.neighbours import PEER_TTL

from ..utils.addresses import is_address

# Hosts of each other data centre that a beat or an answer names.
HOSTS_PER_MESSAGE = 3
# Hosts kept of each other data centre. Those heard last are kept, so a few that are up
# are always among them.
MAX_HOSTS_PER_DATA_CENTRE = 16


class RemoteHosts:
    """
    The hosts of other data centres, by data centre and address.

    Args:
      settings: The `HostSettings`, which name the data centres.
      rng: A `random.Random`.
    """

    def __init__(self, settings, rng):
        self._own_data_centre = settings.data_centre
        self._other_data_centres = set(settings.data_centres) - {settings.data_centre}
        self._rng = rng
        self._heard_at = {}

    def add(self, centre, address, at):
        """Keep a host of another data centre as one that was up at a moment."""
        heard_at = self._heard_at.setdefault(centre, {})
        heard_at[address] = max(at, heard_at.get(address, at))
        if len(heard_at) > MAX_HOSTS_PER_DATA_CENTRE:
            del heard_at[min(heard_at, key=heard_at.get)]

    def add_candidates(self, named, now):
        """
        Take hosts that another host named, as maybe up.

        Args:
          named: A dictionary of data centre to addresses.
          now: The present, in seconds.
        """
        for centre in self._other_data_centres & set(named):
            for address in filter(is_address, named[centre]):
                self.add(centre, address, now - PEER_TTL / 2)

    def live(self, centre, now):
        """Return the hosts of a data centre that may be up."""
        heard_at = self._heard_at.get(centre, {})
        return [a for a, heard in heard_at.items() if now - heard < PEER_TTL]

    def sample(self, now):
        """Return a few hosts of each other data centre, by data centre."""
        some = {}
        for centre in self._heard_at:
            fresh = self.live(centre, now)
            if fresh:
                some[centre] = self._rng.sample(
                    fresh, min(HOSTS_PER_MESSAGE, len(fresh))
                )
        return some

    def needs_more(self, now):
        """Return whether one or two lost hosts could cut this one off."""
        return any(
            len(self.live(c, now)) < HOSTS_PER_MESSAGE for c in self._other_data_centres
        )
