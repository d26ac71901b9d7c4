"""Tests of a single core: what it delays, counts, refuses and drops."""

from random import Random
from unittest import TestCase

from damaskwind.decisions.replication.core import ReplicaCore
from damaskwind.decisions.replication.events import (
    AppendEntries,
    BecameLeader,
    Output,
    ProposalOutcome,
    Propose,
    ProposeMembership,
    ReadReady,
    ReadRefused,
    ReadRequest,
    Received,
    Send,
    Tick,
    WritesDurable,
    WriteState,
)
from damaskwind.decisions.replication.log import ReplicatedLog, initial_log
from damaskwind.decisions.replication.messages import (
    AppendRequest,
    AppendResponse,
    ChangeKind,
    EntryKind,
    Envelope,
    LogEntry,
    Member,
    MembershipChange,
    Outcome,
    PersistentState,
    PreVoteResponse,
    RefusalReason,
    Snapshot,
    SnapshotRequest,
    Timing,
    VoteRequest,
    VoteResponse,
)

A, B, C = (Member(name, f"{name}1") for name in "abc")
OLD_B = Member("b", "b0")


def make_core(voters: tuple[Member, ...] = (A, B, C)) -> ReplicaCore:
    """Create replica a of a new cluster at time 0."""
    state, entries = initial_log(voters)
    return ReplicaCore(A, state, ReplicatedLog(Snapshot(), entries), Timing(), Random(1), 0.0)


def receive(core: ReplicaCore, sender: Member, message: object, now_s: float) -> list[Output]:
    """Feed a message from `sender` to replica a."""
    return core.step(Received(Envelope(sender, A, message)), now_s)


def sent_messages(outputs: list[Output], kind: type) -> list:
    """Return the sent messages of one type."""
    messages = [output.envelope.message for output in outputs if isinstance(output, Send)]
    return [message for message in messages if isinstance(message, kind)]


def filter_outputs(outputs: list[Output], kind: type) -> list:
    """Return the outputs of one type."""
    return [output for output in outputs if isinstance(output, kind)]


def make_leader() -> ReplicaCore:
    """Create a leader, elected at time 3.0 with the vote of b; nothing is committed yet."""
    core = make_core()
    core.step(Tick(), 3.0)
    receive(core, B, PreVoteResponse(1, 2, True), 3.0)
    core.step(WritesDurable(1), 3.0)
    receive(core, B, VoteResponse(2, True), 3.0)
    return core


def make_settled_leader() -> ReplicaCore:
    """Create a leader whose first entry is committed at time 3.1."""
    core = make_leader()
    core.step(WritesDurable(2), 3.1)
    receive(core, B, AppendResponse(2, 1, True, 2), 3.1)
    return core


class DurabilityTest(TestCase):
    """Messages are sent only after the writes that they depend on."""

    def test_vote_waits_for_its_write(self) -> None:
        core = make_core()
        outputs = receive(core, B, VoteRequest(2, 1, 1), 5.0)
        self.assertEqual(filter_outputs(outputs, WriteState)[0].state, PersistentState(2, B))
        self.assertEqual(sent_messages(outputs, VoteResponse), [])
        outputs = core.step(WritesDurable(1), 5.1)
        self.assertEqual(sent_messages(outputs, VoteResponse), [VoteResponse(2, True)])

    def test_response_to_an_old_term_carries_no_round(self) -> None:
        core = make_core()
        receive(core, B, VoteRequest(4, 1, 1), 5.0)
        core.step(WritesDurable(1), 5.1)
        late = (
            AppendRequest(1, 6, 1, 1, (), 1),
            SnapshotRequest(1, 6, Snapshot(1, 1), b""),
        )
        for request in late:
            outputs = receive(core, B, request, 5.2)
            (answer,) = sent_messages(outputs, AppendResponse)
            self.assertEqual((answer.term, answer.round_number), (4, 0))

    def test_append_response_waits_for_its_write(self) -> None:
        core = make_core()
        entry = LogEntry(2, 1, EntryKind.NOOP, b"")
        outputs = receive(core, B, AppendRequest(1, 1, 1, 1, (entry,), 2), 0.1)
        self.assertEqual(sent_messages(outputs, AppendResponse), [])
        self.assertEqual(core.applied_index, 1)
        outputs = core.step(WritesDurable(1), 0.2)
        self.assertEqual(sent_messages(outputs, AppendResponse), [AppendResponse(1, 1, True, 2)])
        self.assertEqual(core.applied_index, 2)

    def test_candidate_counts_its_own_vote_only_once_durable(self) -> None:
        core = make_core((A,))
        core.step(Tick(), 3.0)
        self.assertEqual(core.role, "candidate")
        self.assertEqual(
            filter_outputs(core.step(WritesDurable(1), 3.1), BecameLeader), [BecameLeader(2)]
        )

    def test_leader_counts_its_own_entry_only_once_durable(self) -> None:
        core = make_leader()
        receive(core, B, AppendResponse(2, 1, True, 2), 3.1)
        self.assertEqual(core.commit_index, 0)
        core.step(WritesDurable(2), 3.2)
        self.assertEqual(core.commit_index, 2)

    def test_responses_of_an_earlier_term_are_dropped(self) -> None:
        core = make_core()
        entry = LogEntry(2, 1, EntryKind.NOOP, b"")
        receive(core, B, AppendRequest(1, 1, 1, 1, (entry,), 1), 0.1)
        receive(core, C, AppendRequest(2, 1, 1, 1, (), 1), 0.2)
        answers = sent_messages(core.step(WritesDurable(9), 0.3), AppendResponse)
        self.assertEqual({answer.term for answer in answers}, {2})


class MessageTest(TestCase):
    """Malformed and repeated messages change no state."""

    def test_malformed_append_is_dropped(self) -> None:
        core = make_core()
        gap_entry = LogEntry(3, 1, EntryKind.NOOP, b"")
        late_entry = LogEntry(2, 9, EntryKind.NOOP, b"")
        for entry in (gap_entry, late_entry):
            outputs = receive(core, B, AppendRequest(1, 1, 1, 1, (entry,), 3), 0.1)
            self.assertEqual((outputs, core.last_index), ([], 1))

    def test_repeated_append_adds_nothing(self) -> None:
        core = make_core()
        request = AppendRequest(1, 1, 1, 1, (LogEntry(2, 1, EntryKind.NOOP, b""),), 1)
        receive(core, B, request, 0.1)
        outputs = receive(core, B, request, 0.2)
        self.assertEqual((filter_outputs(outputs, AppendEntries), core.last_index), ([], 2))


class VoteTest(TestCase):
    """Conditions for granting and for counting a vote."""

    def test_no_vote_while_a_leader_was_seen_recently(self) -> None:
        core = make_core()
        receive(core, B, AppendRequest(1, 1, 1, 1, (), 1), 4.0)
        outputs = receive(core, C, VoteRequest(9, 9, 9), 4.9)
        self.assertEqual(sent_messages(outputs, VoteResponse), [VoteResponse(1, False)])
        self.assertEqual(core.term, 1)

    def test_no_vote_right_after_a_restart(self) -> None:
        outputs = receive(make_core(), C, VoteRequest(2, 1, 1), 0.9)
        self.assertEqual(sent_messages(outputs, VoteResponse), [VoteResponse(1, False)])

    def test_old_identity_neither_votes_nor_gets_a_response(self) -> None:
        core = make_core()
        core.step(Tick(), 3.0)
        receive(core, OLD_B, PreVoteResponse(1, 2, True), 3.0)
        self.assertEqual(core.role, "pre_candidate")
        stale = Envelope(B, Member("a", "a0"), VoteRequest(5, 9, 9))
        self.assertEqual(core.step(Received(stale), 9.0), [])


class LeaseTest(TestCase):
    """A leader without responses of its peers loses its lease and steps down."""

    def test_lease_counts_from_the_send_time(self) -> None:
        core = make_settled_leader()
        self.assertTrue(core.holds_lease(3.89))
        self.assertFalse(core.holds_lease(3.91))

    def test_isolated_leader_steps_down_and_refuses(self) -> None:
        core = make_settled_leader()
        core.step(ReadRequest("r1"), 3.2)
        outputs = core.step(Propose("p1", b"x"), 3.95)
        expected = ProposalOutcome("p1", Outcome.REFUSED, 0, RefusalReason.NO_QUORUM, A)
        self.assertEqual(filter_outputs(outputs, ProposalOutcome), [expected])
        outputs = core.step(Tick(), 4.0)
        expected = ReadRefused("r1", RefusalReason.STEPPED_DOWN, None)
        self.assertEqual(filter_outputs(outputs, ReadRefused), [expected])
        self.assertEqual(core.role, "follower")

    def test_leader_that_was_suspended_refuses_its_next_read(self) -> None:
        core = make_settled_leader()
        outputs = core.step(ReadRequest("r1", lease_suffices=True), 60.0)
        self.assertEqual(filter_outputs(outputs, ReadReady), [])
        self.assertEqual(filter_outputs(outputs, ReadRefused)[0].reason, RefusalReason.NOT_LEADER)

    def test_read_waits_for_a_round_sent_after_it(self) -> None:
        core = make_settled_leader()
        core.step(ReadRequest("r1"), 3.2)
        outputs = receive(core, B, AppendResponse(2, 1, True, 2), 3.3)
        self.assertEqual(filter_outputs(outputs, ReadReady), [])
        outputs = receive(core, B, AppendResponse(2, 2, True, 2), 3.4)
        self.assertEqual(filter_outputs(outputs, ReadReady), [ReadReady("r1", 2)])


class MembershipTest(TestCase):
    """One change at a time, after an entry of the leader's own term is committed."""

    def change(self, core: ReplicaCore, kind: ChangeKind, member: Member) -> RefusalReason | None:
        """Propose a change and return the reason if it was refused at once."""
        request = ProposeMembership("m", MembershipChange(kind, member))
        outcomes = filter_outputs(core.step(request, 3.2), ProposalOutcome)
        return outcomes[0].reason if outcomes else None

    def test_change_is_refused_before_an_entry_of_the_own_term(self) -> None:
        reason = self.change(make_leader(), ChangeKind.REMOVE, C)
        self.assertEqual(reason, RefusalReason.CHANGE_PENDING)

    def test_one_change_at_a_time(self) -> None:
        core = make_settled_leader()
        self.assertIsNone(self.change(core, ChangeKind.ADD_LEARNER, Member("d", "d1")))
        reason = self.change(core, ChangeKind.REMOVE, C)
        self.assertEqual(reason, RefusalReason.CHANGE_PENDING)

    def test_learner_is_not_promoted_before_it_has_caught_up(self) -> None:
        core = make_settled_leader()
        learner = Member("d", "d1")
        self.change(core, ChangeKind.ADD_LEARNER, learner)
        core.step(WritesDurable(3), 3.3)
        receive(core, B, AppendResponse(2, 1, True, 3), 3.3)
        reason = self.change(core, ChangeKind.PROMOTE, learner)
        self.assertEqual(reason, RefusalReason.INVALID_CHANGE)
