"""In-memory index of all tasks for listings; a page costs in proportion to its length. No I/O.

Each task is one packed row. There is one sorted array of rows for each (team, final state), and one
for the unfinished tasks of each team, so a listing by state or team never scans the others. Tasks
are ordered by creation time, newest first, equally on every node. A page token names the last task
scanned, so pages stay stable while tasks are added and removed.
"""

from __future__ import annotations

import heapq
from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec

from coveflow.tes.models import FINAL, State

FINAL_BYTES = 40  # bytes that a final state adds to a task's row in a page
LIVE = ""  # bucket of unfinished tasks
LOW_BITS = 22  # low bits of a key, taken from the id, which order the tasks of one millisecond
_pack = msgspec.msgpack.Encoder().encode
_unpack = msgspec.msgpack.Decoder().decode


class Entry(NamedTuple):
    """One task in the index; `made_ms` and `ended_ms` are ms since the Unix epoch."""

    id: str
    made_ms: int
    name: str
    team: str
    doc: str  # hash of its document
    tags: dict[str, str]
    state: str = LIVE  # a final state, once it is known
    ended_ms: int = 0

    @property
    def key(self) -> int:
        """Return the sort key, the same on every node."""
        return self.made_ms << LOW_BITS | number_of(self.id) & (1 << LOW_BITS) - 1


def number_of(task: str) -> int:
    return int(task[2:])


class Page(NamedTuple):
    entries: list[Entry]
    after: int | None  # key to continue after; None on the last page


class Bucket:
    """Tasks of one team in one state: sorted keys, and the row number of each."""

    __slots__ = ("keys", "rows")

    def __init__(self) -> None:
        self.keys: array[int] = array("Q")
        self.rows: array[int] = array("I")

    def insert(self, key: int, row: int) -> None:
        """Insert a row; most have the highest key. Rows of equal keys keep insertion order."""
        at = len(self.keys)
        if at and key <= self.keys[-1]:
            at = bisect_right(self.keys, key)
        self.keys.insert(at, key)
        self.rows.insert(at, row)

    def delete(self, key: int, row: int) -> None:
        for at in range(bisect_left(self.keys, key), bisect_right(self.keys, key)):
            if self.rows[at] == row:
                self.keys.pop(at)
                self.rows.pop(at)
                return

    def descending(self, after: int | None) -> Iterator[tuple[int, int]]:
        """Iterate over keys and rows in descending order, from below `after`."""
        at = len(self.keys) if after is None else bisect_left(self.keys, after)
        for i in range(at - 1, -1, -1):
            yield self.keys[i], self.rows[i]


class Index:
    """All tasks, by id and by (team, state)."""

    def __init__(self) -> None:
        self.rows: list[bytes | None] = []
        self.ids: dict[int, int] = {}  # number in the id -> row
        self.buckets: dict[tuple[str, str], Bucket] = {}
        self.early_ends: dict[str, tuple[str, int]] = {}  # ends received before their tasks

    def __len__(self) -> int:
        return len(self.ids)

    def _entry(self, row: int) -> Entry:
        return Entry(*_unpack(self.rows[row] or b""))

    def get(self, task: str) -> Entry | None:
        row = self.ids.get(number_of(task))
        return None if row is None else self._entry(row)

    # --- changes -----------------------------------------------------------------------

    def add(self, entry: Entry) -> None:
        """Add a task; for a known one, only a final state is taken over."""
        if number_of(entry.id) in self.ids:
            if entry.state:
                self.set_final_state(entry.id, entry.state, entry.ended_ms)
            return
        early = self.early_ends.pop(entry.id, None)
        if early is not None and not entry.state:
            entry = entry._replace(state=early[0], ended_ms=early[1])
        row = len(self.rows)
        self.rows.append(_pack(entry))
        self.ids[number_of(entry.id)] = row
        self._insert(entry, row)

    def _insert(self, entry: Entry, row: int) -> None:
        self.buckets.setdefault((entry.team, entry.state), Bucket()).insert(entry.key, row)

    def _delete(self, entry: Entry, row: int) -> None:
        bucket = self.buckets[entry.team, entry.state]
        bucket.delete(entry.key, row)
        if not bucket.keys:
            del self.buckets[entry.team, entry.state]

    def set_final_state(self, task: str, state: str, ended_ms: int) -> None:
        """Record a task's final state. The first one counts, as a final state never changes."""
        row = self.ids.get(number_of(task))
        if row is None:
            self.early_ends[task] = (state, ended_ms)
            return
        entry = self._entry(row)
        if entry.state:
            return
        self._delete(entry, row)
        entry = entry._replace(state=state, ended_ms=ended_ms)
        self.rows[row] = _pack(entry)
        self._insert(entry, row)

    def remove(self, task: str) -> Entry | None:
        """Remove a task and return its entry, None if it is unknown."""
        row = self.ids.pop(number_of(task), None)
        self.early_ends.pop(task, None)
        if row is None:
            return None
        entry = self._entry(row)
        self._delete(entry, row)
        self.rows[row] = None
        if len(self.rows) > 1024 and len(self.ids) * 2 < len(self.rows):
            self._compact()
        return entry

    def _compact(self) -> None:
        """Renumber the remaining rows, to free the memory of removed ones."""
        kept = [packed for packed in self.rows if packed is not None]
        self.rows, self.ids, self.buckets = kept, {}, {}
        for row in range(len(kept)):
            entry = self._entry(row)
            self.ids[number_of(entry.id)] = row
            self._insert(entry, row)

    # --- listings ----------------------------------------------------------------------

    def list(
        self,
        team: str | None,
        states: frozenset[str],
        matches: Callable[[Entry], bool],
        after: int | None,
        limit: int,
        max_scanned: int,
    ) -> Page:
        """Return the next tasks, newest first: at most `limit`, from at most `max_scanned` rows.

        `team` None means all teams. `states` are buckets (final states and LIVE). A page may be
        short or empty before the end; its `after` then tells where to continue. Tasks with the same
        key are never split over two pages, so a page may exceed `limit` by a few.
        """
        chosen = [
            bucket.descending(after)
            for (owner, state), bucket in self.buckets.items()
            if (team is None or owner == team) and state in states
        ]
        entries: list[Entry] = []
        last = None
        for scanned, (key, row) in enumerate(heapq.merge(*chosen, reverse=True)):
            if key != last and (len(entries) >= limit or scanned >= max_scanned):
                return Page(entries, last)
            last = key
            entry = self._entry(row)
            if matches(entry):
                entries.append(entry)
        return Page(entries, None)

    def documents(self) -> set[str]:
        """Return the hashes of the documents that tasks refer to (logs are not among them)."""
        return {Entry(*_unpack(packed)).doc for packed in self.rows if packed is not None}


ALL_BUCKETS = frozenset({LIVE, *(str(s) for s in FINAL)})


def buckets_of(state: State | None) -> frozenset[str]:
    """Return the buckets with tasks of a state; empty for a state that no task here has."""
    if state is None:
        return ALL_BUCKETS
    if state in FINAL:
        return frozenset({str(state)})
    if state in (State.QUEUED, State.INITIALIZING, State.RUNNING, State.CANCELING):
        return frozenset({LIVE})
    return frozenset()


def encode_rows(entries: list[Entry]) -> list[list[Any]]:
    """Encode entries as rows of an index page; unfinished ones omit state and end time."""
    return [list(e) if e.state else list(e[:6]) for e in entries]


def decode_rows(rows: list[list[Any]]) -> list[Entry]:
    return [Entry(*row) for row in rows]
