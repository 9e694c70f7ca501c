"""The state service's model: versions, conditions, holds, changes, limits. Time is handed in."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

import msgspec
from sortedcontainers import SortedDict

KEPT = 10_000  # changes that can be watched from; the protocol's own number
TXN_KB = 64  # KiB of a transaction, by its JSON form


class Failed(Exception):
    """A condition did not hold."""

    def __init__(self, keys: list[str], rev: int) -> None:
        super().__init__(", ".join(keys))
        self.keys, self.rev = keys, rev


class Malformed(ValueError):
    """A request over a limit, or with an ended hold; it was not executed."""


class TooOld(Exception):
    """The changes asked for are no longer kept."""


@dataclass
class Rate:
    """A budget with a burst of some seconds' worth."""

    per_s: float
    burst_s: float = 1.0
    level: float = field(init=False)
    at: float = 0.0

    def __post_init__(self) -> None:
        self.level = self.per_s * self.burst_s

    def take(self, amount: float, now: float) -> bool:
        self.level = min(self.per_s * self.burst_s, self.level + (now - self.at) * self.per_s)
        self.at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


@dataclass
class Row:
    value: Any
    rev: int
    grant: int | None = None


class Store:
    """`rps` requests and `write_rps` puts and deletes a second, each with a second's burst."""

    def __init__(
        self, rps: float, write_rps: float, value_kb: float, txn_ops: int, kept: int = KEPT
    ) -> None:
        self.requests, self.changes = Rate(rps), Rate(write_rps)
        self.value_kb, self.txn_ops = value_kb, txn_ops
        # Sorted, as listings are in key order: a whole sort for each page took seconds.
        self.rows: SortedDict[str, Row] = SortedDict()
        self.rev = 0
        self.log: deque[tuple[str, Any, int]] = deque(maxlen=kept)  # key, value or None, revision
        self.dropped = 0  # newest revision that the log no longer has
        self.holds: dict[int, tuple[float, float]] = {}  # life and end, s
        self.next_hold = 1
        self.puts = 0

    def get(self, key: str) -> Row | None:
        return self.rows.get(key)

    def list(self, prefix: str, after: str, most: int) -> tuple[list[tuple[str, Row]], bool]:
        """Rows in key order under the prefix, after a key; whether there are more."""
        found: list[tuple[str, Row]] = []
        low, inclusive = (after, False) if after >= prefix else (prefix, True)
        for key in self.rows.irange(low, inclusive=(inclusive, True)):
            if not key.startswith(prefix):
                break
            if len(found) == most:
                return found, True
            found.append((key, self.rows[key]))
        return found, False

    def commit(
        self, guards: dict[str, int], writes: dict[str, tuple[Any, int | None]], now: float
    ) -> int:
        """Apply `writes` (value, None to remove, and a hold) if all versions are as guarded.

        Raises Failed or Malformed; nothing is applied then. Returns the new revision.
        """
        if len(writes) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            raise Malformed(f"{len(writes)} changes, {len(guards)} conditions are too many")
        total = 0
        for key, (value, grant) in writes.items():
            size = 0 if value is None else len(msgspec.json.encode(value))
            total += size + len(key)
            if not 0 < len(key) <= 200 or " " in key:
                raise Malformed(f"{key!r} is no key")
            if size > self.value_kb * 1024:
                raise Malformed(f"{key}: {size} bytes are too many")
            if grant is not None and grant not in self.holds:
                raise Malformed("no such lease")
        if total > TXN_KB * 1024:
            raise Malformed(f"a transaction of {total} bytes is too large")
        wrong = [key for key, rev in guards.items() if self._rev_of(key) != rev]
        if wrong:
            raise Failed(wrong, self.rev)
        if writes:
            self._write(writes)
        return self.rev

    def _rev_of(self, key: str) -> int:
        row = self.rows.get(key)
        return row.rev if row is not None else 0

    def _write(self, writes: dict[str, tuple[Any, int | None]]) -> None:
        self.rev += 1
        self.puts += len(writes)
        for key, (value, grant) in writes.items():
            if value is None:
                if self.rows.pop(key, None) is None:
                    continue
            else:
                self.rows[key] = Row(value, self.rev, grant)
            if len(self.log) == self.log.maxlen:
                self.dropped = self.log[0][2]
            self.log.append((key, value, self.rev))

    def events(self, prefix: str, after: int) -> list[tuple[str, Any, int]]:
        """Changes under the prefix after a revision, oldest first; TooOld if some are not kept."""
        if after < self.dropped:
            raise TooOld
        found = []
        for entry in reversed(self.log):
            if entry[2] <= after:
                break
            if entry[0].startswith(prefix):
                found.append(entry)
        return found[::-1]

    # --- holds -------------------------------------------------------------------------

    def hold(self, life_s: float, now: float) -> int:
        grant = self.next_hold
        self.next_hold += 1
        self.holds[grant] = (life_s, now + life_s)
        return grant

    def renew(self, grant: int, now: float) -> bool:
        if grant not in self.holds:
            return False
        life = self.holds[grant][0]
        self.holds[grant] = (life, now + life)
        return True

    def end(self, grant: int) -> None:
        self.holds.pop(grant, None)
        keys = [k for k, row in self.rows.items() if row.grant == grant]
        if keys:
            self._write({key: (None, None) for key in keys})

    def expire(self, now: float) -> None:
        for grant in [g for g, (_, ends) in self.holds.items() if ends <= now]:
            self.end(grant)

    def after_outage(self, now: float) -> None:
        """Every hold has its full time again."""
        for grant in list(self.holds):
            self.renew(grant, now)
