"""
Model-based tests: hosts agree on one version in force and never revert to an older one.

The model covers concurrent proposals, duplicate and late appends, expired records, and
hosts that restart, lag and send each other versions. It is checked against a naive fold
that takes the last record it reads.
"""

import itertools

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from .fold import Checkpoint, Record
from .versions import (
    Proposal,
    Version,
    Versions,
    apply_proposal,
    dump_versions,
    new_version_fold,
)

HOSTS = 2
# Disruptive steps are drawn rarely, so that runs get far enough.
RARELY = st.integers(0, 5).map(lambda number: number == 0)


def apply_last(versions, proposal, offset):
    """Put the last proposal in force, as the naive fold does."""
    if isinstance(proposal, Proposal):
        number = proposal.base + 1
        versions.current = Version(
            number, proposal.id, proposal.text, proposal.author, proposal.note
        )


class Host:
    """A host's fold, and the version that the host applies."""

    def __init__(self, apply):
        self.fold = new_version_fold()
        self.fold._apply = apply
        self.applied = 0
        self.text = ""


class VersionMachine(RuleBasedStateMachine):
    """Operators, a log and hosts, with steps in any order."""

    apply = staticmethod(apply_proposal)

    def __init__(self):
        super().__init__()
        self.log = []
        self.first = 0
        self.ids = (f"p{n}" for n in itertools.count())
        self.hosts = [Host(self.apply) for _ in range(HOSTS)]
        self.late = []
        self.reference = Versions()
        self.texts = {0: ""}
        self.currents = [self.reference.current]

    index = st.integers(0, HOSTS - 1)

    @rule(base=st.integers(0, 3), is_late=st.booleans(), is_lost=st.booleans())
    def publish(self, base, is_late, is_lost):
        proposal = Proposal(next(self.ids), base, f"text {len(self.log)}", "op")
        (self.late if is_late else self.log).append((proposal,))
        if is_lost:
            self.log.append((proposal,))

    @rule(number=index)
    def publish_on_a_hosts_version(self, number):
        fold = self.hosts[number].fold
        base = fold.state.current.number
        self.log.append((Proposal(next(self.ids), base, f"t{len(self.log)}", "op"),))

    @precondition(lambda self: self.late)
    @rule()
    def append_late(self):
        self.log.append(self.late.pop())

    @precondition(lambda self: self.log)
    @rule(data=st.data())
    def duplicate(self, data):
        self.log.append(data.draw(st.sampled_from(self.log)))

    @rule(number=index, count=st.integers(1, 6))
    def read(self, number, count):
        host = self.hosts[number]
        host.fold.begin_read(self.first)
        for _ in range(count):
            # The log skips to its first unexpired record.
            offset = max(host.fold.next_offset, self.first)
            if offset < len(self.log):
                host.fold.feed(Record(offset, self.log[offset]))
        self._apply_current(host)

    @rule(sender=index, receiver=index)
    def exchange(self, sender, receiver):
        sent = self.hosts[sender].fold
        if sent.complete:
            items = dump_versions(sent.state)
            self.hosts[receiver].fold.adopt(items, sent.next_offset - 1)
            self._apply_current(self.hosts[receiver])

    def _apply_current(self, host):
        """Apply a version as the daemon does: never a lower number."""
        current = host.fold.state.current
        if host.fold.complete and current.number > host.applied:
            host.applied = current.number
            host.text = current.text

    @rule(number=index, is_now=RARELY)
    def restart(self, number, is_now):
        if is_now:
            self.hosts[number] = Host(self.apply)

    @rule(number=index)
    def checkpoint(self, number):
        fold = self.hosts[number].fold
        if fold.complete and fold.next_offset:
            items = dump_versions(fold.state)
            as_of = fold.next_offset - 1
            self.log.append((Checkpoint(next(self.ids), as_of, 0, 1, items),))

    @rule(drop=st.integers(1, 4), is_now=RARELY)
    def trim(self, drop, is_now):
        if is_now:
            self.first = min(len(self.log), self.first + drop)

    @rule(kept=st.integers(0, 3), number=index, is_now=RARELY)
    def start_from_checkpoint(self, kept, number, is_now):
        """Expire all records up to about the last checkpoint, and restart a host."""
        checkpoint_offsets = [
            offset
            for offset, events in enumerate(self.log)
            if any(isinstance(event, Checkpoint) for event in events)
        ]
        if is_now and checkpoint_offsets:
            self.first = max(self.first, checkpoint_offsets[-1] - kept)
            self.hosts[number] = Host(self.apply)
            self.read(number, len(self.log))

    @invariant()
    def every_host_agrees_with_the_whole_log(self):
        for events in self.log[len(self.currents) - 1 :]:
            for event in events:
                apply_proposal(self.reference, event, 0)
            current = self.reference.current
            self.texts.setdefault(current.number, current.text)
            self.currents.append(current)
        for host in self.hosts:
            assert host.text == self.texts.get(host.applied)
            if host.fold.complete:
                assert host.fold.state.current == self.currents[host.fold.next_offset]


class NaiveVersionMachine(VersionMachine):
    """The same steps with hosts that take the last record."""

    apply = staticmethod(apply_last)


PROFILE = settings(
    max_examples=500,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    database=None,
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)
# A failure need not be shrunk here.
NO_SHRINKING = settings(PROFILE, phases=[Phase.generate])


def test_hosts_agree_and_no_version_reverts():
    """
    Guards against hosts that serve different configurations, or revert to an older one.

    That happens if accepting a proposal depends on which records a host has read.
    """
    run_state_machine_as_test(VersionMachine, settings=PROFILE)


def test_the_model_detects_hosts_that_take_the_last_record():
    """The model must find a disagreement among hosts with the naive fold."""
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NaiveVersionMachine, settings=NO_SHRINKING)


def test_first_of_two_concurrent_proposals_wins():
    versions = Versions()
    apply_proposal(versions, Proposal("a", 0, "A", "ann"), 0)
    apply_proposal(versions, Proposal("b", 0, "B", "bob"), 1)
    assert versions.current.author == "ann"
    assert versions.results == {"a": 1, "b": -1}


def test_second_copy_of_an_accepted_proposal_stays_accepted():
    """
    Guards against reporting a version in force as rejected.

    The append took effect but its response was lost, and it was retried.
    """
    versions = Versions()
    for _ in range(2):
        apply_proposal(versions, Proposal("a", 0, "A", "ann"), 0)
    assert versions.results == {"a": 1}


def test_new_host_does_not_accept_a_rejected_proposal():
    """
    Guards against a new host that serves a configuration that was rejected.

    The record of the accepted proposal has expired, and a rejected one with the same
    base is the first that is left. Only a checkpoint shows which one was accepted.
    """
    fold = new_version_fold()
    fold.begin_read(1)
    fold.feed(Record(1, (Proposal("b", 0, "B", "bob"),)))
    assert not fold.complete
    fold.feed(Record(2, (Checkpoint("x", 0, 0, 1, [[1, "a", "A", "ann", ""]]),)))
    assert fold.complete
    assert fold.state.current.text == "A"
