"""
Forwarding of store changes from readers to the other hosts of their data centre.
"""

import logging
import math

from plumsaddle_core.ops.peer_table import StoreStatus

from .clock import now
from .messages import Records, decode_records, encode, encode_records

log = logging.getLogger("peers")
# Limit (seconds) of the reported time since the store became available again.
MAX_RECOVERY_AGE = 60.0


class ReaderRole:
    """
    Whether this host is a reader, and the store changes that readers forward.

    Args:
      store_access: The host's `StoreAccess`.
      feeds: Each `Feed` of the host.
      peer_table: The `PeerTable`.
      send: Called with bytes and the addresses to send them to.
    """

    def __init__(self, store_access, feeds, peer_table, send):
        self._store_access = store_access
        self._feeds = {feed.topic: feed for feed in feeds}
        self._peer_table = peer_table
        self._send = send

    def store_status(self, at):
        """Return the host's `StoreStatus`."""
        return self._store_access.status(at)

    def update(self, may_read, at):
        """
        Start or stop following the store on behalf of the other hosts.

        Args:
          may_read: Whether this host is allowed to be a reader yet.
          at: The current time, in seconds.
        """
        store_status = self._store_access.status(at)
        is_reader = may_read and self._peer_table.is_reader(store_status, at)
        self._store_access.is_store_prober = self._peer_table.is_store_prober(at)
        if self._store_access.set_reader(is_reader):
            log.info(
                "reader role changed",
                extra={"is_reader": is_reader, "contact": store_status.name},
            )
            for feed in self._feeds.values():
                feed.wake()

    # At readers.

    @property
    def is_reader(self):
        """Whether this host follows the store on behalf of the other hosts."""
        return self._store_access.is_reader

    def read_offsets(self, at):
        """
        Return how far this host has read, for its heartbeat.

        Returns:
          The next offset by topic, and the seconds since the store confirmed it. Empty
          unless this host is a reader with access to the store. Offsets of a former era
          are left out.
        """
        if self._store_access.status(at) is not StoreStatus.READING:
            return {}
        return {
            topic: (feed.next_offset, max(0.0, at - feed.confirmed_at))
            for topic, feed in self._feeds.items()
            if feed.confirmed_at > -math.inf
            and feed.position is not None
            and feed.position.era == self._store_access.era
        }

    @property
    def store_era(self):
        """The era of `read_offsets`, or None if this host hasn't reached the store."""
        return self._store_access.era

    @property
    def has_been_restored(self):
        """Whether this host has seen the store come back from an older copy."""
        return self._store_access.has_been_restored

    def recovery_age(self, at):
        """Return the seconds since this host regained access to the store."""
        return min(MAX_RECOVERY_AGE, max(0.0, at - self._store_access.recovered_at))

    def send_records(self, topic, page):
        """
        Send a page's records to all other hosts.

        Args:
          topic: The topic's name.
          page: A `Page` with records.
        """
        # Where the read began, which may be after the last offset that this host knew.
        start = page.records[0].offset
        compressed = encode_records(page.records)
        if compressed is None:
            log.info(
                "records too large to forward", extra={"topic": topic, "at": start}
            )
            return
        recovery_age = self.recovery_age(now())
        records = Records(
            topic, start, page.next_offset, recovery_age, compressed, page.era
        )
        self._send(encode(records), *self._peer_table.addresses())

    # At the other hosts.

    def apply_records(self, message, at):
        """Apply records that a reader has forwarded."""
        feed = self._feeds.get(message.topic)
        if feed is None:
            return
        records = decode_records(message.compressed)
        self._store_access.note_recovery(at - message.recovery_age)
        feed.apply_page(
            message.start_offset, records, message.next_offset, at, message.era
        )

    def apply_heartbeat(self, heartbeat, at):
        """Apply the store state in a host's heartbeat."""
        if heartbeat.store_status is StoreStatus.READING:
            self._store_access.note_recovery(at - heartbeat.recovery_age)
        offsets = heartbeat.restored_offsets or heartbeat.read_offsets
        for topic, (offset, age) in offsets.items():
            if topic in self._feeds:
                self._feeds[topic].note_reader_offset(
                    offset, age, at, heartbeat.store_era
                )
