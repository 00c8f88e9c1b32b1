"""
A host's position in a topic of the platform's store.

The store may come back from an older copy of itself. It then gives out the lost offsets
again, so an offset names a record only together with the era, which the store raises
each time. Positions of different eras say nothing about each other; after a change of
the era, a host lists the topic again.

The era in force is only what the store itself has answered to this host. Another host
that names a later one causes a listing, whose answer settles it.
"""

import enum
from typing import NamedTuple


class Position(NamedTuple):
    """A place in a topic. Later positions compare greater, also across eras."""

    era: int
    offset: int


class Relation(enum.Enum):
    """What the position of another host says about this one."""

    # This host must list the topic before it can tell.
    UNLISTED = "unlisted"
    # This host has all records up to that position.
    UP_TO_DATE = "up to date"
    # Records are missing here.
    BEHIND = "behind"
    # The store has come back from a copy, and the topic must be listed.
    RESTORED = "restored"
    # It is of a former era.
    OUTDATED = "outdated"
    # It names no era and an earlier offset, so only the store can tell.
    UNCLEAR = "unclear"


class TopicPosition:
    """
    The position of one host, and whether the topic must be listed.

    `current` is the `Position` of the next read, or None before the first listing.
    """

    def __init__(self):
        self.current = None
        self._is_listing_due = False
        # The latest era that an answer or another host named, as of now and of the last
        # listing's start.
        self._claimed_era = -1
        self._claim_to_check = -1
        # The latest era of which a listing showed that it isn't in force.
        self._disproved_era = -1

    @property
    def must_list(self):
        """Whether the next call must list the topic."""
        return self.current is None or self._is_listing_due

    # Positions of other hosts.

    def compare(self, era, offset):
        """
        Compare the position of another host.

        A listing is due afterwards if it shows that the store has been restored.

        Args:
          era: The era, or None if the host doesn't know eras.
          offset: The offset of its next read.
        Returns:
          A `Relation`.
        """
        if self.current is None:
            return Relation.UNLISTED
        if era is not None and era > self.current.era:
            return self._compare_later_era(era)
        if self.must_list:
            return Relation.UNLISTED
        if era is not None and era < self.current.era:
            return Relation.OUTDATED
        if offset > self.current.offset:
            return Relation.BEHIND
        if era is None and self.current.era and offset < self.current.offset:
            return Relation.UNCLEAR
        return Relation.UP_TO_DATE

    def _compare_later_era(self, era):
        if era <= self._disproved_era:
            return Relation.OUTDATED
        self._claimed_era = max(self._claimed_era, era)
        self._is_listing_due = True
        return Relation.RESTORED

    def start_empty(self, era):
        """Begin at the start of a topic that another host reports as empty."""
        self.current = Position(era or 0, 0)

    # Answers of the store.

    def note_era(self, era):
        """Note the era of an answer; return whether it shows a restoration."""
        is_later = self.current is not None and era > self.current.era
        if is_later:
            self._claimed_era = max(self._claimed_era, era)
            self._is_listing_due = True
        return is_later

    def begin_listing(self):
        """Note that a listing starts."""
        self._claim_to_check = self._claimed_era

    def accept_listing(self, era, offset):
        """
        Move to the end of a listing.

        Returns:
          Whether it was accepted. One that was answered before a restoration may arrive
          when the later era is known already.
        """
        if self.current is not None and era < self.current.era:
            return False
        if era < self._claim_to_check:
            self._disproved_era = self._claim_to_check
        self._is_listing_due = self._claimed_era > max(era, self._disproved_era)
        self.current = Position(era, offset)
        return True

    def accept_read(self, era):
        """Return whether the records of a read continue this position."""
        return not self.note_era(era) and not self.must_list and era == self.current.era

    def require_listing(self):
        """Note that records were deleted before they were read."""
        self._is_listing_due = True

    def advance(self, offset):
        """Move on within the era."""
        self.current = self.current._replace(offset=max(self.current.offset, offset))
