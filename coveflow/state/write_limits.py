"""The sizes that this process may write to the state service.

The service may lower its limits unannounced. The settings name those in force and those to come;
the smaller ones apply from the start. If a write is refused for its size all the same, the next
ones are made half as large, and later larger again in steps. The caller passes the time.
"""

from __future__ import annotations

from coveflow import constants as c
from coveflow.settings import State


class WriteLimits:
    """Limits of values (bytes of JSON) and of transactions (changes, bytes) at this moment."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._share = 1.0  # of the configured limits
        self._changed_at = 0.0  # s, on the caller's clock

    @property
    def value_bytes(self) -> int:
        configured = int(self._state.max_value_kb * 1024)
        return max(int(configured * self._share), min(c.VALUE_BYTES_MIN, configured))

    @property
    def item_bytes(self) -> int:
        """Bytes of items that a value may carry; the rest is for framing and escapes."""
        return min(int(self.value_bytes * c.SLOT_FILL_SHARE), self.txn_bytes)

    @property
    def txn_ops(self) -> int:
        return max(int(self._state.max_txn_ops * self._share), c.TXN_OPS_MIN)

    @property
    def txn_bytes(self) -> int:
        """Bytes of items in all values of a transaction."""
        return int(c.TXN_BYTES * self._share)

    @property
    def at_minimum(self) -> bool:
        return self._share <= c.LIMIT_SHARE_MIN

    def refused(self, now: float) -> None:
        """Halve the limits after the state service has refused a write for its size."""
        self._share = max(self._share / 2, c.LIMIT_SHARE_MIN)
        self._changed_at = now

    def raise_after_refusal(self, now: float) -> bool:
        """Double reduced limits again after a while; returns whether they changed."""
        if self._share >= 1.0 or now - self._changed_at < c.LIMIT_RAISE_S:
            return False
        self._share = min(1.0, self._share * 2)
        self._changed_at = now
        return True
