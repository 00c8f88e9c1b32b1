"""
Known hosts of other data centres.

A few per data centre are enough, since each forwards what it receives. Every host
keeps its own selection, so the loss of one host doesn't disconnect two data centres.
"""

from plumsaddle_core.ops.peer_table import PEER_TTL

from ..utils.addresses import is_address

# Hosts of each other data centre that a heartbeat or an answer lists.
HOSTS_PER_MESSAGE = 3
# Hosts kept per data centre: those that sent most recently.
MAX_HOSTS_PER_DATA_CENTRE = 16


class RemoteHosts:
    """
    Addresses of hosts of other data centres, by data centre.

    Args:
      settings: The `HostSettings`, which list the data centres.
      rng: A `random.Random`.
    """

    def __init__(self, settings, rng):
        self._own_data_centre = settings.data_centre
        self._other_data_centres = set(settings.data_centres) - {settings.data_centre}
        self._rng = rng
        self._heard_at = {}

    def add(self, data_centre, address, at):
        """Add a host of another data centre that was live at a time, in seconds."""
        heard_at = self._heard_at.setdefault(data_centre, {})
        heard_at[address] = max(at, heard_at.get(address, at))
        if len(heard_at) > MAX_HOSTS_PER_DATA_CENTRE:
            del heard_at[min(heard_at, key=heard_at.get)]

    def add_candidates(self, addresses, now):
        """
        Add hosts that another host listed; they expire soon unless they send.

        Args:
          addresses: Addresses by data centre.
          now: The current time, in seconds.
        """
        for data_centre in self._other_data_centres & set(addresses):
            for address in filter(is_address, addresses[data_centre]):
                self.add(data_centre, address, now - PEER_TTL / 2)

    def addresses(self, data_centre, now):
        """Return the addresses of a data centre's hosts that have not expired."""
        heard_at = self._heard_at.get(data_centre, {})
        return [a for a, heard in heard_at.items() if now - heard < PEER_TTL]

    def sample(self, now):
        """Return a few addresses per data centre, drawn at random."""
        samples = {}
        for data_centre in self._heard_at:
            addresses = self.addresses(data_centre, now)
            if addresses:
                samples[data_centre] = self._rng.sample(
                    addresses, min(HOSTS_PER_MESSAGE, len(addresses))
                )
        return samples

    def needs_more(self, now):
        """Return whether too few hosts of some data centre are known."""
        return any(
            len(self.addresses(c, now)) < HOSTS_PER_MESSAGE
            for c in self._other_data_centres
        )
