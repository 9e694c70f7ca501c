"""The leader's records over sequences of transactions: another leader reads what was committed."""

import cbor2
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from coveflow.constants import SLOTS_MIN
from coveflow.state.records import CorruptRecords, Records

PREFIX = "st/slot/"
NAMES = st.sampled_from([f"m/n-{i}" for i in range(30)])
SIZES = st.one_of(st.integers(0, 60), st.integers(140, 190), st.integers(300, 370))
CHANGES = st.dictionaries(
    NAMES, st.one_of(st.none(), SIZES.map("x".__mul__)), min_size=1, max_size=12
)
SLOT_BYTES, MOST_SLOTS, MOST_BYTES = 400, 4, 1100  # four full slots exceed a transaction's bytes


class Ring:
    """The stored slots, their writer, and the items of which the writer knows the commit."""

    def __init__(self) -> None:
        self.stored: dict[str, tuple[dict, int]] = {}
        self.rev = 0
        self.items: dict[str, str] = {}
        self.records = Records(PREFIX, SLOT_BYTES)

    def draft(self, changes: dict):
        draft = self.records.draft(MOST_SLOTS, MOST_BYTES)
        return draft, {item: value for item, value in changes.items() if draft.add(item, value)}

    def store(self, draft, written: dict) -> None:
        """Carry a transaction out; the writer does not hear of it yet."""
        self.rev += 1
        for key, rev, value in draft.rows():
            assert self.stored.get(key, (None, 0))[1] == rev
            self.stored[key] = (cbor2.loads(cbor2.dumps(value)), self.rev)
        for item, value in written.items():
            if value is None:
                self.items.pop(item, None)
            else:
                self.items[item] = value

    def commit(self, changes: dict) -> None:
        draft, written = self.draft(changes)
        self.store(draft, written)
        self.records.mark_committed(draft, self.rev)

    def read(self) -> Records:
        records = Records(PREFIX, self.records.slot_bytes)
        records.load([(key, value, rev) for key, (value, rev) in self.stored.items()])
        return records


class Sequences(RuleBasedStateMachine):
    """Transactions carried out, refused, or carried out without an answer to their leader."""

    @initialize()
    def start(self):
        self.ring = Ring()

    @rule(changes=CHANGES)
    def committed(self, changes):
        self.ring.commit(changes)

    @rule(times=st.integers(1, 16))
    def one_item_changes_often(self, times):
        """So that slots of items that change rarely become the oldest."""
        for step in range(times):
            self.ring.commit({"m/often": str(step)})

    @rule(changes=CHANGES)
    def refused(self, changes):
        self.ring.draft(changes)

    @rule(changes=CHANGES)
    def answer_lost_with_the_leader(self, changes):
        self.ring.store(*self.ring.draft(changes))
        self.ring.records = self.ring.read()

    @rule()
    def another_leader(self):
        self.ring.records = self.ring.read()

    @precondition(lambda self: self.ring.stored)
    @invariant()
    def another_leader_reads_what_was_committed(self):
        reader = self.ring.read()
        assert reader.values == self.ring.items
        assert not reader.overwritten_early


# Guards against slots overwritten out of order: no controller could read the records any more.
TestSequences = Sequences.TestCase
TestSequences.settings = settings(
    max_examples=120, stateful_step_count=50, deadline=None, derandomize=True
)


def dense_ring() -> Ring:
    """A ring whose three oldest slots are too full to fit into one transaction; the fourth isn't.

    The oldest slots hold a1 and a2, b1 and b2, c1 and c2, and d.
    """
    ring = Ring()
    for name in "abc":
        ring.commit({f"m/{name}1": "x" * 175, f"m/{name}2": "x" * 175})
    ring.commit({"m/d": "x" * 300})
    ring.commit({"m/d": ""})
    while len(ring.records.slots) < SLOTS_MIN:
        ring.commit({"m/often": "x" * 300})
    return ring


def test_a_smaller_item_never_takes_the_slot_after_one_that_does_not_fit():
    """Guards against review/4: the leader ends after such a transaction and none can lead."""
    ring = dense_ring()
    draft, written = ring.draft({"m/large": "x" * 300, "m/small": "x" * 40})
    assert "m/large" not in written
    ring.store(draft, written)
    reader = ring.read()
    assert reader.values == ring.items
    assert not reader.overwritten_early


def without_total(ring: Ring) -> list:
    """The slots as builds wrote them that did not state their total number."""
    return [
        (key, {name: it for name, it in value.items() if name != "total"}, rev)
        for key, (value, rev) in ring.stored.items()
    ]


def test_slots_overwritten_out_of_order_are_read_with_all_their_items():
    """Guards against records that an earlier build left so: no controller ever led again."""
    ring = dense_ring()
    draft, written = ring.draft({})
    for _ in range(2):
        draft.oldest = next(draft.oldest_slots)  # leaves the two oldest slots out
    assert draft.add("m/n-1", "z")
    ring.store(draft, written | {"m/n-1": "z"})
    reader = Records(PREFIX, SLOT_BYTES)
    reader.load(without_total(ring))
    assert reader.overwritten_early
    assert reader.values == ring.items
    ring.records = reader
    for i in range(40):
        ring.commit({f"m/n-{i % 30}": "x" * 300})
    assert ring.read().values == ring.items
    assert not ring.read().overwritten_early  # the gap is gone once all were overwritten


def test_records_with_the_newest_transaction_incomplete_are_refused():
    ring = dense_ring()
    ring.commit({f"m/n-{i}": "x" * 175 for i in range(4)})
    newest = [key for key, (_, rev) in ring.stored.items() if rev == ring.rev]
    assert len(newest) > 1
    rows = [row for row in without_total(ring) if row[0] != newest[-1]]
    with pytest.raises(CorruptRecords):
        Records(PREFIX, SLOT_BYTES).load(rows)
