"""A transaction of the state service, and what can be read of its outcome without a response."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Any


class Conflict(Exception):
    """A guard failed, so nothing was written."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class Refused(ValueError):
    """The service rejects what the transaction holds, e.g. for its size; nothing was written."""


class LeaseExpired(Exception):
    """The lease to which a write is attached has expired."""


@dataclass(frozen=True)
class Transaction:
    """Writes that are applied if every guard holds.

    `proof` is a written key to which no other writer ever writes the same value: its row alone
    shows that the transaction was applied, even if others have changed the other rows since. The
    written keys are attached to `lease`, if one is given.
    """

    guards: dict[str, int]
    writes: dict[str, Any]
    proof: str | None = None
    lease: int | None = None

    @property
    def cost(self) -> int:
        """Cost of a copy in the hedge budget; a transaction without writes costs 1 as well."""
        return max(1, len(self.writes))

    @property
    def keys_to_check(self) -> list[str]:
        """The keys to read to find out whether the transaction was applied."""
        return list(self.writes) if self.proof is None else [self.proof]


class Outcome(enum.Enum):
    """What the stored rows show about a transaction without a response."""

    APPLIED = enum.auto()
    FAILED = enum.auto()  # not applied so far; if a guard has failed, it never will be
    UNKNOWN = enum.auto()  # its rows have been changed, by this transaction or by another


@dataclass(frozen=True)
class AppliedCheck:
    """An outcome, and the transaction's revision if it was applied."""

    outcome: Outcome
    revision: int = 0
