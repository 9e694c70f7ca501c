"""Client of the state service, limited to this node's share of the cluster's request budgets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, TypeVar

import aiohttp

from coveflow import constants as c
from coveflow import wire
from coveflow.net.http import Client, TokenBucket, Unavailable, UnknownOutcome
from coveflow.net.meters import Meters
from coveflow.settings import State
from coveflow.state.hedged import HedgedCommit
from coveflow.state.transactions import (
    AppliedCheck,
    Conflict,
    LeaseExpired,
    Outcome,
    Refused,
    Transaction,
)

__all__ = ["Conflict", "LeaseExpired", "Refused", "RevisionCompacted", "Store"]


T = TypeVar("T")


class RevisionCompacted(Exception):
    """The requested changes are no longer retained; the keys must be read again."""


def _decode(reader: Callable[[bytes], T], body: bytes) -> T:
    """Decode a response; if it is malformed, the request may still have been executed."""
    try:
        return reader(body)
    except wire.Malformed as error:
        raise UnknownOutcome(f"state service: {error}") from error


class Store:
    def __init__(
        self,
        session: aiohttp.ClientSession,
        address: str,
        limits: State,
        nodes: int,
        clock: Callable[[], float],
        meters: Meters | None = None,
    ) -> None:
        self.meters = meters or Meters()
        self.client = Client(session, address)
        self.limits, self.nodes, self.clock = limits, nodes, clock
        self.requests = TokenBucket(1.0, clock)
        self.changes = TokenBucket(1.0, clock)
        self.hedge_budget = TokenBucket(1.0, clock)  # writes in hedged copies of commits
        self.write_rps = limits.write_rps  # changes a second of all nodes
        self.refused_at = -1e9
        self.contact_at = -1e9  # send time of the newest request that was answered
        self.set_leading(False)

    def set_leading(self, leading: bool) -> None:
        """Set this node's share of the budgets; the leader writes most and gets most of them."""
        others = max(1, self.nodes - 1)
        share = c.LEADER_SHARE if leading else (1.0 - c.LEADER_SHARE) / others
        if self.nodes == 1:
            share = 1.0
        self.share = share
        self.requests.set_rate(self.limits.rps * share)
        self._set_write_rate()

    def _set_write_rate(self) -> None:
        self.changes.set_rate(self.write_rps * self.share)
        self.hedge_budget.set_rate(self.write_rps * self.share * c.COMMIT_HEDGE_SHARE)

    def _follow_next_rate(self) -> None:
        """After a refusal for the rate: the next limit, if there is one, may be in force."""
        lower = self.limits.next.write_rps
        if lower is not None and lower < self.write_rps:
            self.write_rps = lower
            self._set_write_rate()

    def pace_s(self, least_s: float, part: float) -> float:
        """Seconds between two requests of a kind, at least `least_s`.

        Once more than half of the burst allowance is used up, the rate is also limited to `part`
        of this node's share.
        """
        ample = 2 * self.requests.refill() > self.requests.burst
        return least_s if ample else max(least_s, 1.0 / (part * self.requests.rate))

    async def call(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        query: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> tuple[int, bytes]:
        requested_at = self.clock()
        await self.requests.take()
        sent_at = self.clock()
        self.meters.record_duration("request paced", sent_at - requested_at)
        status, answer = await self.client.request(
            method,
            path,
            body=body,
            query=query,
            timeout_s=c.STORE_TIMEOUT_S if timeout_s is None else timeout_s,
        )
        if status == 429 or status >= 500:
            self.refused_at = self.clock()
            self.meters.add(f"store answered {status}")
            if status == 429:
                self._follow_next_rate()
            # Only these two statuses guarantee that nothing was executed.
            error_type = Unavailable if status in (429, 503) else UnknownOutcome
            raise error_type(f"state service: {status}")
        self.contact_at = max(self.contact_at, sent_at)
        return status, answer

    async def get(self, key: str) -> tuple[Any, int]:
        """Value and revision of the key; (None, 0) if it does not exist."""
        status, body = await self.call("GET", f"{wire.STORE_PATH}/{key}")
        if status == 404:
            return None, 0
        if status != 200:
            raise Unavailable(f"get {key}: {status}")
        return _decode(wire.read_item, body)

    async def list(self, prefix: str) -> tuple[list[tuple[str, Any, int]], int]:
        """All rows under the prefix, and the revision from which to watch for changes."""
        rows: list[tuple[str, Any, int]] = []
        first_rev: int | None = None
        after: str | None = None
        while True:
            page, more, rev = await self.page(prefix, after, c.STORE_PAGE)
            rows += page
            # Pages are read at different times. A watch from the revision of the first page
            # repeats some changes but misses none.
            first_rev = rev if first_rev is None else first_rev
            if not more or not page:
                return rows, first_rev
            after = page[-1][0]

    async def page(
        self, prefix: str, after: str | None, most: int
    ) -> tuple[list[tuple[str, Any, int]], bool, int]:
        """Rows under the prefix after a key, whether there are more, and the read's revision."""
        status, body = await self.call(
            "GET", wire.STORE_PATH, query=wire.store_query(prefix, after, most)
        )
        if status != 200:
            raise Unavailable(f"list {prefix}: {status}")
        return _decode(wire.read_rows, body)

    async def commit(
        self, guards: dict[str, int], writes: dict[str, Any], lease: int | None = None
    ) -> int:
        """Apply the writes if every guard holds; returns the new revision or raises Conflict.

        A transaction without writes is hedged: polls share such comparisons, so one lost response
        would make all of them wait for its timeout.
        """
        if not writes:
            return await self._commit_hedged(Transaction(guards, writes))
        await self._charge_writes(writes)
        return await self._send(guards, writes, lease)

    async def _charge_writes(self, writes: dict[str, Any]) -> None:
        if writes:
            requested_at = self.clock()
            await self.changes.take(len(writes))
            self.meters.record_duration("commit paced", self.clock() - requested_at)
            self.meters.add("puts and deletes", len(writes))

    async def _send(
        self, guards: dict[str, int], writes: dict[str, Any], lease: int | None = None
    ) -> int:
        status, body = await self.call(
            "POST", wire.COMMIT_PATH, body=wire.commit_body(guards, writes, lease)
        )
        if status == 200:
            return _decode(wire.read_commit, body)
        if status == 409:
            raise Conflict(_decode(wire.read_conflict, body))
        if status == 400 and lease is not None:
            raise LeaseExpired
        # The service rejects the same transaction every time: it must be changed or given up.
        raise Refused(f"commit: {status} {body[:200]!r}")

    async def commit_with_retry(
        self,
        guards: dict[str, int],
        writes: dict[str, Any],
        deadline: float | None = None,
        proof: str | None = None,
        lease: int | None = None,
    ) -> int:
        """Commit, and retry until the outcome is known.

        Every written key must be guarded by its revision. So the transaction applies at most once,
        a copy that arrives late fails, and it can be retried unchanged until it applies or a guard
        fails; an earlier copy of it may have caused that failure. After the deadline, Unavailable
        (certainly not applied) or UnknownOutcome is raised; LeaseExpired if the lease has expired;
        Refused if the service rejects what the transaction holds, as it does each time.
        """
        missing = [key for key in writes if key not in guards]
        if missing:
            raise ValueError(f"unguarded writes: {missing}")
        transaction = Transaction(guards, writes, proof, lease)
        may_be_applied = False
        pause = c.RETRY_S
        while True:
            try:
                return await self._commit_hedged(transaction)
            except (Conflict, Refused) as failure:
                if isinstance(failure, Conflict) and not may_be_applied:
                    raise
                # An earlier copy may have been applied, and be the cause of this conflict, or the
                # limits may have fallen after it.
                check = await self._check_applied(transaction, deadline)
                if check.outcome is not Outcome.APPLIED:
                    raise
                return check.revision
            except Unavailable as error:
                may_be_applied = may_be_applied or isinstance(error, UnknownOutcome)
                if deadline is not None and self.clock() + pause >= deadline:
                    raise UnknownOutcome(str(error)) if may_be_applied else error from None
            await asyncio.sleep(pause)
            pause = min(pause * 2, c.RETRY_MAX_S)

    async def _commit_hedged(self, transaction: Transaction) -> int:
        await self._charge_writes(transaction.writes)
        return await HedgedCommit(self, transaction).result()

    async def send_copy(self, transaction: Transaction) -> int:
        return await self._send(transaction.guards, transaction.writes, transaction.lease)

    async def charge_copy(self, transaction: Transaction) -> bool:
        """Charge one more copy to the budgets; False if they do not allow it at once."""
        # When requests queue locally, the service is not the cause of the delay, and a copy would
        # lengthen the queue.
        if self.requests.refill() < 1.0:
            return False
        if min(self.hedge_budget.refill(), self.changes.refill()) < transaction.cost:
            return False
        self.hedge_budget.level -= transaction.cost
        # Does not wait, since the budget was just checked.
        await self._charge_writes(transaction.writes)
        self.meters.add("commits sent twice")
        return True

    async def check_quickly(self, transaction: Transaction) -> AppliedCheck:
        """Check the rows if that takes few reads; UNKNOWN if the reads fail or are over budget."""
        if not transaction.writes:
            return AppliedCheck(Outcome.FAILED)  # nothing to apply: any copy's conflict is final
        if (
            len(transaction.keys_to_check) > c.COMMIT_HEDGE_MAX_READS
            or self.requests.refill() < 1.0
        ):
            return AppliedCheck(Outcome.UNKNOWN)
        try:
            return await self._check_applied(transaction, self.clock())
        except Unavailable:
            return AppliedCheck(Outcome.UNKNOWN)

    async def _check_applied(
        self, transaction: Transaction, deadline: float | None
    ) -> AppliedCheck:
        """Whether the stored rows were written by this transaction.

        A row that still has its guarded revision shows that the transaction was not applied.
        Without a proof key, all rows must match, since another writer may have written one equal
        row.
        """
        revision = 0
        for key in transaction.keys_to_check:
            found, rev = await self._get_with_retry(key, deadline)
            if 0 < rev <= transaction.guards[key]:
                return AppliedCheck(Outcome.FAILED)
            if found != transaction.writes[key]:
                return AppliedCheck(Outcome.UNKNOWN)
            revision = max(revision, rev)
        return AppliedCheck(Outcome.APPLIED, revision)

    async def _get_with_retry(self, key: str, deadline: float | None) -> tuple[Any, int]:
        """Value and revision, with retries; UnknownOutcome after the deadline."""
        while True:
            try:
                return await self.get(key)
            except Unavailable as error:
                if deadline is not None and self.clock() >= deadline:
                    raise UnknownOutcome(str(error)) from error
            await asyncio.sleep(c.RETRY_S)

    async def watch(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[int, list[tuple[str, Any, int]], float]:
        """The revision reached, the changes since `after`, and when this watch was sent."""
        await self.requests.take()
        sent_at = self.clock()
        status, body = await self.client.request(
            "GET",
            wire.CHANGES_PATH,
            query=wire.watch_query(prefix, after, int(wait_s * 1000)),
            timeout_s=wait_s + c.STORE_TIMEOUT_S,
        )
        if status == 410:
            raise RevisionCompacted
        if status != 200:
            self.refused_at = self.clock()
            raise Unavailable(f"watch: {status}")
        self.contact_at = max(self.contact_at, sent_at)
        rev, events = _decode(wire.read_events, body)
        return rev, events, sent_at

    async def new_lease(self, ttl_s: float) -> int:
        status, body = await self.call(
            "POST", wire.LEASES_PATH, body=wire.lease_body(int(ttl_s * 1000))
        )
        if status != 200:
            raise Unavailable(f"new lease: {status}")
        return _decode(wire.read_lease, body)

    async def renew(self, lease: int) -> None:
        status, _ = await self.call(
            "POST", f"{wire.LEASES_PATH}/{lease}/renew", timeout_s=c.MEMBER_LEASE_TIMEOUT_S
        )
        if status == 404:
            raise LeaseExpired
        if status != 200:
            raise Unavailable(f"renew: {status}")
