"""
One version in force, and never an older one, against a naive version.

Operators race, appends come twice or late, records expire, hosts start anew, freeze
and hand versions to each other. The naive version takes the last record it reads.
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
# What stops much of the rest of a walk must be rare, or little is walked.
RARELY = st.integers(0, 5).map(lambda number: number == 0)


def apply_last(versions, proposal, offset):
    """Take the last record, as the naive version does."""
    if isinstance(proposal, Proposal):
        number = proposal.base + 1
        versions.current = Version(
            number, proposal.id, proposal.text, proposal.author, proposal.note
        )


class Host:
    """A host's fold and the version that it has in force."""

    def __init__(self, apply):
        self.fold = new_version_fold()
        self.fold._apply = apply
        self.in_force = 0
        self.text = ""


class VersionMachine(RuleBasedStateMachine):
    """Operators, a log and hosts, in any order of events."""

    apply = staticmethod(apply_proposal)

    def __init__(self):
        super().__init__()
        self.log = []
        self.first = 0
        self.ids = (f"p{n}" for n in itertools.count())
        self.hosts = [Host(self.apply) for _ in range(HOSTS)]
        self.late = []
        self.whole = Versions()
        self.texts = {0: ""}
        self.currents = [self.whole.current]

    index = st.integers(0, HOSTS - 1)

    @rule(base=st.integers(0, 3), is_late=st.booleans(), is_lost=st.booleans())
    def publish(self, base, is_late, is_lost):
        proposal = Proposal(next(self.ids), base, f"text {len(self.log)}", "op")
        (self.late if is_late else self.log).append((proposal,))
        if is_lost:
            self.log.append((proposal,))

    @rule(number=index)
    def publish_on_what_a_host_has(self, number):
        fold = self.hosts[number].fold
        base = fold.state.current.number
        self.log.append((Proposal(next(self.ids), base, f"t{len(self.log)}", "op"),))

    @precondition(lambda self: self.late)
    @rule()
    def take_late(self):
        self.log.append(self.late.pop())

    @precondition(lambda self: self.log)
    @rule(data=st.data())
    def copy(self, data):
        self.log.append(data.draw(st.sampled_from(self.log)))

    @rule(number=index, count=st.integers(1, 6))
    def read(self, number, count):
        host = self.hosts[number]
        host.fold.begin_read(self.first)
        for _ in range(count):
            # A log whose head has expired answers from its first record on.
            offset = max(host.fold.next_offset, self.first)
            if offset < len(self.log):
                host.fold.feed(Record(offset, self.log[offset]))
        self._put_in_force(host)

    @rule(teller=index, taker=index)
    def exchange(self, teller, taker):
        told = self.hosts[teller].fold
        if told.complete:
            items = dump_versions(told.state)
            self.hosts[taker].fold.adopt(items, told.next_offset - 1)
            self._put_in_force(self.hosts[taker])

    def _put_in_force(self, host):
        """Do as the daemon does: never take a lower number."""
        current = host.fold.state.current
        if host.fold.complete and current.number > host.in_force:
            host.in_force = current.number
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

    @rule(spare=st.integers(0, 3), number=index, is_now=RARELY)
    def start_from_checkpoint(self, spare, number, is_now):
        """Let all but the last checkpoint expire, and start a host anew."""
        places = [
            offset
            for offset, events in enumerate(self.log)
            if any(isinstance(event, Checkpoint) for event in events)
        ]
        if is_now and places:
            self.first = max(self.first, places[-1] - spare)
            self.hosts[number] = Host(self.apply)
            self.read(number, len(self.log))

    @invariant()
    def every_host_has_what_the_whole_log_says(self):
        for events in self.log[len(self.currents) - 1 :]:
            for event in events:
                apply_proposal(self.whole, event, 0)
            current = self.whole.current
            self.texts.setdefault(current.number, current.text)
            self.currents.append(current)
        for host in self.hosts:
            assert host.text == self.texts.get(host.in_force)
            if host.fold.complete:
                assert host.fold.state.current == self.currents[host.fold.next_offset]


class NaiveVersionMachine(VersionMachine):
    """The same events against hosts that take the last record."""

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
# A naive version only has to be caught, not to be caught in the fewest steps.
CATCH = settings(PROFILE, phases=[Phase.generate])


def test_hosts_agree_and_no_version_reverts():
    """
    Two hosts serve different configurations, or one goes back to an older one.

    Operators race, an append stands twice in the log, its head expires, a frozen
    host's checkpoint comes late, a new host starts from a peer. The cause would be
    a verdict that depends on what a host happens to have seen.
    """
    run_state_machine_as_test(VersionMachine, settings=PROFILE)


def test_the_machine_catches_hosts_that_take_the_last_record():
    """
    The same machine against the naive version must find a disagreement.
    """
    with pytest.raises(AssertionError):
        run_state_machine_as_test(NaiveVersionMachine, settings=CATCH)


def test_first_of_two_racing_operators_wins():
    versions = Versions()
    apply_proposal(versions, Proposal("a", 0, "A", "ann"), 0)
    apply_proposal(versions, Proposal("b", 0, "B", "bob"), 1)
    assert versions.current.author == "ann"
    assert versions.results == {"a": 1, "b": -1}


def test_second_copy_of_an_accepted_proposal_stays_accepted():
    """
    An operator is told "refused" of a version that is in force.

    The append took effect, its answer was lost, and it was appended again.
    """
    versions = Versions()
    for _ in range(2):
        apply_proposal(versions, Proposal("a", 0, "A", "ann"), 0)
    assert versions.results == {"a": 1}


def test_newcomer_does_not_take_the_loser_of_a_race_for_the_winner():
    """
    A new host serves a configuration that was refused.

    The accepted record has expired, and the first one left is the race's loser,
    with the same base. Only a checkpoint can tell which of them won.
    """
    fold = new_version_fold()
    fold.begin_read(1)
    fold.feed(Record(1, (Proposal("b", 0, "B", "bob"),)))
    assert not fold.complete
    fold.feed(Record(2, (Checkpoint("x", 0, 0, 1, [[1, "a", "A", "ann", ""]]),)))
    assert fold.complete
    assert fold.state.current.text == "A"
