"""
What a reader tells the other hosts of its data centre, and what they make of it.
"""

import logging
import math

from plumsaddle_core.ops.neighbours import StoreStatus

from .clock import now
from .messages import Records, decode_records, encode, encode_records

log = logging.getLogger("peers")
# A return of the store that is longer ago than this (seconds) is not told any more.
MAX_RECOVERY_AGE = 60.0


class ReaderRole:
    """
    The data centre's readers, as one host that may be one of them sees them.

    Args:
      gate: The `Gate` that tells how the host stands to the store.
      feeds: Each `Feed` of the host.
      peer_table: The `PeerTable`.
      send: Called with bytes and the addresses to send them to.
    """

    def __init__(self, gate, feeds, peer_table, send):
        self._gate = gate
        self._feeds = {feed.topic: feed for feed in feeds}
        self._peer_table = peer_table
        self._send = send

    def contact(self, at):
        """Return how this host stands to the store, as a `StoreStatus`."""
        return self._gate.status(at)

    def update(self, may_read, at):
        """
        Begin or cease to follow the store for the others.

        Args:
          may_read: Whether this host may be a reader at all by now.
          at: The present, in seconds.
        """
        contact = self._gate.status(at)
        is_reader = may_read and self._peer_table.is_reader(contact, at)
        self._gate.is_store_prober = self._peer_table.is_store_prober(at)
        if self._gate.set_reader(is_reader):
            log.info("reader", extra={"is_reader": is_reader, "contact": contact.name})
            for feed in self._feeds.values():
                feed.wake()

    # What a reader tells.

    @property
    def is_reader(self):
        """Whether this host follows the store for the others."""
        return self._gate.is_reader

    def read_offsets(self, at):
        """
        Return how far this host has read, as beats tell it.

        Returns:
          By topic the next offset, and how many seconds ago the store said so; nothing
          unless this host is a reader that the store answers.
        """
        if self._gate.status(at) is not StoreStatus.READING:
            return {}
        return {
            topic: (feed.next_offset, max(0.0, at - feed.confirmed_at))
            for topic, feed in self._feeds.items()
            if feed.confirmed_at > -math.inf
        }

    def recovery_age(self, at):
        """Return how many seconds ago the store came back for this host."""
        return min(MAX_RECOVERY_AGE, max(0.0, at - self._gate.recovered_at))

    def send_records(self, topic, page):
        """
        Send changes to all other hosts.

        Args:
          topic: The topic's name.
          page: A `Page` that is not empty.
        """
        # Where the read began, whatever this host knew when it first asked.
        start = page.records[0].offset
        packed = encode_records(page.records)
        if packed is None:
            log.info("long records", extra={"topic": topic, "at": start})
            return
        returned = self.recovery_age(now())
        records = Records(topic, start, page.next_offset, returned, packed)
        self._send(encode(records), *self._peer_table.addresses())

    # What the others make of it.

    def apply_records(self, message, at):
        """Take changes of the store from a reader."""
        feed = self._feeds.get(message.topic)
        if feed is None:
            return
        records = decode_records(message.packed)
        self._gate.note_recovery(at - message.recovery_age)
        feed.apply_page(message.start, records, message.next, at)

    def apply_heartbeat(self, beat, at):
        """Take what a beat says of the store."""
        if beat.contact is StoreStatus.READING:
            self._gate.note_recovery(at - beat.recovery_age)
        for topic, (offset, age) in beat.read_offsets.items():
            if topic in self._feeds:
                self._feeds[topic].note_reader_offset(offset, age, at)
