"""The leader's records as a ring of slots: what a transaction changed shares one key, or a few.

One key per machine and job cost a put for every start and end, which the state service's budget
could not pay for a large fleet. Here every transaction writes the items it changed, whole, into
the slot that was written longest ago. Items whose newest copy lies in that slot are carried over
into the new content, so nothing is lost by overwriting it, and no key needs to be removed. A
reader takes each item from the newest slot that has it.

Slots are overwritten strictly in the order they were written. A removed item leaves a mark that
hides older copies; by the time the mark itself is overwritten there are none left.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import msgspec

from coveflow import constants as c

_json = msgspec.json.Encoder()


def size_of(item: str, value: Any) -> int:
    """Bytes in the form in which the state service counts its limits."""
    return len(_json.encode(value)) + len(item) + 6


class Unreadable(ValueError):
    """The slots do not add up to a state; nobody may lead from a part of it."""


class Slot(msgspec.Struct, eq=False):
    number: int
    seq: int  # of the transaction that wrote it
    rev: int
    live: set[str] = set()  # items whose newest copy is here


class Content(msgspec.Struct, eq=False):
    """What one slot will hold."""

    number: int
    rev: int
    items: dict[str, Any] = {}
    size: int = 0


class Draft:
    """The changes of one transaction, laid out in slots. Nothing counts before it is settled."""

    def __init__(self, records: Records, most_slots: int, most_bytes: int) -> None:
        self.records = records
        self.most_slots, self.left = most_slots, most_bytes
        self.contents: list[Content] = []
        self.home: dict[str, Content] = {}
        self.sizes: dict[str, int] = {}
        self.victims = iter(records.slots.values())
        self.fresh = 0

    def add(self, item: str, value: Any) -> bool:
        """Write the item (None: remove it); False when the transaction is full."""
        records = self.records
        if value is None and item not in records.values and item not in self.home:
            return True  # no copy is left that a mark would have to hide
        size = size_of(item, value)
        known = self.home.get(item)
        if known is None or not self._grown_fits(known, size - self.sizes[item]):
            room = self._room(size)
            if room is None:
                # A copy that was carried over stays as it is: dropping it would lose the item.
                return False
            known = room
        if item in self.home:
            self._drop(item)
        self._put(known, item, value, size)
        return True

    def _grown_fits(self, content: Content, growth: int) -> bool:
        return growth <= self.left and content.size + growth <= self.records.slot_bytes

    def _room(self, size: int) -> Content | None:
        while not self.contents or self.contents[-1].size + size > self.records.slot_bytes:
            if size > self.left or not self._open():
                return None
            if not self.contents[-1].items:
                break
        return self.contents[-1] if size <= self.left else None

    def _drop(self, item: str) -> None:
        content = self.home.pop(item)
        del content.items[item]
        size = self.sizes.pop(item)
        content.size -= size
        self.left += size

    def _open(self) -> bool:
        """Start the next slot: the one written longest ago, or a new one while few are free."""
        records = self.records
        if len(self.contents) >= self.most_slots:
            return False
        if records.grows(self.fresh):
            number = len(records.slots) + self.fresh
            self.fresh += 1
            self.contents.append(Content(number, 0))
            return True
        victim = next(self.victims, None)
        if victim is None:
            return False
        carried = [item for item in victim.live if item not in self.home]
        need = sum(records.sizes[item] for item in carried)
        if need > self.left:
            return False
        content = Content(victim.number, victim.rev)
        self.contents.append(content)
        for item in carried:
            self._put(content, item, records.values[item], records.sizes[item])
        return True

    def _put(self, content: Content, item: str, value: Any, size: int) -> None:
        content.items[item] = value
        content.size += size
        self.left -= size
        self.home[item] = content
        self.sizes[item] = size

    def rows(self) -> list[tuple[str, int, dict[str, Any]]]:
        """Key, revision to guard and value of each slot to write."""
        seq = self.records.seq + 1
        return [
            (
                f"{self.records.prefix}{content.number}",
                content.rev,
                {
                    "layout": c.LAYOUT,
                    "seq": seq,
                    "slots": len(self.contents),
                    "items": content.items,
                },
            )
            for content in self.contents
        ]


class Records:
    def __init__(self, prefix: str, slot_bytes: int) -> None:
        self.prefix, self.slot_bytes = prefix, slot_bytes
        self.seq = 0
        self.slots: OrderedDict[int, Slot] = OrderedDict()  # the one written longest ago first
        self.values: dict[str, Any] = {}
        self.sizes: dict[str, int] = {}
        self.where: dict[str, Slot] = {}
        self.bytes = 0

    def __contains__(self, item: str) -> bool:
        return item in self.values

    def grows(self, fresh: int) -> bool:
        """Whether there are too few slots for overwriting the oldest to free much."""
        count = len(self.slots) + fresh
        return count < c.SLOTS_MIN or count * self.slot_bytes < c.SLOTS_SPARE * self.bytes

    def load(self, rows: list[tuple[str, Any, int]]) -> None:
        """Read all slots; Unreadable when they are not the end of one unbroken history."""
        parts: dict[int, int] = {}
        for key, value, _ in rows:
            if not key.startswith(self.prefix) or value.get("layout") != c.LAYOUT:
                raise Unreadable(f"{key} is of another layout than {c.LAYOUT}")
            parts[value["seq"]] = parts.get(value["seq"], 0) + 1
        ordered = sorted(rows, key=lambda row: row[1]["seq"])
        if ordered:
            first, last = ordered[0][1]["seq"], ordered[-1][1]["seq"]
            whole = {value["seq"]: value["slots"] for _, value, _ in ordered}
            for seq in range(first, last + 1):
                # Only the oldest transaction may have lost some of its slots to newer ones.
                if seq not in parts or (seq > first and parts[seq] != whole[seq]):
                    raise Unreadable(f"transaction {seq} of {first} to {last} is incomplete")
            self.seq = last
        for key, value, rev in ordered:
            slot = Slot(int(key[len(self.prefix) :]), value["seq"], rev)
            self.slots[slot.number] = slot
            for item, state in value["items"].items():
                self._set(item, state, slot, size_of(item, state))
        if sorted(self.slots) != list(range(len(self.slots))):
            raise Unreadable("a slot is missing")

    def draft(self, most_slots: int, most_bytes: int) -> Draft:
        return Draft(self, most_slots, most_bytes)

    def settled(self, draft: Draft, rev: int) -> None:
        """The draft was committed under this revision."""
        if not draft.contents:
            return
        self.seq += 1
        for content in draft.contents:
            slot = self.slots.pop(content.number, None) or Slot(content.number, 0, 0)
            slot.seq, slot.rev = self.seq, rev
            self.slots[slot.number] = slot
        for content in draft.contents:
            slot = self.slots[content.number]
            for item, value in content.items.items():
                self._set(item, value, slot, draft.sizes[item])

    def _set(self, item: str, value: Any, slot: Slot, size: int) -> None:
        old = self.where.pop(item, None)
        if old is not None:
            old.live.discard(item)
            self.bytes -= self.sizes.pop(item)
            del self.values[item]
        if value is None:
            return
        self.where[item] = slot
        slot.live.add(item)
        self.values[item], self.sizes[item] = value, size
        self.bytes += size
