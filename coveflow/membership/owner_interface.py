"""The interface between membership and a node's owner, independent of the owner's commands."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import Any, Protocol

from coveflow.state.keys import View

Row = tuple[str, Any, int]  # key, value (None: removed), revision


class OwnerInterface(Protocol):
    """The part of the owner that membership uses; implemented by the daemon's `Owner`."""

    @property
    def view(self) -> View: ...

    @property
    def members(self) -> dict[str, int]:
        """Nodes whose lease is live, as of the newest state read from the store."""
        ...

    @property
    def leading(self) -> int:
        """The epoch in which this process leads, or 0 if it does not."""
        ...

    def may_take_over(self, now: float) -> bool:
        """Whether this node may try to lead: it knows the machine types and has not just failed."""
        ...

    def apply_inbox_rows(self, rows: list[Row], listed: int | None) -> Awaitable[None]:
        """Apply rows of the inbox; returns when that is done.

        `listed` is the revision of a full listing, or None for single changes.
        """
        ...

    def lead(self, epoch: int, rev: int, rows: list[Row]) -> None:
        """Start to lead: the view of this revision names this node; `rows` are the records."""
        ...
