"""What a node knows of all tasks, for listings: a page costs by its own length. Pure.

Each task is one packed row. Rows hang in one sorted array for each (team, final state), and one for
each team's tasks that are not over, so a listing of one state or team never walks the others. Order
is by creation time, newest first, and the same on every node; a page's token names the last task
that was looked at, so pages stay as they are while tasks come and go.
"""

from __future__ import annotations

import heapq
from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterator
from typing import Any, NamedTuple

import msgspec

from coveflow.tes.models import FINAL, State

FINAL_BYTES = 40  # that a task's end adds to its row in a page
LIVE = ""  # the bucket of tasks that are not over
LOW_BITS = 22  # of a key: from the id, so that tasks of one millisecond have an order
_pack = msgspec.msgpack.Encoder().encode
_unpack = msgspec.msgpack.Decoder().decode


class Entry(NamedTuple):
    """One task as listings know it. `made_ms`, `ended_ms`: ms of the time of day."""

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
        """Its place in every listing, the same on every node."""
        return self.made_ms << LOW_BITS | number_of(self.id) & (1 << LOW_BITS) - 1


def number_of(task: str) -> int:
    return int(task[2:])


class Page(NamedTuple):
    entries: list[Entry]
    after: int | None  # key to go on from; None: nothing is left


class Bucket:
    """Tasks of one team in one state: keys in order, and the row of each beside it."""

    __slots__ = ("keys", "rows")

    def __init__(self) -> None:
        self.keys: array[int] = array("Q")
        self.rows: array[int] = array("I")

    def put(self, key: int, row: int) -> None:
        """Most come with the highest key; those of one key go by their rows."""
        at = len(self.keys)
        if at and key <= self.keys[-1]:
            at = bisect_right(self.keys, key)
        self.keys.insert(at, key)
        self.rows.insert(at, row)

    def take(self, key: int, row: int) -> None:
        for at in range(bisect_left(self.keys, key), bisect_right(self.keys, key)):
            if self.rows[at] == row:
                self.keys.pop(at)
                self.rows.pop(at)
                return

    def down(self, after: int | None) -> Iterator[tuple[int, int]]:
        """Keys and rows from the newest one below `after`."""
        at = len(self.keys) if after is None else bisect_left(self.keys, after)
        for i in range(at - 1, -1, -1):
            yield self.keys[i], self.rows[i]


class Index:
    def __init__(self) -> None:
        self.rows: list[bytes | None] = []
        self.ids: dict[int, int] = {}  # number of the id to row
        self.buckets: dict[tuple[str, str], Bucket] = {}
        self.early: dict[str, tuple[str, int]] = {}  # ends heard of before their tasks

    def __len__(self) -> int:
        return len(self.ids)

    def _entry(self, row: int) -> Entry:
        return Entry(*_unpack(self.rows[row] or b""))

    def get(self, task: str) -> Entry | None:
        row = self.ids.get(number_of(task))
        return None if row is None else self._entry(row)

    # --- changes -----------------------------------------------------------------------

    def add(self, entry: Entry) -> None:
        """Take in a task; a known one can only become final, never anything else."""
        if number_of(entry.id) in self.ids:
            if entry.state:
                self.end(entry.id, entry.state, entry.ended_ms)
            return
        early = self.early.pop(entry.id, None)
        if early is not None and not entry.state:
            entry = entry._replace(state=early[0], ended_ms=early[1])
        row = len(self.rows)
        self.rows.append(_pack(entry))
        self.ids[number_of(entry.id)] = row
        self._into(entry, row)

    def _into(self, entry: Entry, row: int) -> None:
        self.buckets.setdefault((entry.team, entry.state), Bucket()).put(entry.key, row)

    def _out_of(self, entry: Entry, row: int) -> None:
        bucket = self.buckets[entry.team, entry.state]
        bucket.take(entry.key, row)
        if not bucket.keys:
            del self.buckets[entry.team, entry.state]

    def end(self, task: str, state: str, ended_ms: int) -> None:
        """The task is over. The first word counts: a final state never changes."""
        row = self.ids.get(number_of(task))
        if row is None:
            self.early[task] = (state, ended_ms)
            return
        entry = self._entry(row)
        if entry.state:
            return
        self._out_of(entry, row)
        entry = entry._replace(state=state, ended_ms=ended_ms)
        self.rows[row] = _pack(entry)
        self._into(entry, row)

    def remove(self, task: str) -> Entry | None:
        """The task's time is over; what was known of it."""
        row = self.ids.pop(number_of(task), None)
        self.early.pop(task, None)
        if row is None:
            return None
        entry = self._entry(row)
        self._out_of(entry, row)
        self.rows[row] = None
        if len(self.rows) > 1024 and len(self.ids) * 2 < len(self.rows):
            self._compact()
        return entry

    def _compact(self) -> None:
        """Half of the rows are gone: number the rest anew."""
        kept = [packed for packed in self.rows if packed is not None]
        self.rows, self.ids, self.buckets = kept, {}, {}
        for row in range(len(kept)):
            entry = self._entry(row)
            self.ids[number_of(entry.id)] = row
            self._into(entry, row)

    # --- listings ----------------------------------------------------------------------

    def list(
        self,
        team: str | None,
        states: frozenset[str],
        wanted: Callable[[Entry], bool],
        after: int | None,
        most: int,
        look: int,
    ) -> Page:
        """The next tasks, newest first: at most `most`, after a look at `look` of them at most.

        `team` None: of all teams. `states` are buckets (final states and LIVE). A page may hold
        less than there is, even nothing, and then says where to go on. Tasks of one key are never
        on two pages, so a page may hold a few more.
        """
        chosen = [
            bucket.down(after)
            for (of, state), bucket in self.buckets.items()
            if (team is None or of == team) and state in states
        ]
        entries: list[Entry] = []
        last = None
        for looked, (key, row) in enumerate(heapq.merge(*chosen, reverse=True)):
            if key != last and (len(entries) >= most or looked >= look):
                return Page(entries, last)
            last = key
            entry = self._entry(row)
            if wanted(entry):
                entries.append(entry)
        return Page(entries, None)

    def documents(self) -> set[str]:
        """Hashes of the documents that clients sent and some task still has."""
        return {Entry(*_unpack(packed)).doc for packed in self.rows if packed is not None}


ALL = frozenset({LIVE, *(str(s) for s in FINAL)})


def buckets_of(state: State | None) -> frozenset[str]:
    """Where tasks of the state hang; empty where no task here ever has it."""
    if state is None:
        return ALL
    if state in FINAL:
        return frozenset({str(state)})
    if state in (State.QUEUED, State.INITIALIZING, State.RUNNING, State.CANCELING):
        return frozenset({LIVE})
    return frozenset()


def rows_of(entries: list[Entry]) -> list[list[Any]]:
    """Entries as a page of the state service keeps them; what is empty at the end is left out."""
    return [list(e) if e.state else list(e[:6]) for e in entries]


def entries_of(rows: list[list[Any]]) -> list[Entry]:
    return [Entry(*row) for row in rows]
