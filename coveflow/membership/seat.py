"""What membership needs of a node's owner, without knowing its commands."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import Any, Protocol

from coveflow.state.keys import View

Row = tuple[str, Any, int]  # key, value (None: removed), revision


class Seat(Protocol):
    """The owner as membership sees it; the daemon implements it."""

    @property
    def view(self) -> View: ...

    @property
    def members(self) -> dict[str, int]:
        """Nodes whose hold lives, by the newest word of the store."""
        ...

    @property
    def leading(self) -> int:
        """The epoch in which this process leads; 0: it does not."""
        ...

    def may_try(self, now: float) -> bool:
        """Whether it could lead: it knows the machine types and did not just fail to."""
        ...

    def tell(self, rows: list[Row], listed: int | None) -> Awaitable[None]:
        """Rows of the inbox; returns when they are applied."""
        ...

    def lead(self, epoch: int, rev: int, rows: list[Row]) -> None:
        """The view names this node under this revision; the rows are the leader's records."""
        ...
