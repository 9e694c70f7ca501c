"""Model of the state service: versions, conditional transactions, leases, watches and limits.

The caller passes the time to each method.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

import msgspec
from sortedcontainers import SortedDict

CHANGES_KEPT = 10_000  # changes kept for watches, as the protocol states
TXN_KB = 64  # maximum size of a transaction encoded as JSON, in KiB


class ConditionFailed(Exception):
    """A condition of a transaction does not hold; `keys` are those whose version differs."""

    def __init__(self, keys: list[str], rev: int) -> None:
        super().__init__(", ".join(keys))
        self.keys, self.rev = keys, rev


class Malformed(ValueError):
    """The request exceeds a limit or names an ended lease; it was not executed."""


class RevisionCompacted(Exception):
    """The requested changes are no longer kept."""


@dataclass
class RateLimit:
    """A token bucket that allows a burst of `burst_s` seconds at the rate."""

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
    lease: int | None = None


class Store:
    """Allows `rps` requests and `write_rps` puts and deletes a second, with 1 s of burst each."""

    def __init__(
        self, rps: float, write_rps: float, value_kb: float, txn_ops: int, kept: int = CHANGES_KEPT
    ) -> None:
        self.requests, self.write_limit = RateLimit(rps), RateLimit(write_rps)
        self.value_kb, self.txn_ops = value_kb, txn_ops
        # Sorted since listings are in key order: sorting all keys for each page takes seconds.
        self.rows: SortedDict[str, Row] = SortedDict()
        self.rev = 0
        self.log: deque[tuple[str, Any, int]] = deque(maxlen=kept)  # key, value or None, revision
        self.compacted_rev = 0  # newest revision that is no longer in the log
        self.leases: dict[int, tuple[float, float]] = {}  # duration and expiry time, by id
        self.next_lease = 1
        self.puts = 0

    def get(self, key: str) -> Row | None:
        return self.rows.get(key)

    def list(self, prefix: str, after: str, most: int) -> tuple[list[tuple[str, Row]], bool]:
        """Rows under the prefix and after a key, in key order; and whether there are more."""
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
        """Apply `writes` if all versions match `guards`, and return the new revision.

        A write is a value (None deletes the key) and the id of a lease or None. Applies nothing
        if it raises ConditionFailed or Malformed.
        """
        if len(writes) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            raise Malformed(f"{len(writes)} changes and {len(guards)} conditions exceed the limit")
        total = 0
        for key, (value, lease) in writes.items():
            size = 0 if value is None else len(msgspec.json.encode(value))
            total += size + len(key)
            if not 0 < len(key) <= 200 or " " in key:
                raise Malformed(f"{key!r} is not a valid key")
            if size > self.value_kb * 1024:
                raise Malformed(f"{key}: value of {size} bytes is too large")
            if lease is not None and lease not in self.leases:
                raise Malformed("no such lease")
        if total > TXN_KB * 1024:
            raise Malformed(f"a transaction of {total} bytes is too large")
        failed = [key for key, rev in guards.items() if self._rev_of(key) != rev]
        if failed:
            raise ConditionFailed(failed, self.rev)
        if writes:
            self._write(writes)
        return self.rev

    def _rev_of(self, key: str) -> int:
        row = self.rows.get(key)
        return row.rev if row is not None else 0

    def _write(self, writes: dict[str, tuple[Any, int | None]]) -> None:
        self.rev += 1
        self.puts += len(writes)
        for key, (value, lease) in writes.items():
            if value is None:
                if self.rows.pop(key, None) is None:
                    continue
            else:
                self.rows[key] = Row(value, self.rev, lease)
            if len(self.log) == self.log.maxlen:
                self.compacted_rev = self.log[0][2]
            self.log.append((key, value, self.rev))

    def events(self, prefix: str, after: int) -> list[tuple[str, Any, int]]:
        """Changes under the prefix after a revision, oldest first.

        Raises RevisionCompacted if some of them are no longer kept.
        """
        if after < self.compacted_rev:
            raise RevisionCompacted
        found = []
        for entry in reversed(self.log):
            if entry[2] <= after:
                break
            if entry[0].startswith(prefix):
                found.append(entry)
        return found[::-1]

    # --- leases ------------------------------------------------------------------------

    def grant_lease(self, duration_s: float, now: float) -> int:
        lease = self.next_lease
        self.next_lease += 1
        self.leases[lease] = (duration_s, now + duration_s)
        return lease

    def renew_lease(self, lease: int, now: float) -> bool:
        if lease not in self.leases:
            return False
        duration = self.leases[lease][0]
        self.leases[lease] = (duration, now + duration)
        return True

    def end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        keys = [k for k, row in self.rows.items() if row.lease == lease]
        if keys:
            self._write({key: (None, None) for key in keys})

    def expire_leases(self, now: float) -> None:
        for lease in [g for g, (_, ends) in self.leases.items() if ends <= now]:
            self.end_lease(lease)

    def renew_all_leases(self, now: float) -> None:
        """Renew all leases to their full duration, as the service does after an outage."""
        for lease in list(self.leases):
            self.renew_lease(lease, now)
