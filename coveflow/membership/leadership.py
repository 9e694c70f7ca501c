"""Membership and leader election: this node's lease, its watch on the inbox, and take-over.

A node is a member while its member key exists in the state service; the key is attached to a lease
that the node renews. The view key names the leader and its epoch. A node becomes leader by writing
the view with a higher epoch, guarded by the revision of the view it knows and, unless the old
leader handed over, by the absence of that leader's member key.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

from coveflow import constants as c
from coveflow.core.failure_detector import LeaveBackoff
from coveflow.logs import Log
from coveflow.membership.owner_interface import OwnerInterface, Row
from coveflow.net.http import Unavailable, UnknownOutcome
from coveflow.settings import Settings
from coveflow.state import keys as sk
from coveflow.state.store import Conflict, LeaseExpired, RevisionCompacted, Store

log = Log("coveflow.membership")


class Membership:
    def __init__(
        self,
        settings: Settings,
        store: Store,
        owner: OwnerInterface,
        clock: Callable[[], float],
        is_isolated: Callable[[], bool],
        succession: Callable[[], list[str]],
        is_slow: Callable[[], bool],
        is_reachable: Callable[[str], bool],
        wall: Callable[[], float],
        boot: str,
    ) -> None:
        self.settings, self.store, self.owner, self.clock = settings, store, owner, clock
        self.is_reachable = is_reachable  # whether the named peer is reachable from this node
        self.wall, self.boot = wall, boot  # wall clock; id of this process
        self.is_isolated = is_isolated  # whether this node alone lost its connections
        self.succession = succession  # members in the order in which they should try to lead
        self.is_slow = is_slow  # whether this node lags behind and another does not
        self.leaving = LeaveBackoff()
        self.leaderless_since: float | None = None  # since when no member leads
        self.synced_at = -1e9  # every change committed before this time is known here
        self.on_store_contact: Callable[[float], None] = lambda sent: None
        self.retake = False
        self.unanswered_watches = 0  # consecutive
        self.lease: int | None = None
        self.joined_at = math.inf  # when the member key was last attached to this node's lease

    # --- the lease ---------------------------------------------------------------------

    async def run_lease(self) -> None:
        """Keep this node's member key alive, and hand over leadership while it cannot serve."""
        key = sk.MEMBER + self.settings.name
        while True:
            try:
                if self.lease is None:
                    await self._join(key)
                elif self._removed_from_members():
                    log.warning("no longer a member, though its lease lives")
                    self.lease = None
                    continue
                else:
                    await self.store.renew(self.lease)
                await self._step_down_if_unfit()
            except LeaseExpired:
                self.lease = None
                continue
            except (Unavailable, ValueError, Conflict) as error:
                log.debug("lease failed", why=error)
                await asyncio.sleep(c.RETRY_S)
                continue
            await asyncio.sleep(c.MEMBER_LEASE_RENEW_S)

    async def _step_down_if_unfit(self) -> None:
        """Hand over leadership when another node is likely to serve better."""
        out = self.leaving.update(self.clock(), self.is_isolated())
        why = ""
        if self.owner.leading and out:
            # The node reaches the state service but neither workers nor peers.
            why = "cut off from workers and peers"
        elif self.owner.leading and self.is_slow():
            why = "late with everything"
        if not why:
            return
        try:
            async with asyncio.timeout(c.MEMBER_LEASE_S / 2):  # the lease is not renewed meanwhile
                await self._hand_over(why)
        except TimeoutError as error:
            raise UnknownOutcome("no response to the commit of the new view") from error

    async def _join(self, key: str) -> None:
        """Attach this node's member key to a new lease.

        The write is guarded by the key's revision. Otherwise a delayed write of an earlier process
        of this node could attach the key to that process's lease; the key would vanish when that
        lease expires, while this process keeps renewing its own. The value contains the lease id,
        so that such a delayed write is not mistaken for this node's own when a response is lost.
        """
        _, rev = await self.store.get(key)
        lease = await self.store.new_lease(c.MEMBER_LEASE_S)
        value = {"zone": self.settings.zone, "lease": lease}
        deadline = self.clock() + c.MEMBER_LEASE_S
        await self.store.commit_with_retry({key: rev}, {key: value}, deadline, lease=lease)
        self.lease, self.joined_at = lease, self.clock()

    def _removed_from_members(self) -> bool:
        """Whether a state read after this node joined does not list it as a member."""
        return self.synced_at > self.joined_at and self.settings.name not in self.owner.members

    async def _hand_over(self, why: str) -> bool:
        """Write a view that names another member as leader; returns False if none is eligible.

        The named node raises the epoch itself when it sees the view; if its lease expires first,
        any live member does. The write is guarded by the view under which this node leads, so a
        stale hand-over has no effect. Nodes that handed over recently are not eligible: two
        unhealthy nodes would otherwise pass leadership back and forth.
        """
        owner, me = self.owner, self.settings.name
        view = owner.view
        passed = [*(view.passed if self._is_recent(view) else []), me]
        successor = next((name for name in self.succession() if name not in passed), None)
        if successor is None:
            return False
        new = sk.View(view.epoch + 1, successor, view.members, 0, passed, at=self.wall())
        log.warning("handing over", to=successor, why=why)
        value = sk.encode_view(new)
        deadline = self.clock() + c.VIEW_WRITE_TIMEOUT_S
        rev = await self.store.commit_with_retry({sk.VIEW: view.rev}, {sk.VIEW: value}, deadline)
        await self._apply_rows([(sk.VIEW, value, rev)], None)
        return True

    def _is_recent(self, view: sk.View) -> bool:
        return self.wall() - view.at < c.SUSPICION_FORGET_S

    # --- the inbox ---------------------------------------------------------------------

    async def run_inbox(self) -> None:
        after: int | None = None
        pause = c.RETRY_S
        while True:
            try:
                if after is None:
                    after = await self._list()
                if self._should_take_over():
                    restarts = self._restarts_repeatedly()
                    if not (restarts and await self._hand_over("ended again and again")):
                        after = await self._take_over()
                opened = self.clock()
                # A node that has not joined yet polls at short intervals: the event of its joining
                # may arrive before the response to that write, and with a long watch its take-over
                # would wait until the watch ends.
                poll_soon = self.leaderless_since is not None or self.lease is None
                watch_s = c.WATCH_MIN_INTERVAL_S if poll_soon else c.WATCH_WAIT_S
                after, events, sent = await self._watch(after, watch_s)
                await self._apply_rows(events, None)
                self._record_contact(sent)
                pause = c.RETRY_S
                # Pacing batches bursts of changes into one response and saves the request budget.
                pace_s = self.store.pace_s(c.WATCH_MIN_INTERVAL_S, c.WATCH_REQUEST_SHARE)
                await asyncio.sleep(max(0.0, pace_s - (self.clock() - opened)))
            except RevisionCompacted:
                after = None
            except (Unavailable, Conflict) as error:
                log.debug("inbox failed", why=error)
                after = self._revision_to_resume(after, error)
                await asyncio.sleep(pause)
                pause = min(pause * 2, c.RETRY_MAX_S)

    def _revision_to_resume(self, after: int | None, error: Exception) -> int | None:
        """The revision to watch from after this failure; None if all must be read again.

        A conflict shows that the known view is stale. Without reading again, a node whose
        hand-over was applied but got no response would repeat it for ever and never reach the
        watch that reports the new view.
        """
        return None if isinstance(error, Conflict) else after

    async def _watch(self, after: int, watch_s: float) -> tuple[int, list[Row], float]:
        """Watch the inbox; raises RevisionCompacted to force a full read if only watches fail.

        Otherwise a leader whose watches get no response, while its other requests do, would keep
        leadership and never learn of the jobs and cancellations that other nodes wrote.
        """
        opened = self.clock()
        try:
            answer = await self.store.watch(sk.INBOX, after, watch_s)
        except UnknownOutcome as error:
            self.unanswered_watches += 1
            if self.unanswered_watches >= c.WATCH_MAX_UNANSWERED and self.store.contact_at > opened:
                log.debug("inbox watch gets no response; reading the inbox", why=error)
                raise RevisionCompacted from error
            raise
        self.unanswered_watches = 0
        return answer

    async def _list(self) -> int:
        sent = self.clock()
        rows, rev = await self.store.list(sk.INBOX)
        await self._apply_rows(rows, rev)
        self._record_contact(sent)
        return rev

    def _record_contact(self, sent: float) -> None:
        self.synced_at = max(self.synced_at, sent)
        self.on_store_contact(sent)

    async def _apply_rows(self, rows: list[Row], listed: int | None) -> None:
        if rows or listed is not None:
            await self.owner.apply_inbox_rows(rows, listed)

    # --- leadership --------------------------------------------------------------------

    def _should_take_over(self) -> bool:
        owner, me = self.owner, self.settings.name
        if me not in owner.members or self.lease is None or not owner.may_take_over(self.clock()):
            return False
        if owner.leading and not self.retake:
            return False
        leader = owner.view.leader
        if leader == me:
            return not self._restarts_repeatedly() or self._successor_wait_is_over()
        if leader in owner.members:
            self.leaderless_since = None
            return False
        # Members try in the order of succession. Without it the first node to notice would lead,
        # regardless of how many workers and peers it reaches.
        if self.leaderless_since is None:
            self.leaderless_since = self.clock()
        order = self.succession()
        wait = c.SUCCESSION_STEP_S * (order.index(me) if me in order else len(order))
        if self.leaving.out:
            wait += c.SUCCESSION_ISOLATED_DELAY_S  # this node is, or was until recently, isolated
        return self.clock() - self.leaderless_since >= wait

    def _restart_count(self) -> int:
        """Consecutive restarts of this node as leader, including the one of this process."""
        view = self.owner.view
        if view.leader != self.settings.name or view.boot in ("", self.boot):
            return 0
        return 1 + (view.returns if self._is_recent(view) else 0)

    def _restarts_repeatedly(self) -> bool:
        """Whether this node restarted too often as leader and should hand over.

        Every restart costs the cluster the time to read the records again.
        """
        return self._restart_count() > c.LEADER_MAX_RESUMPTIONS

    def _successor_wait_is_over(self) -> bool:
        """Whether a successor is reachable, or the time to wait for one has passed."""
        if self.leaderless_since is None:
            self.leaderless_since = self.clock()
        others = [name for name in self.succession() if name != self.settings.name]
        if not others or any(map(self.is_reachable, others)):
            return True
        return self.clock() - self.leaderless_since >= c.SUCCESSOR_WAIT_S

    async def _take_over(self) -> int:
        """Raise the epoch with this node as leader, then load the records; returns the revision."""
        self.store.set_leading(True)
        try:
            return await self._claim_and_load()
        finally:
            # If the take-over failed, the leader's share of the budgets is given up again: two
            # nodes with that share would exceed the limits of the state service.
            self.store.set_leading(bool(self.owner.leading))

    async def _claim_and_load(self) -> int:
        owner = self.owner
        guards, value = self._claimed_view()
        try:
            rev = await self.store.commit_with_retry(
                guards, {sk.VIEW: value}, self.clock() + c.VIEW_WRITE_TIMEOUT_S
            )
        except (Conflict, Unavailable):
            await asyncio.sleep(c.WATCH_MIN_INTERVAL_S)
            return await self._list()
        self.retake, self.leaderless_since = False, None
        epoch = value["epoch"]
        log.info("taking over", epoch=epoch)
        await self._apply_rows([(sk.VIEW, value, rev)], None)
        # From here on, commits of an older leader fail on the view guard, so the records read
        # now change only by what users add.
        after = await self._list()
        rows, _ = await self.store.list(sk.LEADER_STATE)
        owner.lead(epoch, rev, rows)
        await self._apply_rows([(sk.VIEW, value, rev)], None)
        return after

    def _claimed_view(self) -> tuple[dict[str, int], dict[str, Any]]:
        """The guards and the value of the view with this node as leader."""
        old, me = self.owner.view, self.settings.name
        guards = {sk.VIEW: old.rev}
        if old.leader and old.leader != me:
            guards[sk.MEMBER + old.leader] = 0
        view = sk.View(
            epoch=old.epoch + 1, leader=me, members=sorted(self.owner.members),
            passed=old.passed if old.leader == me else [], boot=self.boot, at=self.wall(),
            returns=self._restart_count(),
        )  # fmt: skip
        return guards, sk.encode_view(view)
