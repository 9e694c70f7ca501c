"""The task index: pages equal slices of a plain sort while tasks are added, ended and removed."""

import contextlib
import string

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveflow.tes import documents, mapping, tokens
from coveflow.tes import index as ix
from coveflow.tes.models import FINAL, RequestError, State

TEAMS = ("blue", "green")


def entry(number: int, made: int, team: str = "blue", **more) -> ix.Entry:
    return ix.Entry(f"j-{number:024d}", made, f"n{number % 7}", team, "00", {"k": "v"}, **more)


# Ids share their low bits and times repeat, so that keys collide.
numbers = st.builds(
    lambda low, high: low + (high << ix.LOW_BITS), st.integers(0, 3), st.integers(0, 5)
)
steps = st.lists(
    st.one_of(
        st.tuples(st.just("add"), numbers, st.integers(1, 4), st.sampled_from(TEAMS)),
        st.tuples(st.just("end"), numbers, st.sampled_from(FINAL)),
        st.tuples(st.just("remove"), numbers),
    ),
    max_size=60,
)


def apply_steps(rows) -> tuple[ix.Index, dict[int, ix.Entry]]:
    """Apply the steps to an index and to a plain reference model."""
    index, reference, early = ix.Index(), {}, {}
    for step in rows:
        if step[0] == "add":
            _, number, made, team = step
            index.add(entry(number, made, team))
            if number not in reference:
                reference[number] = entry(number, made, team, state=str(early.pop(number, "")))
        elif step[0] == "end":
            _, number, state = step
            index.set_final_state(f"j-{number:024d}", str(state), 5)
            if number not in reference:
                early[number] = state
            elif not reference[number].state:
                reference[number] = reference[number]._replace(state=str(state))
        else:
            index.remove(f"j-{step[1]:024d}")
            reference.pop(step[1], None)
            early.pop(step[1], None)
    return index, reference


@settings(derandomize=True, max_examples=150)
@given(steps, st.sampled_from((None, *TEAMS)), st.sampled_from((None, *FINAL, State.QUEUED)),
       st.integers(1, 4), st.integers(1, 6))  # fmt: skip
def test_pages_are_slices_of_a_plain_sort(rows, team, state, limit, max_scanned):
    index, reference = apply_steps(rows)
    states = ix.buckets_of(state)
    wanted = sorted(
        (e for e in reference.values() if team in (None, e.team) and e.state in states),
        key=lambda e: -e.key,
    )
    found, after, pages = [], None, 0
    while True:
        page = index.list(team, states, lambda e: True, after, limit, max_scanned)
        found += page.entries
        pages += 1
        if page.after is None:
            break
        assert after is None or page.after < after
        after = page.after
    assert {e.id for e in found} == {e.id for e in wanted} and len(found) == len(wanted)
    assert [e.key for e in found] == [e.key for e in wanted]
    # Each page is bounded by its number of tasks and of scanned rows.
    assert pages <= len(reference) + 1
    assert len(index) == len(reference)
    assert {e.state for e in found} <= states


@settings(derandomize=True, max_examples=60)
@given(steps, steps)
def test_pages_are_stable_while_tasks_are_added_and_removed(before, later):
    """After a page token, a listing shows every task that existed before and still does, once."""
    index, reference = apply_steps(before)
    page = index.list(None, ix.ALL_BUCKETS, lambda e: True, None, 2, 100)
    if page.after is None:
        return
    rest = {n for n, e in reference.items() if e.key < page.after}
    gone = set()
    for step in later:
        if step[0] == "add" and step[1] not in reference and step[1] not in gone:
            index.add(entry(step[1], 9, step[3]))  # a later time sorts before the page
        elif step[0] == "end":
            index.set_final_state(f"j-{step[1]:024d}", str(step[2]), 5)
        elif step[0] == "remove":
            index.remove(f"j-{step[1]:024d}")
            gone.add(step[1])
    following = index.list(None, ix.ALL_BUCKETS, lambda e: True, page.after, 1000, 1000).entries
    ids = [int(e.id[2:]) for e in following]
    assert sorted(ids) == sorted(rest - gone)


def test_a_final_state_never_changes():
    index = ix.Index()
    index.add(entry(1, 1))
    index.set_final_state("j-" + "1".zfill(24), "COMPLETE", 5)
    index.set_final_state("j-" + "1".zfill(24), "CANCELED", 6)
    index.add(entry(1, 1, state="SYSTEM_ERROR"))
    found = index.get("j-" + "1".zfill(24))
    assert found is not None and (found.state, found.ended_ms) == ("COMPLETE", 5)


def test_removing_most_tasks_frees_their_memory():
    index = ix.Index()
    for n in range(3000):
        index.add(entry(n << ix.LOW_BITS | n, n))
    for n in range(2500):
        index.remove(f"j-{n << ix.LOW_BITS | n:024d}")
    assert len(index) == 500 and len(index.rows) < 1100
    page = index.list("blue", ix.ALL_BUCKETS, lambda e: True, None, 1000, 1000)
    assert len(page.entries) == 500


# --- documents and tokens ------------------------------------------------------------------


@settings(derandomize=True, max_examples=80)
@given(st.binary(max_size=20_000), st.sampled_from((1.0, 8.0)))
def test_document_round_trip(raw, value_kb):
    packed = documents.pack(raw, value_kb, 100)
    assert documents.unpack(packed.hash, packed.parts) == raw
    import msgspec

    for i, part in enumerate(packed.parts):
        value = packed.root() if i == 0 else {"data": part}
        assert len(msgspec.json.encode(value)) <= value_kb * 1024


@settings(derandomize=True, max_examples=60)
@given(st.binary(min_size=1, max_size=2000), st.integers(0), st.integers(1, 84))
def test_damaged_document_is_detected(raw, at, by):
    packed = documents.pack(raw, 8.0, 10)
    text = packed.parts[0]
    at %= len(text)
    letters = string.digits + string.ascii_letters + "!#$%&()*+-;<=>?@^_`{|}~"
    other = letters[(letters.index(text[at]) + by) % len(letters)]
    if other == text[at]:
        return
    with contextlib.suppress(documents.CorruptDocument):
        # A changed padding bit of the last group may decode equally; any other damage is detected.
        assert documents.unpack(packed.hash, [text[:at] + other + text[at + 1 :]]) == raw
    with pytest.raises(documents.CorruptDocument):
        documents.unpack(packed.hash, [text[:-1]])


def test_oversized_document_is_refused_with_the_sizes():
    import random

    raw = random.Random(1).randbytes(100_000)
    with pytest.raises(RequestError, match="at most") as refused:
        documents.pack(raw, 8.0, 4)
    assert refused.value.status == 413


@settings(derandomize=True, max_examples=100)
@given(st.integers(0, 2**63), st.text(max_size=20), st.text(max_size=40))
def test_only_signed_tokens_are_accepted(after, filters, other):
    token = tokens.sign(b"secret", after, filters)
    assert tokens.read(b"secret", token, filters) == after
    for secret, text, given_for in (
        (b"secret", other, filters), (b"another", token, filters),
        (b"secret", token, filters + "x"), (b"secret", token[:-1], filters),
        (b"secret", "A" + token, filters),
    ):  # fmt: skip
        if (secret, text, given_for) != (b"secret", token, filters):
            with pytest.raises(RequestError):
                tokens.read(secret, text, given_for)


def test_final_state_depends_on_the_final_record_only():
    done = {"status": "done", "done": 1}
    assert mapping.final_state(done) == State.COMPLETE
    assert mapping.final_state(done | {"outcome": {"0": [0, "h"]}}) == State.COMPLETE
    assert mapping.final_state(done | {"outcome": {"0": [3, "h"]}}) == State.EXECUTOR_ERROR
    system_error = done | {"outcome": {"0": [0, "h"], "1": [0, "h", "system"]}}
    assert mapping.final_state(system_error) == State.SYSTEM_ERROR
    over = {"status": "cancelled", "done": 0}
    assert mapping.final_state(over) == State.CANCELED
    assert mapping.final_state(over | {"failed": "lost"}) == State.SYSTEM_ERROR
