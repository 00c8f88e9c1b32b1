"""
What a hub tells the hubs of other data centres.
"""

from plumsaddle_core.core.parts import Feature

from .messages import DataCentreLoad, DataCentreUpdate, encode
from .strangers import RemoteHosts

# The address that spoke for another data centre last is taken for its hub this long
# (seconds); it speaks ten times a second.
REMOTE_HUB_TTL = 1.0
# Rate limits of targets that are told again each second, others each time.
REMOTE_ANTI_ENTROPY_ROWS = 20


class RemoteSender:
    """
    The other data centres, as the host that speaks for one of them knows them.

    Args:
      settings: The `HostSettings`.
      shared: The `SharedState` whose news are told.
      life: The host's life, drawn at its start.
      send: Called with bytes and the address to send them to.
      rng: A `random.Random`, which draws whom to tell while no hub is known.
    """

    def __init__(self, settings, shared, life, send, rng):
        self._settings = settings
        self._shared = shared
        self._incarnation = life
        self._send = send
        self._rng = rng
        self._remote_hubs = {}
        self._load_number = 0
        self._sent_record_count = 0
        self.remote_hosts = RemoteHosts(settings, rng)

    @property
    def has_urgent_update(self):
        """Whether something was seen here that makes a target or a request worse."""
        has_runs = self._shared.suspects.local_record_count != self._sent_record_count
        has_limits = self._shared.limits.advertised.has_remote_pending
        return has_runs or has_limits or self._shared.evidence.has_unsent

    def note_remote_hub(self, centre, address, at):
        """Note which host has spoken for another data centre."""
        self.remote_hosts.add(centre, address, at)
        self._remote_hubs[centre] = (address, at)

    def send_update(self, used, at):
        """
        Tell evidence that was not told yet, and which targets were used.

        Args:
          used: Tags of targets.
          at: The present, in seconds.
        """
        settings = self._settings
        suspects = self._shared.suspects
        runs = [tuple(note) for note in suspects.local_records(at)]
        self._sent_record_count = suspects.local_record_count
        evidence = [
            (e.number, e.target, round(e.ratio, 3))
            for e in self._shared.evidence.next_batch()
        ]
        if Feature.REMOTE_EVIDENCE in settings.disabled_features:
            evidence = []
        limits = self._limit_rows(is_periodic=bool(used))
        if evidence or used or runs or limits:
            far = DataCentreUpdate(
                settings.id, self._incarnation, settings.data_centre, evidence, used
            )
            far.runs = runs
            far.limits = limits
            self._send_to_data_centres(encode(far), at)

    def _limit_rows(self, is_periodic):
        """Return targets' rate limits to tell: what changed, and at times others."""
        named = self._shared.limits.advertised
        rows = named.remote_rows()
        if is_periodic:
            rows += named.anti_entropy_rows(REMOTE_ANTI_ENTROPY_ROWS, self._rng)
        return [tuple(row) for row in rows]

    def send_load(self, at):
        """Tell what the hosts of this data centre have in flight."""
        settings = self._settings
        if Feature.REMOTE_LOAD in settings.disabled_features:
            return
        self._load_number += 1
        load = DataCentreLoad(
            settings.data_centre,
            settings.id,
            self._incarnation,
            self._load_number,
            self._shared.local_load(),
            hosts=tuple(self._shared.quotas.local_hosts()),
            quotas=[tuple(row) for row in self._shared.quotas.remote_rows(at)],
        )
        self._send_to_data_centres(encode(load), at)

    def _send_to_data_centres(self, data, at):
        """Send to one host of each other data centre, its hub if that is known."""
        for centre, strangers in self.remote_hosts.sample(at).items():
            address, heard_at = self._remote_hubs.get(centre, (None, 0.0))
            if at - heard_at >= REMOTE_HUB_TTL:
                address = self._rng.choice(strangers)
            self._send(data, address)
