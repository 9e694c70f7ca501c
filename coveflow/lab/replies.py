"""Answers to reports where there is no event loop."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any


class Reply:
    """What a report's future is to the daemon, without an event loop."""

    __slots__ = ("answered", "then")

    def __init__(self, then: Callable[[Any], None]) -> None:
        self.answered, self.then = False, then

    def done(self) -> bool:
        return self.answered

    def set_result(self, value: Any) -> None:
        self.answered = True
        self.then(value)
