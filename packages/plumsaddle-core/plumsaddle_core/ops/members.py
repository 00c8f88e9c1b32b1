"""
Which hosts there are, from the platform's list and from the hosts' own words.

Each host's beat grows while it runs. Hosts pass each other's rows on, and a row
replaces an older one of the same host if its incarnation is newer, or the same with
a higher beat. A host is alive while its beat grows; the platform's list, which lags
and may be away for hours, only tells of addresses to try. All of it is a hint:
nothing that must hold depends on who is believed to be alive.
"""

from typing import NamedTuple

from ..core.ids import Address, DataCentre, HostId, Incarnation, VersionNumber

ALIVE_FOR = 10.0
FORGET_AFTER = 600.0


class Member(NamedTuple):
    """A host as it tells of itself. Incarnations of one host sort by their start."""

    id: HostId
    incarnation: Incarnation
    beat: int
    address: Address
    data_centre: DataCentre
    version: VersionNumber
    is_leaving: bool
    is_suspect_itself: bool = False


class Members:
    """
    The hosts known to this one.

    Args:
      own: This host's first `Member` row.
      now: The present, in seconds.
    """

    def __init__(self, own, now):
        self.own = own
        self.started = now
        self.rows = {}
        self.heard = {}
        self.listed = {}

    def beat(self, version, is_leaving, is_suspect_itself):
        """Return this host's row for the next exchange."""
        self.own = self.own._replace(
            beat=self.own.beat + 1,
            version=version,
            is_leaving=is_leaving,
            is_suspect_itself=is_suspect_itself,
        )
        return self.own

    def merge(self, rows, now):
        """
        Take rows that another host passed on.

        Args:
          rows: A list of `Member`, in any order, as old as they may be.
          now: The present, in seconds.
        """
        for row in rows:
            known = self.rows.get(row.id)
            if row.id == self.own.id or (known and _age(row) <= _age(known)):
                continue
            self.rows[row.id] = row
            self.heard[row.id] = now

    def set_listed(self, listed):
        """Take the platform's list: a dict from host id to address."""
        self.listed = {key: at for key, at in listed.items() if key != self.own.id}

    def evict_silent(self, now):
        """Drop hosts that have been silent for long."""
        for key in [key for key, at in self.heard.items() if now - at > FORGET_AFTER]:
            del self.rows[key]
            del self.heard[key]

    def alive(self, now):
        """Return the rows of the hosts that were heard of lately, but the own one."""
        return [
            row for key, row in self.rows.items() if now - self.heard[key] < ALIVE_FOR
        ]

    def is_gone(self, incarnation, now):
        """
        Tell whether an incarnation of a host is believed to be gone.

        Args:
          incarnation: The incarnation, which begins with the host's id.
          now: The present, in seconds.
        Returns:
          False while it may still speak for itself. A host that has just started
          has heard of nobody yet and waits before it calls anybody gone.
        """
        row = self.rows.get(host_of(incarnation))
        if row is None:
            return now - self.started > ALIVE_FOR
        if row.incarnation != incarnation:
            return row.incarnation > incarnation
        return now - self.heard[row.id] > ALIVE_FOR

    def data_centre_of(self, incarnation):
        """Return the data centre of a host's incarnation, or an empty text."""
        key = host_of(incarnation)
        row = self.own if key == self.own.id else self.rows.get(key)
        return row.data_centre if row else DataCentre("")

    def choose_peers(self, rng, now, most, seeds):
        """
        Choose whom to exchange with in this round.

        Args:
          rng: A `random.Random`.
          now: The present, in seconds.
          most: How many to choose.
          seeds: Addresses from the settings, for a host that knows nobody.
        Returns:
          A list of addresses: one in another data centre if there is any, and now
          and then one that is only listed or a seed, so that groups of hosts that
          lost each other for long find each other again.
        """
        alive = self.alive(now)
        near = [row.address for row in alive if self._is_near(row)]
        far = [row.address for row in alive if not self._is_near(row)]
        chosen = rng.sample(far, min(1, len(far)))
        chosen += rng.sample(near, min(most - len(chosen), len(near)))
        known = {row.address for row in alive} | {self.own.address}
        silent = sorted((set(self.listed.values()) | set(seeds)) - known)
        if silent and (not chosen or rng.random() < 0.2):
            chosen = chosen[: most - 1] + [rng.choice(silent)]
        return chosen

    def _is_near(self, row):
        return row.data_centre == self.own.data_centre

    def rows_to_send(self, now, most):
        """Return the rows to pass on, the own one first, then the newest."""
        alive = sorted(self.alive(now), key=lambda row: -self.heard[row.id])
        return [self.own, *alive[: most - 1]]


def host_of(incarnation):
    """Return the id of the host that an incarnation belongs to."""
    return HostId(incarnation.rpartition("@")[0])


def _age(row):
    return row.incarnation, row.beat
