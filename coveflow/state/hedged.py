"""Hedged commits: copies of a transaction are sent while its response is late.

The first conclusive result wins: a response to any copy, or a read of the written rows.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol, TypeVar

from coveflow import constants as c
from coveflow.net.http import Unavailable, UnknownOutcome
from coveflow.state.transactions import AppliedCheck, Conflict, Outcome, Transaction

T = TypeVar("T")


class CommitClient(Protocol):
    """The operations of the state service's client that a hedged commit uses."""

    async def send_copy(self, transaction: Transaction) -> int:
        """Send the transaction; its revision, or Conflict, Unavailable or UnknownOutcome."""
        ...

    async def charge_copy(self, transaction: Transaction) -> bool:
        """Charge one more copy to the budgets; False if they do not allow it at once."""
        ...

    async def check_quickly(self, transaction: Transaction) -> AppliedCheck:
        """What the rows show about the transaction; UNKNOWN if they cannot be read at once."""
        ...


class HedgedCommit:
    """Copies of one transaction in flight, and reads of its rows.

    The guards let at most one copy apply, so the order of responses does not matter. A conflict is
    final only once no copy can have been applied, because it may have been caused by another copy
    whose response is late or lost. The rows decide. They are read after a conflict, and from the
    second wait on while no copy has been answered.
    """

    def __init__(self, client: CommitClient, transaction: Transaction) -> None:
        self.client, self.transaction = client, transaction
        self.copies: set[asyncio.Future[int]] = set()
        self.failures: list[Unavailable | Conflict] = []
        self.check: asyncio.Future[AppliedCheck] | None = None
        self.failures_before_check = 0  # copies that had failed when the last check was sent

    async def result(self) -> int:
        """The revision at which it was applied; raises the most informative failure otherwise."""
        self._send()
        for number, wait_s in enumerate(c.COMMIT_HEDGE_DELAYS_S):
            while await self._wait_for_any(wait_s):
                revision = self._settled()
                if revision is not None:
                    return revision
                if not self.copies:
                    raise self._failure()
            if number > 0:
                self._check_rows()
            if await self.client.charge_copy(self.transaction):
                self._send()
        while self.copies:
            await self._wait_for_any(None)
            revision = self._settled()
            if revision is not None:
                return revision
        raise self._failure()

    def _send(self) -> None:
        self.copies.add(_start(self.client.send_copy(self.transaction)))

    def _check_rows(self) -> None:
        if self.check is None:
            self.failures_before_check = len(self.failures)
            self.check = _start(self.client.check_quickly(self.transaction))

    async def _wait_for_any(self, timeout_s: float | None) -> bool:
        """Wait for a response to a copy or check; whether one arrived in time."""
        awaited: set[asyncio.Future[Any]] = {*self.copies}
        if self.check is not None:
            awaited.add(self.check)
        done, _ = await asyncio.wait(
            awaited, timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED
        )
        return bool(done)

    def _settled(self) -> int | None:
        """The revision, if the responses so far show it; raises the conflict once it is final."""
        for copy in [copy for copy in self.copies if copy.done()]:
            self.copies.discard(copy)
            error = copy.exception()
            if error is None:
                return copy.result()
            if not isinstance(error, Unavailable | Conflict):
                raise error
            self.failures.append(error)
        return self._settled_by_rows()

    def _settled_by_rows(self) -> int | None:
        """The revision, if the rows show it; they are read again after each new conflict."""
        conflicts = [
            e for e in self.failures[: self.failures_before_check] if isinstance(e, Conflict)
        ]
        if self.check is not None and self.check.done():
            result, self.check = self.check.result(), None
            if result.outcome is Outcome.APPLIED:
                return result.revision
            # Only conflicts that precede the check count: rows that were read earlier may predate
            # the copy that caused the conflict.
            if result.outcome is Outcome.FAILED and conflicts:
                raise conflicts[0]
        new_failures = self.failures[self.failures_before_check :]
        if self.copies and any(isinstance(error, Conflict) for error in new_failures):
            self._check_rows()
        return None

    def _failure(self) -> Exception:
        """The failure to raise: UnknownOutcome if any copy may have been applied."""
        kinds: tuple[type[Exception], ...] = (UnknownOutcome, Conflict, Unavailable)
        return next(e for kind in kinds for e in self.failures if isinstance(e, kind))


def _start(work: Coroutine[Any, Any, T]) -> asyncio.Future[T]:
    future = asyncio.ensure_future(work)
    future.add_done_callback(_retrieve_exception)
    return future


def _retrieve_exception(future: asyncio.Future[Any]) -> None:
    """Retrieve the exception, so that asyncio logs none for a future nobody awaits any more."""
    if not future.cancelled():
        future.exception()
