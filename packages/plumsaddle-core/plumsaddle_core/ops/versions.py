"""
Which version of the configuration is in force.

A proposal names the version that it replaces. It is accepted if and only if that
version is in force at the proposal's place in the log, so of two operators who race
the first in the log wins and the other one is refused. The rule looks at nothing
but numbers and order: neither at a clock, nor at the text, nor at the version of
this program, so that hosts on different releases agree too.

Each accepted version's number is its base plus one. Numbers only grow, so nothing
that is read twice, late or from a copy can bring an older version back.
"""

from typing import NamedTuple

from ..core.ids import VersionNumber
from .fold import Fold


class Proposal(NamedTuple):
    """A text that an operator wants in force instead of the version `base`."""

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


NO_VERSION = Version(VersionNumber(0), "", "", "", "")


class Versions:
    """The version in force, and what became of the latest proposals."""

    VERDICTS_KEPT = 200

    def __init__(self, current=NO_VERSION):
        self.current = current
        self.results = {}

    def record_verdict(self, proposal_id, number):
        """
        Keep a verdict: the accepted number, or minus the winner's number.

        An append whose answer was lost may stand in the log twice. The second copy
        is refused by its number like any other, and must not hide that the first
        one was accepted. Verdicts inform; the rule above never looks at them,
        since a host that started from a checkpoint has fewer of them.
        """
        if self.results.get(proposal_id, 0) > 0:
            return
        self.results[proposal_id] = number
        while len(self.results) > self.VERDICTS_KEPT:
            self.results.pop(next(iter(self.results)))


def apply_proposal(versions, proposal, offset):
    """
    Fold one proposal into the versions.

    Args:
      versions: The `Versions`; it is changed.
      proposal: A `Proposal`, or an event of another kind, which is passed over.
      offset: The proposal's place in the log.
    """
    del offset  # The order of the calls says it already.
    if not isinstance(proposal, Proposal):
        return
    if proposal.base != versions.current.number:
        versions.record_verdict(proposal.id, -versions.current.number)
        return
    number = VersionNumber(proposal.base + 1)
    versions.current = Version(
        number, proposal.id, proposal.text, proposal.author, proposal.note
    )
    versions.record_verdict(proposal.id, number)


def restore_versions(items):
    """Return the versions that a checkpoint holds."""
    return Versions(Version(*items[0])) if items else Versions()


def dump_versions(versions):
    """Return the items of a checkpoint that holds the versions."""
    return [list(versions.current)]


def new_version_fold():
    """Return the fold of the configuration's stream."""
    return Fold(Versions, apply_proposal, restore_versions)
