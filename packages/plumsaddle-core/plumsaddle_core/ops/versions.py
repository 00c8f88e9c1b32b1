"""
Decides which version of the configuration is in force.

A proposal names the version that it replaces (a compare-and-set). It is accepted if and
only if that version is in force at the proposal's place in the log, so of two
concurrent proposals the first in the log wins. The rule depends only on version numbers
and log order, so that hosts on different software releases agree.

An accepted version's number is its base plus one. Numbers only grow, so a record that
is read twice or late cannot restore an older version.

The log may come back from an older copy that lacks accepted proposals. Hosts then
append the version that they have in force as a `RestoredVersion`. It takes precedence
over proposals that were accepted since without knowledge of it.
"""

from typing import NamedTuple

from ..core.ids import VersionNumber
from .fold import Fold


class Proposal(NamedTuple):
    """An operator's request to replace version `base` with a new text."""

    id: str
    base: VersionNumber
    text: str
    author: str
    note: str = ""


class Version(NamedTuple):
    """An accepted version."""

    number: VersionNumber
    id: str
    text: str
    author: str
    note: str


class RestoredVersion(NamedTuple):
    """
    A version that was in force before the log came back from a copy.

    `era` is the era of the log in which this is appended. The other fields are those of
    `Version`.
    """

    era: int
    number: VersionNumber
    id: str
    text: str
    author: str
    note: str


NO_VERSION = Version(VersionNumber(0), "", "", "", "")


class Versions:
    """
    The version in force, and the results of the latest proposals.

    `era` is the latest era of the log in which a host has told what was in force.
    """

    MAX_RESULTS = 200

    def __init__(self, current=NO_VERSION):
        self.current = current
        self.era = 0
        self.results = {}

    def record_result(self, proposal_id, number):
        """
        Record a proposal's result, to be shown to its operator.

        A retried append may put the proposal in the log twice. The second copy is
        rejected, which must not replace the acceptance of the first.

        Args:
          proposal_id: The proposal's id.
          number: The accepted number, or minus the number of the version in force if
            the proposal was rejected.
        """
        if self.results.get(proposal_id, 0) > 0:
            return
        self.results[proposal_id] = number
        while len(self.results) > self.MAX_RESULTS:
            self.results.pop(next(iter(self.results)))


def apply_proposal(versions, proposal, offset):
    """
    Apply a proposal or a restored version to the versions.

    Args:
      versions: The `Versions`, changed in place.
      proposal: A `Proposal` or a `RestoredVersion`; events of other kinds are ignored.
      offset: The offset of the event's record, which is not used.
    """
    del offset  # Calls are already in log order.
    if isinstance(proposal, RestoredVersion):
        _apply_restored(versions, proposal)
        return
    if not isinstance(proposal, Proposal):
        return
    if proposal.base != versions.current.number:
        versions.record_result(proposal.id, -versions.current.number)
        return
    number = VersionNumber(proposal.base + 1)
    versions.current = Version(
        number, proposal.id, proposal.text, proposal.author, proposal.note
    )
    versions.record_result(proposal.id, number)


def _apply_restored(versions, event):
    """
    Put a version in force that the log has lost.

    The first one in an era also replaces a version of the same number: that was
    proposed by an operator who could not know of it.
    """
    current = versions.current
    is_first = event.era > versions.era
    versions.era = max(versions.era, event.era)
    if event.number < current.number or event.id == current.id:
        return
    if event.number > current.number or is_first:
        versions.current = Version(*event[1:])
        versions.results.pop(current.id, None)
        versions.record_result(current.id, -event.number)
        versions.record_result(event.id, event.number)


def restored_version(former, versions, era):
    """
    Return what a host should append after the log has come back from a copy.

    Args:
      former: The `Version` that was in force before, as the host knew it.
      versions: The `Versions` that the log leads to.
      era: The era of the log.
    Returns:
      A `RestoredVersion`, or None if the log says all that the host knows.
    """
    current = versions.current
    if versions.era < era:
        newest = current if current.number > former.number else former
        return RestoredVersion(era, *newest)
    if former.number > current.number:
        return RestoredVersion(era, *former)
    return None


def restore_versions(items):
    """Return the `Versions` restored from a checkpoint's items."""
    return Versions(Version(*items[0])) if items else Versions()


def dump_versions(versions):
    """Return the versions as items of a checkpoint."""
    return [list(versions.current)]


def new_version_fold():
    """Return the fold of the configuration's stream."""
    return Fold(Versions, apply_proposal, restore_versions)
