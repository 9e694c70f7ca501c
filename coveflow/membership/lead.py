"""This node's place in the view: its lease, the inbox watch, and taking over leadership."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

from coveflow import constants as c
from coveflow.core.failure_detector import LeaveBackoff
from coveflow.logs import Log
from coveflow.membership.seat import Row, Seat
from coveflow.net.http import Unavailable, Unsure
from coveflow.settings import Settings
from coveflow.state import keys as sk
from coveflow.state.store import Conflict, Expired, Store, TooOld

log = Log("coveflow.membership")


class Membership:
    def __init__(
        self,
        settings: Settings,
        store: Store,
        seat: Seat,
        clock: Callable[[], float],
        isolated: Callable[[], bool],
        order: Callable[[], list[str]],
        slow: Callable[[], bool],
        heard: Callable[[str], bool],
        wall: Callable[[], float],
        boot: str,
    ) -> None:
        self.settings, self.store, self.seat, self.clock = settings, store, seat, clock
        self.heard = heard  # whether that node is heard here
        self.wall, self.boot = wall, boot  # time of day; this process, as peers know it
        self.isolated = isolated  # its ways are cut, while others could do better
        self.order = order  # members in the order in which they should try to lead
        self.slow = slow  # it is late with everything, and another is not
        self.leaving = LeaveBackoff()
        self.absent_since: float | None = None  # since when no member leads
        self.known_at = -1e9  # every cancellation committed before this is known here
        self.on_contact: Callable[[float], None] = lambda sent: None
        self.retake = False
        self.unanswered = 0  # watches in a row
        self.lease: int | None = None
        self.joined_at = math.inf  # when its member key was last hung on its own lease

    # --- the lease ---------------------------------------------------------------------

    async def run_lease(self) -> None:
        """Keep this node's member key alive while it can serve."""
        key = sk.MEMBER + self.settings.name
        while True:
            try:
                if self.lease is None:
                    await self._join(key)
                elif self._left():
                    log.warning("no longer a member, though its lease lives")
                    self.lease = None
                    continue
                else:
                    await self.store.renew(self.lease)
                await self._leave_the_lead_if_unfit()
            except Expired:
                self.lease = None
                continue
            except (Unavailable, ValueError, Conflict) as error:
                log.debug("lease failed", why=error)
                await asyncio.sleep(c.RETRY_S)
                continue
            await asyncio.sleep(c.HOLD_RENEW_S)

    async def _leave_the_lead_if_unfit(self) -> None:
        """Hand the lead over where another node could do better."""
        out = self.leaving.update(self.clock(), self.isolated())
        why = ""
        if self.seat.leading and out:
            # It reaches the store but neither workers nor peers: others must lead.
            why = "cut off from workers and peers"
        elif self.seat.leading and self.slow():
            why = "late with everything"
        if not why:
            return
        try:
            async with asyncio.timeout(c.HOLD_LIFE_S / 2):  # its lease is not renewed meanwhile
                await self._hand_over(why)
        except TimeoutError as error:
            raise Unsure("the new view got no answer") from error

    async def _join(self, key: str) -> None:
        """Hang this node's member key on a new lease.

        Guarded by the key's revision: a copy that an earlier process of this name sent, and that
        the store applies late, would hang it back on that process's lease, and the node would
        leave the members when that one ends, with its own lease alive for ever. The value names
        the lease, so that such a copy is not taken for this node's own where an answer is lost.
        """
        _, rev = await self.store.get(key)
        lease = await self.store.new_lease(c.HOLD_LIFE_S)
        value = {"zone": self.settings.zone, "lease": lease}
        deadline = self.clock() + c.HOLD_LIFE_S
        await self.store.sure_commit({key: rev}, {key: value}, deadline, lease=lease)
        self.lease, self.joined_at = lease, self.clock()

    def _left(self) -> bool:
        """Whether the store's word, newer than this node's joining, has it among no members."""
        return self.known_at > self.joined_at and self.settings.name not in self.seat.members

    async def _hand_over(self, why: str) -> bool:
        """Name the next leader, of this node's own accord, if there is one to name.

        The named one raises the epoch itself when it is told, and whoever is alive does if its
        hold ends first. The guard is the view this node led by, so an old word changes nothing.
        Nodes that handed on lately are not named: two in trouble would toss the lead to and fro.
        """
        seat, me = self.seat, self.settings.name
        view = seat.view
        passed = [*(view.passed if self._lately(view) else []), me]
        heir = next((name for name in self.order() if name not in passed), None)
        if heir is None:
            return False
        new = sk.View(view.epoch + 1, heir, view.members, 0, passed, at=self.wall())
        log.warning("handing over", to=heir, why=why)
        value = sk.view_value(new)
        deadline = self.clock() + c.VIEW_WRITE_S
        rev = await self.store.sure_commit({sk.VIEW: view.rev}, {sk.VIEW: value}, deadline)
        await self._tell([(sk.VIEW, value, rev)], None)
        return True

    def _lately(self, view: sk.View) -> bool:
        return self.wall() - view.at < c.DOUBT_FADE_S

    # --- the inbox ---------------------------------------------------------------------

    async def run_inbox(self) -> None:
        after: int | None = None
        pause = c.RETRY_S
        while True:
            try:
                if after is None:
                    after = await self._list()
                if self._may_lead():
                    again = self._keeps_ending()
                    if not (again and await self._hand_over("ended again and again")):
                        after = await self._take_over()
                opened = self.clock()
                # One that has yet to join looks again soon: the word of its joining may come
                # before the answer to it, and the lead waited for the end of that watch.
                soon = self.absent_since is not None or self.lease is None
                hold = c.WATCH_PACE_S if soon else c.WATCH_HOLD_S
                after, events, sent = await self._watch(after, hold)
                await self._tell(events, None)
                self._contact(sent)
                pause = c.RETRY_S
                # Bursts of changes share an answer, and the request budget lasts.
                pace_s = self.store.pace_s(c.WATCH_PACE_S, c.WATCH_PART)
                await asyncio.sleep(max(0.0, pace_s - (self.clock() - opened)))
            except TooOld:
                after = None
            except (Unavailable, Conflict) as error:
                log.debug("inbox failed", why=error)
                after = self._known_up_to(after, error)
                await asyncio.sleep(pause)
                pause = min(pause * 2, c.RETRY_MAX_S)

    def _known_up_to(self, after: int | None, error: Exception) -> int | None:
        """The revision to watch from after this failure; None: all must be read again.

        A conflict shows that the view is not as it is known here. A node whose own hand-over had
        got no answer tried that again and again, and never came to the watch that tells of it.
        """
        return None if isinstance(error, Conflict) else after

    async def _watch(self, after: int, hold_s: float) -> tuple[int, list[Row], float]:
        """Raises TooOld where watches get no answer while other requests do: read instead.

        A leader whose watches alone got none kept the lead, and never heard of the jobs and the
        cancellations that other nodes wrote.
        """
        opened = self.clock()
        try:
            answer = await self.store.watch(sk.INBOX, after, hold_s)
        except Unsure as error:
            self.unanswered += 1
            if self.unanswered >= c.WATCH_UNANSWERED and self.store.contact > opened:
                log.debug("inbox read, as its watch gets no answer", why=error)
                raise TooOld from error
            raise
        self.unanswered = 0
        return answer

    async def _list(self) -> int:
        sent = self.clock()
        rows, rev = await self.store.list(sk.INBOX)
        await self._tell(rows, rev)
        self._contact(sent)
        return rev

    def _contact(self, sent: float) -> None:
        self.known_at = max(self.known_at, sent)
        self.on_contact(sent)

    async def _tell(self, rows: list[Row], listed: int | None) -> None:
        if rows or listed is not None:
            await self.seat.tell(rows, listed)

    # --- leadership --------------------------------------------------------------------

    def _may_lead(self) -> bool:
        seat, me = self.seat, self.settings.name
        if me not in seat.members or self.lease is None or not seat.may_try(self.clock()):
            return False
        if seat.leading and not self.retake:
            return False
        leader = seat.view.leader
        if leader == me:
            return not self._keeps_ending() or self._waited_for_an_heir()
        if leader in seat.members:
            self.absent_since = None
            return False
        # Those before it in line go first; who wakes first once led, whatever it could hear.
        if self.absent_since is None:
            self.absent_since = self.clock()
        order = self.order()
        wait = c.TURN_S * (order.index(me) if me in order else len(order))
        if self.leaving.out:
            wait += c.TURN_LATE_S  # its own ways are, or were just now, cut
        return self.clock() - self.absent_since >= wait

    def _returned(self) -> int:
        """Times in a row that a process of this name ended as leader and was back, this one too."""
        view = self.seat.view
        if view.leader != self.settings.name or view.boot in ("", self.boot):
            return 0
        return 1 + (view.returns if self._lately(view) else 0)

    def _keeps_ending(self) -> bool:
        """Each return costs all the time to read the records; another node may last longer."""
        return self._returned() > c.RETURNS_MOST

    def _waited_for_an_heir(self) -> bool:
        """There is a member to hand over to that is heard here, or none within the time for it."""
        if self.absent_since is None:
            self.absent_since = self.clock()
        others = [name for name in self.order() if name != self.settings.name]
        if not others or any(map(self.heard, others)):
            return True
        return self.clock() - self.absent_since >= c.HEIR_WAIT_S

    async def _take_over(self) -> int:
        """Raise the epoch with this node as leader, then load all from the store."""
        self.store.set_leading(True)
        try:
            return await self._raise_and_read()
        finally:
            # Whatever kept it from leading: with a leader's part of the budgets, two nodes would
            # ask more of the store than it grants.
            self.store.set_leading(bool(self.seat.leading))

    async def _raise_and_read(self) -> int:
        seat = self.seat
        guards, value = self._claim()
        try:
            rev = await self.store.sure_commit(
                guards, {sk.VIEW: value}, self.clock() + c.VIEW_WRITE_S
            )
        except (Conflict, Unavailable):
            await asyncio.sleep(c.WATCH_PACE_S)
            return await self._list()
        self.retake, self.absent_since = False, None
        epoch = value["epoch"]
        log.info("taking over", epoch=epoch)
        await self._tell([(sk.VIEW, value, rev)], None)
        # Whatever an older leader had under way fails on the view from here on, so what is
        # read now is final but for what users add.
        after = await self._list()
        rows, _ = await self.store.list(sk.STATE)
        seat.lead(epoch, rev, rows)
        await self._tell([(sk.VIEW, value, rev)], None)
        return after

    def _claim(self) -> tuple[dict[str, int], dict[str, Any]]:
        """The view with this node as leader, and what has to hold for that to be written."""
        old, me = self.seat.view, self.settings.name
        guards = {sk.VIEW: old.rev}
        if old.leader and old.leader != me:
            guards[sk.MEMBER + old.leader] = 0
        view = sk.View(
            epoch=old.epoch + 1, leader=me, members=sorted(self.seat.members),
            passed=old.passed if old.leader == me else [], boot=self.boot, at=self.wall(),
            returns=self._returned(),
        )  # fmt: skip
        return guards, sk.view_value(view)
