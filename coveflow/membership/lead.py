"""This node's place in the view: its hold, the inbox watch, and taking over leadership."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from coveflow import constants as c
from coveflow.logs import Log
from coveflow.membership.seat import Row, Seat
from coveflow.net.http import Unavailable
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
    ) -> None:
        self.settings, self.store, self.seat, self.clock = settings, store, seat, clock
        self.isolated = isolated
        self.known_at = -1e9  # every cancellation committed before this is known here
        self.on_contact: Callable[[], None] = lambda: None
        self.retake = False
        self.grant: int | None = None

    # --- the hold ----------------------------------------------------------------------

    async def run_hold(self) -> None:
        """Keep this node's member key alive while it can serve."""
        key = sk.MEMBER + self.settings.name
        while True:
            try:
                if self.isolated():
                    # It reaches the store but neither workers nor peers: others must lead.
                    await self._resign(key)
                elif self.grant is None:
                    grant = await self.store.new_hold(c.HOLD_LIFE_S)
                    await self.store.commit({}, {key: {"zone": self.settings.zone}}, grant)
                    self.grant = grant
                else:
                    await self.store.renew(self.grant)
            except Expired:
                self.grant = None
                continue
            except (Unavailable, ValueError, Conflict) as error:
                log.debug("hold failed", why=error)
                await asyncio.sleep(c.RETRY_S)
                continue
            await asyncio.sleep(c.HOLD_RENEW_S)

    async def _resign(self, key: str) -> None:
        if self.grant is None:
            return
        log.warning("leaving the view", why="cut off from workers and peers")
        await self.store.commit({}, {key: None})
        self.grant = None

    # --- the inbox ---------------------------------------------------------------------

    async def run_inbox(self) -> None:
        after: int | None = None
        pause = c.RETRY_S
        while True:
            try:
                if after is None:
                    after = await self._list()
                if self._may_lead():
                    after = await self._take_over()
                opened = self.clock()
                after, events, sent = await self.store.watch(sk.INBOX, after, c.WATCH_HOLD_S)
                await self._tell(events, None)
                self._contact(sent)
                pause = c.RETRY_S
                # Bursts of changes share an answer, and the request budget lasts.
                await asyncio.sleep(max(0.0, c.WATCH_PACE_S - (self.clock() - opened)))
            except TooOld:
                after = None
            except (Unavailable, Conflict) as error:
                log.debug("inbox failed", why=error)
                await asyncio.sleep(pause)
                pause = min(pause * 2, c.RETRY_MAX_S)

    async def _list(self) -> int:
        sent = self.clock()
        rows, rev = await self.store.list(sk.INBOX)
        await self._tell(rows, rev)
        self._contact(sent)
        return rev

    def _contact(self, sent: float) -> None:
        self.known_at = max(self.known_at, sent)
        self.on_contact()

    async def _tell(self, rows: list[Row], listed: int | None) -> None:
        if rows or listed is not None:
            await self.seat.tell(rows, listed)

    # --- leadership --------------------------------------------------------------------

    def _may_lead(self) -> bool:
        seat, me = self.seat, self.settings.name
        if me not in seat.members or self.grant is None or not seat.may_try(self.clock()):
            return False
        if seat.leading and not self.retake:
            return False
        leader = seat.view.leader
        return leader == me or leader not in seat.members

    async def _take_over(self) -> int:
        """Raise the epoch with this node as leader, then load all from the store."""
        seat, me = self.seat, self.settings.name
        old = seat.view
        guards = {sk.VIEW: old.rev}
        if old.leader and old.leader != me:
            guards[sk.MEMBER + old.leader] = 0
        epoch = old.epoch + 1
        value = {"epoch": epoch, "leader": me, "members": sorted(seat.members)}
        self.store.set_leading(True)
        try:
            rev = await self.store.sure_commit(guards, {sk.VIEW: value}, self.clock() + 3.0)
        except (Conflict, Unavailable):
            self.store.set_leading(bool(seat.leading))
            await asyncio.sleep(c.WATCH_PACE_S)
            return await self._list()
        self.retake = False
        log.info("taking over", epoch=epoch)
        await self._tell([(sk.VIEW, value, rev)], None)
        # Whatever an older leader had under way fails on the view from here on, so what is
        # read now is final but for what users add.
        after = await self._list()
        rows, _ = await self.store.list(sk.STATE)
        seat.lead(epoch, rev, rows)
        await self._tell([(sk.VIEW, value, rev)], None)
        return after
