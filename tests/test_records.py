"""The ring of slots: whatever was committed is read back, and what is not whole is refused."""

import cbor2
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveflow.state.records import Records, Unreadable

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


class Ring:
    """A store with its guards, one writer, and what that writer believes is committed."""

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
            return  # a guard did not hold: nothing was written, all is due again
        self.rev += 1
        for key, rev, value in rows:
            assert self.store.get(key, (None, 0))[1] == rev
            self.store[key] = (cbor2.loads(cbor2.dumps(value)), self.rev)
        self.records.settled(draft, self.rev)
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
def test_a_reader_finds_what_was_committed_and_goes_on_from_there(steps):
    ring = Ring()
    for changes, applies in steps:
        ring.commit(changes, applies)
        assert ring.records.values == ring.state
    reader = ring.read()
    assert reader.values == ring.state
    assert reader.seq == ring.records.seq
    ring.records = reader
    for changes, _ in steps:
        ring.commit(changes)
    assert ring.read().values == ring.state


def test_overwriting_the_oldest_slot_loses_nothing_and_slots_stay_few():
    ring = Ring()
    ring.commit({f"m/n-{i}": "quiet" for i in range(20)})
    for step in range(500):
        ring.commit({f"j/j-{step % 7}": str(step)})
    assert {f"m/n-{i}" for i in range(20)} <= set(ring.read().values)
    assert len(ring.store) < 30


def test_a_reader_that_misses_a_part_refuses_to_lead_from_the_rest():
    ring = Ring()
    for step in range(60):
        ring.commit({f"m/n-{(step + i) % 30}": "x" * 40 for i in range(9)})
    rows = ring.rows()
    for missing in range(len(rows)):
        rest = rows[:missing] + rows[missing + 1 :]
        newest = max(value["seq"] for _, value, _ in rows)
        if rows[missing][1]["seq"] == newest and rows[missing][1]["slots"] == 1:
            continue
        with pytest.raises(Unreadable):
            Records(PREFIX, 400).load(rest)


def test_records_of_another_layout_are_refused():
    for row in (
        ("st/machine/n-1", {"owner": "a", "tasks": {}}, 4),
        ("st/slot/0", {"layout": 1, "seq": 1, "slots": 1, "items": {}}, 4),
    ):
        with pytest.raises(Unreadable, match="layout"):
            Records(PREFIX, 400).load([row])
