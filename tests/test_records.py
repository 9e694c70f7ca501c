"""The leader's records in slots: committed items are read back, incomplete sets are rejected."""

import cbor2
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveflow.state.records import CorruptRecords, Records

PREFIX = "st/slot/"
CHANGES = st.lists(
    st.tuples(
        st.dictionaries(
            st.sampled_from([f"m/n-{i}" for i in range(40)]),
            st.one_of(st.none(), st.text('ab\u00e9"', max_size=60)),
            max_size=12,
        ),
        st.booleans(),
    ),
    max_size=40,
)


class SlotStore:
    """A store that checks guards, one writer, and the items that the writer has committed."""

    def __init__(self, slot_bytes: int = 400) -> None:
        self.store: dict[str, tuple[dict, int]] = {}
        self.rev = 0
        self.records = Records(PREFIX, slot_bytes)
        self.state: dict[str, str] = {}

    def commit(self, changes: dict, applies: bool = True) -> None:
        draft = self.records.draft(4, 1400)
        written = {item: value for item, value in changes.items() if draft.add(item, value)}
        rows = draft.rows()
        assert len(rows) <= 4
        assert sum(len(msgspec.json.encode(v["items"])) for _, _, v in rows) <= 1400 + 100
        if not applies:
            return  # a guard failed, so nothing was written
        self.rev += 1
        for key, rev, value in rows:
            assert self.store.get(key, (None, 0))[1] == rev
            self.store[key] = (cbor2.loads(cbor2.dumps(value)), self.rev)
        self.records.mark_committed(draft, self.rev)
        for item, value in written.items():
            if value is None:
                self.state.pop(item, None)
            else:
                self.state[item] = value

    def rows(self) -> list:
        return [(key, value, rev) for key, (value, rev) in self.store.items()]

    def read(self) -> Records:
        records = Records(PREFIX, self.records.slot_bytes)
        records.load(self.rows())
        return records


@settings(max_examples=150, deadline=None, derandomize=True)
@given(CHANGES)
def test_a_reader_loads_what_was_committed_and_continues_from_there(transactions):
    slots = SlotStore()
    for changes, applies in transactions:
        slots.commit(changes, applies)
        assert slots.records.values == slots.state
    reader = slots.read()
    assert reader.values == slots.state
    assert reader.seq == slots.records.seq
    slots.records = reader
    for changes, _ in transactions:
        slots.commit(changes)
    assert slots.read().values == slots.state


def test_overwriting_the_oldest_slot_loses_nothing_and_bounds_the_number_of_slots():
    slots = SlotStore()
    slots.commit({f"m/n-{i}": "quiet" for i in range(20)})
    for step in range(500):
        slots.commit({f"j/j-{step % 7}": str(step)})
    assert {f"m/n-{i}" for i in range(20)} <= set(slots.read().values)
    assert len(slots.store) < 30


def test_loading_an_incomplete_set_of_slots_is_refused():
    slots = SlotStore()
    for step in range(60):
        slots.commit({f"m/n-{(step + i) % 30}": "x" * 40 for i in range(9)})
    rows = slots.rows()
    for missing in range(len(rows)):
        rest = rows[:missing] + rows[missing + 1 :]
        newest = max(value["seq"] for _, value, _ in rows)
        if rows[missing][1]["seq"] == newest and rows[missing][1]["slots"] == 1:
            continue
        with pytest.raises(CorruptRecords):
            Records(PREFIX, 400).load(rest)


def test_records_of_another_layout_are_refused():
    for row in (
        ("st/machine/n-1", {"owner": "a", "tasks": {}}, 4),
        ("st/slot/0", {"layout": 1, "seq": 1, "slots": 1, "items": {}}, 4),
    ):
        with pytest.raises(CorruptRecords, match="layout"):
            Records(PREFIX, 400).load([row])
