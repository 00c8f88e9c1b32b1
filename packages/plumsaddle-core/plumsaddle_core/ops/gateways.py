"""
The choice of gateways: hosts that open connections to targets for others.

Gateways of the own data centre come first, since traffic between data centres is
charged for. If only a few hosts of the data centre are left, they would have to carry
all others, so part of the connections goes to gateways of other data centres.
"""

# Gateways that are asked for one connection.
MAX_GATEWAYS_TO_ASK = 3
# Seconds for which a gateway that failed is not asked.
FAILED_TTL = 1.0
# Seconds after which gateways that another data centre has not named again expire.
REMOTE_TTL = 4.0
# Partitioned hosts that one gateway of the same data centre may have to carry.
MAX_HOSTS_PER_GATEWAY = 2.0


class Gateways:
    """
    The gateways that one host knows, by address. Times are in seconds.

    Args:
      list_local: Called with the current time; returns the addresses of the gateways of
        the own data centre, and the number of its other live hosts.
      rng: A `random.Random`.
    """

    def __init__(self, list_local, rng):
        self._list_local = list_local
        self._rng = rng
        self._remote = {}
        self._failed_at = {}

    def note_remote(self, addresses, now):
        """Record gateways that another data centre has named, a few of all its own."""
        named = self._remote.items()
        self._remote = {a: at for a, at in named if now - at < REMOTE_TTL}
        self._remote.update(dict.fromkeys(addresses, now))

    def note_failed(self, address, now):
        """Record that a gateway did not respond or could not help."""
        self._failed_at[address] = now

    def note_worked(self, address):
        """Record that a gateway has opened a connection."""
        self._failed_at.pop(address, None)

    def choose(self, now):
        """Return the gateways to ask for a connection, the first one first."""
        self._failed_at = {
            a: at for a, at in self._failed_at.items() if now - at < FAILED_TTL
        }
        local, other_count = self._list_local(now)
        local = self._shuffle(local)
        remote = self._shuffle(self._remote_addresses(now))
        capacity = MAX_HOSTS_PER_GATEWAY * len(local)
        local_share = min(1.0, capacity / max(1.0, other_count + 1 - len(local)))
        if remote and self._rng.random() >= local_share:
            local, remote = remote, local
        return (local + remote)[:MAX_GATEWAYS_TO_ASK]

    def is_known(self, address, now):
        """Return whether an address is one of a gateway."""
        local, _ = self._list_local(now)
        return address in local or address in self._remote_addresses(now)

    def _remote_addresses(self, now):
        return [a for a, at in self._remote.items() if now - at < REMOTE_TTL]

    def _shuffle(self, addresses):
        """Return the addresses that have not failed, in random order."""
        usable = [a for a in addresses if a not in self._failed_at]
        return self._rng.sample(usable, len(usable))
