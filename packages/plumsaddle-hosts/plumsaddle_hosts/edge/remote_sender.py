"""
Updates that a hub sends to other data centres.
"""

from plumsaddle_core.core.features import Feature
from plumsaddle_core.utils.pending import MAX_ROWS

from .messages import DataCentreLoad, DataCentreUpdate, encode
from .remote_hosts import RemoteHosts

# The host of another data centre that sent last is taken for its hub for this long
# (seconds). Hubs send ten times a second.
REMOTE_HUB_TTL = 1.0
# Notices of targets, of each kind, that are sent again each second, drawn at random.
REMOTE_ANTI_ENTROPY_ROWS = 20
# Seconds until a host of another data centre is sent all notices again.
NOTICES_INTERVAL = 5.0
# Gateways that a periodic update names, drawn at random.
GATEWAYS_PER_UPDATE = 4


class RemoteSender:
    """
    Sends updates on behalf of this data centre to one host of each other one.

    Args:
      settings: The `HostSettings`.
      shared: The `SharedState` to send updates of.
      incarnation: The host's incarnation.
      send: Called with bytes and the address to send them to.
      rng: A `random.Random`, which selects receivers while no hub is known.
    """

    def __init__(self, settings, shared, incarnation, send, rng):
        self._settings = settings
        self._shared = shared
        self._incarnation = incarnation
        self._send = send
        self._rng = rng
        self._remote_hubs = {}
        # When hosts of other data centres were last sent all notices.
        self._notices_sent_at = {}
        self._load_number = 0
        self._sent_record_count = 0
        self.remote_hosts = RemoteHosts(settings, rng)

    @property
    def has_urgent_update(self):
        """Whether crashes, notices or failure evidence are waiting to be sent."""
        has_run_records = (
            self._shared.suspects.local_record_count != self._sent_record_count
        )
        has_notices = (
            self._shared.limits.advertised.has_remote_pending
            or self._shared.availability.has_remote_pending
        )
        return has_run_records or has_notices or self._shared.evidence.has_unsent

    def note_remote_hub(self, data_centre, address, at):
        """Record which host has sent on behalf of another data centre."""
        self.remote_hosts.add(data_centre, address, at)
        former, _ = self._remote_hubs.get(data_centre, (None, 0.0))
        self._remote_hubs[data_centre] = (address, at)
        if address != former:
            # What was sent to the former one may be lost.
            self.send_notices(address, at)

    def send_notices(self, address, at):
        """Send known notices to a host of another data centre that may lack them."""
        self._notices_sent_at = {
            a: sent_at
            for a, sent_at in self._notices_sent_at.items()
            if at - sent_at < NOTICES_INTERVAL
        }
        if address in self._notices_sent_at:
            return
        self._notices_sent_at[address] = at
        limits, draining = (
            notices.anti_entropy_rows(MAX_ROWS, self._rng)
            for notices in (self._shared.limits.advertised, self._shared.availability)
        )
        if limits or draining:
            update = self._make_update(at)
            update.limits, update.draining = [tuple(row) for row in limits], draining
            # Not on behalf of the data centre, or this host would be taken for its hub.
            update.is_forwarded = True
            self._send(encode(update), address)

    def send_update(self, at, is_periodic=False, gateways=()):
        """
        Send pending evidence, run records and notices, and when targets were used.

        Args:
          at: The current time, in seconds.
          is_periodic: Whether to send what is repeated once a second: all targets in
            use rather than those of the evidence, and the results of all services.
          gateways: In the periodic update, the gateways of this data centre.
        """
        settings = self._settings
        self._sent_record_count = self._shared.suspects.local_record_count
        shared = self._shared
        evidence = [
            (e.number, e.target, round(e.ratio, 3))
            for e in shared.evidence.next_batch()
        ]
        if Feature.REMOTE_EVIDENCE in settings.disabled_features:
            evidence = []
        targets = None if is_periodic else [target for _, target, _ in evidence]
        ages = shared.local_use_ages(at, targets)
        limits = self._notice_rows(shared.limits.advertised, is_periodic)
        draining = self._notice_rows(shared.availability, is_periodic)
        update = self._make_update(at)
        count = min(GATEWAYS_PER_UPDATE, len(gateways))
        update.gateways = self._rng.sample(list(gateways), count)
        update.results = shared.results(at, are_all=is_periodic)
        has_notices = update.run_records or limits or draining or update.results
        if evidence or ages or has_notices or update.gateways:
            update.evidence, update.used_tags = evidence, list(ages)
            update.use_ages = [round(1000 * age) for age in ages.values()]
            update.limits, update.draining = [tuple(row) for row in limits], draining
            self._send_to_data_centres(encode(update), at)

    def _make_update(self, at):
        """Return an update with the run records, which every update repeats."""
        settings, suspects = self._settings, self._shared.suspects
        update = DataCentreUpdate(
            settings.id, self._incarnation, settings.data_centre, [], []
        )
        update.run_records = [tuple(record) for record in suspects.local_records(at)]
        return update

    def _notice_rows(self, notices, is_periodic):
        """Return the notices to send: changed ones, and periodically others."""
        rows = notices.remote_rows()
        if is_periodic:
            rows += notices.anti_entropy_rows(REMOTE_ANTI_ENTROPY_ROWS, self._rng)
        return rows

    def send_load(self, at):
        """Send the data centre's requests in flight, host count and quotas."""
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
            host_count=tuple(self._shared.quotas.local_hosts()),
            quotas=[tuple(row) for row in self._shared.quotas.remote_rows(at)],
        )
        self._send_to_data_centres(encode(load), at)

    def _send_to_data_centres(self, data, at):
        """Send to one host of each other data centre, its hub if known."""
        for data_centre, addresses in self.remote_hosts.sample(at).items():
            address, heard_at = self._remote_hubs.get(data_centre, (None, 0.0))
            if at - heard_at >= REMOTE_HUB_TTL:
                address = self._rng.choice(addresses)
            self._send(data, address)
