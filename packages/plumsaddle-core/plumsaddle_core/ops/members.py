"""
Tracks the hosts of the fleet by gossip and by the platform's list.

Each host increments its heartbeat, `beat`, while it runs, and hosts gossip their rows.
A row replaces one of the same host if its incarnation is newer, or equal with a higher
beat. A host is alive while its beat grows. The platform's list, which may be stale or
unavailable for hours, only supplies addresses to try. Membership is a hint: no safety
property depends on it.
"""

from typing import NamedTuple

from ..core.ids import Address, DataCentre, HostId, Incarnation, VersionNumber

ALIVE_TTL = 10.0
EVICT_AFTER = 600.0


class Member(NamedTuple):
    """A host's row about itself. Incarnations of a host sort by their start."""

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
    The hosts known to this host.

    Args:
      own: This host's first `Member` row.
      now: The present, in seconds.
    """

    def __init__(self, own, now):
        self.own = own
        self.started_at = now
        self.rows = {}
        self.heard_at = {}
        self.listed = {}

    def advance_beat(self, version, is_leaving, is_suspect_itself):
        """Advance this host's heartbeat and return its row."""
        self.own = self.own._replace(
            beat=self.own.beat + 1,
            version=version,
            is_leaving=is_leaving,
            is_suspect_itself=is_suspect_itself,
        )
        return self.own

    def merge(self, rows, now):
        """
        Merge the rows that another host sent.

        Args:
          rows: A list of `Member`, in any order and of any age.
          now: The present, in seconds.
        """
        for row in rows:
            known = self.rows.get(row.id)
            if row.id == self.own.id or (known and _age(row) <= _age(known)):
                continue
            self.rows[row.id] = row
            self.heard_at[row.id] = now

    def set_listed(self, listed):
        """Set the platform's list, a dict from host id to address."""
        self.listed = {key: at for key, at in listed.items() if key != self.own.id}

    def evict_silent(self, now):
        """Drop hosts not heard of for `EVICT_AFTER` seconds."""
        for key in [key for key, at in self.heard_at.items() if now - at > EVICT_AFTER]:
            del self.rows[key]
            del self.heard_at[key]

    def alive(self, now):
        """Return the rows of the hosts that are alive, without this host's."""
        return [
            row
            for key, row in self.rows.items()
            if now - self.heard_at[key] < ALIVE_TTL
        ]

    def is_gone(self, incarnation, now):
        """
        Return whether an incarnation of a host is believed to be gone.

        Args:
          incarnation: The incarnation, which begins with the host's id.
          now: The present, in seconds.
        Returns:
          Whether it is gone. A host that has just started has not heard of the others
          yet, so it waits for `ALIVE_TTL` before it considers an unknown one gone.
        """
        row = self.rows.get(host_id_of(incarnation))
        if row is None:
            return now - self.started_at > ALIVE_TTL
        if row.incarnation != incarnation:
            return row.incarnation > incarnation
        return now - self.heard_at[row.id] > ALIVE_TTL

    def data_centre_of(self, incarnation):
        """Return the data centre of an incarnation, or an empty text if unknown."""
        key = host_id_of(incarnation)
        row = self.own if key == self.own.id else self.rows.get(key)
        return row.data_centre if row else DataCentre("")

    def choose_peers(self, rng, now, max_count, seeds):
        """
        Choose the peers for a gossip round.

        Args:
          rng: A `random.Random`.
          now: The present, in seconds.
          max_count: The maximum number of peers.
          seeds: Addresses from the settings, for a host that knows no others.
        Returns:
          A list of addresses. One is in another data centre if possible, and sometimes
          one is a seed or only in the platform's list, so that partitioned groups of
          hosts find each other again.
        """
        alive = self.alive(now)
        local = [row.address for row in alive if self._is_local(row)]
        remote = [row.address for row in alive if not self._is_local(row)]
        chosen = rng.sample(remote, min(1, len(remote)))
        chosen += rng.sample(local, min(max_count - len(chosen), len(local)))
        known = {row.address for row in alive} | {self.own.address}
        unknown = sorted((set(self.listed.values()) | set(seeds)) - known)
        if unknown and (not chosen or rng.random() < 0.2):
            chosen = chosen[: max_count - 1] + [rng.choice(unknown)]
        return chosen

    def _is_local(self, row):
        return row.data_centre == self.own.data_centre

    def rows_to_send(self, now, max_count):
        """Return the rows to send: this host's own, then the most recently heard."""
        alive = sorted(self.alive(now), key=lambda row: -self.heard_at[row.id])
        return [self.own, *alive[: max_count - 1]]


def host_id_of(incarnation):
    """Return the host id of an incarnation."""
    return HostId(incarnation.rpartition("@")[0])


def _age(row):
    return row.incarnation, row.beat
