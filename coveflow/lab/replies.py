"""Replacement for the future of a report's answer where no event loop runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


class Reply:
    """Implements the part of `asyncio.Future` that the daemon uses; calls `then` on the result."""

    __slots__ = ("answered", "callback")

    def __init__(self, then: Callable[[Any], None]) -> None:
        self.answered, self.callback = False, then

    def done(self) -> bool:
        return self.answered

    def set_result(self, value: Any) -> None:
        self.answered = True
        self.callback(value)
