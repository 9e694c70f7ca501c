"""What a node knows of all tasks, for listings: a page costs by its own length. Pure.

Each task is one packed row. Rows hang in one sorted array for each (team, final state), and one for
each team's tasks that are not over, so a listing of one state or team never walks the others. Order
is by creation time, newest first, and the same on every node; a page's token names the last task
that was looked at, so pages stay as they are while tasks come and go.
"""

from __future__ import annotations

import heapq
from array import array
from bisect import bisect_left
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


class Index:
    def __init__(self) -> None:
        self.rows: list[bytes | None] = []
        self.ids: dict[int, int] = {}  # number of the id to row
        self.keys: dict[int, int | tuple[int, ...]] = {}  # key to row, or rows
        self.buckets: dict[tuple[str, str], array[int]] = {}
        self.early: dict[str, tuple[str, int]] = {}  # ends heard of before their tasks

    def __len__(self) -> int:
        return len(self.ids)

    def get(self, task: str) -> Entry | None:
        row = self.ids.get(number_of(task))
        packed = None if row is None else self.rows[row]
        return None if packed is None else Entry(*_unpack(packed))

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
        self._hang(entry.key, row)
        self._into(entry.team, entry.state, entry.key)

    def _hang(self, key: int, row: int) -> None:
        known = self.keys.get(key)
        if known is None:
            self.keys[key] = row
        else:
            # Two tasks of one millisecond and the same low bits: they are listed together.
            self.keys[key] = (*(known if isinstance(known, tuple) else (known,)), row)

    def _into(self, team: str, state: str, key: int) -> None:
        bucket = self.buckets.setdefault((team, state), array("Q"))
        if not bucket or key > bucket[-1]:
            bucket.append(key)
        else:
            at = bisect_left(bucket, key)
            if bucket[at] != key:
                bucket.insert(at, key)

    def _out_of(self, team: str, state: str, key: int) -> None:
        """Take the key out, unless another task of the same key stays in the bucket."""
        if any(e.team == team and e.state == state for e in self._of(key)):
            return
        bucket = self.buckets[team, state]
        at = bisect_left(bucket, key)
        if at < len(bucket) and bucket[at] == key:
            bucket.pop(at)
        if not bucket:
            del self.buckets[team, state]

    def end(self, task: str, state: str, ended_ms: int) -> None:
        """The task is over. The first word counts: a final state never changes."""
        row = self.ids.get(number_of(task))
        if row is None:
            self.early[task] = (state, ended_ms)
            return
        entry = Entry(*_unpack(self.rows[row] or b""))
        if entry.state:
            return
        self.rows[row] = _pack(entry._replace(state=state, ended_ms=ended_ms))
        self._out_of(entry.team, LIVE, entry.key)
        self._into(entry.team, state, entry.key)

    def remove(self, task: str) -> Entry | None:
        """The task's time is over; what was known of it."""
        row = self.ids.pop(number_of(task), None)
        self.early.pop(task, None)
        if row is None:
            return None
        entry = Entry(*_unpack(self.rows[row] or b""))
        self.rows[row] = None
        known = self.keys[entry.key]
        if isinstance(known, tuple):
            left = tuple(r for r in known if r != row)
            self.keys[entry.key] = left if len(left) > 1 else left[0]
        else:
            del self.keys[entry.key]
        self._out_of(entry.team, entry.state, entry.key)
        if len(self.rows) > 1024 and len(self.ids) * 2 < len(self.rows):
            self._compact()
        return entry

    def _compact(self) -> None:
        """Half of the rows are gone: number the rest anew."""
        kept = [packed for packed in self.rows if packed is not None]
        self.rows, self.ids, self.keys = list(kept), {}, {}
        for row, packed in enumerate(kept):
            entry = Entry(*_unpack(packed))
            self.ids[number_of(entry.id)] = row
            self._hang(entry.key, row)

    # --- listings ----------------------------------------------------------------------

    def _of(self, key: int) -> Iterator[Entry]:
        known = self.keys.get(key)
        if known is None:
            return
        for row in known if isinstance(known, tuple) else (known,):
            packed = self.rows[row]
            if packed is not None:
                yield Entry(*_unpack(packed))

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
        less than there is, even nothing, and then says where to go on.
        """
        chosen = [
            _down(bucket, after)
            for (of, state), bucket in self.buckets.items()
            if (team is None or of == team) and state in states
        ]
        entries: list[Entry] = []
        looked, last = 0, None
        for key in heapq.merge(*chosen, reverse=True):
            if key == last:
                continue  # tasks of one key in two buckets: both were listed at the first
            if len(entries) >= most or looked >= look:
                return Page(entries, last)
            last = key
            looked += 1
            for entry in self._of(key):
                if (team is None or entry.team == team) and entry.state in states and wanted(entry):
                    entries.append(entry)
        return Page(entries, None)

    def documents(self) -> set[str]:
        """Hashes of the documents that clients sent and some task still has."""
        found: set[str] = set()
        for packed in self.rows:
            if packed is not None:
                found.add(Entry(*_unpack(packed)).doc)
        return found


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


def _down(bucket: array[int], after: int | None) -> Iterator[int]:
    at = len(bucket) if after is None else bisect_left(bucket, after)
    for i in range(at - 1, -1, -1):
        yield bucket[i]


def rows_of(entries: list[Entry]) -> list[list[Any]]:
    """Entries as a page of the state service keeps them; what is empty at the end is left out."""
    return [list(e) if e.state else list(e[:6]) for e in entries]


def entries_of(rows: list[list[Any]]) -> list[Entry]:
    return [Entry(*row) for row in rows]
