"""The leader's records, stored as a circular log of slots with one key each.

With one key per machine and job, every start and end would cost a put, which exceeds the write
budget of the state service for a large fleet. Here, a transaction writes the items that it changed,
in full, into the slot that was written longest ago, or into a few such slots. Items whose newest
copy is in an overwritten slot are copied into its new content, so overwriting loses nothing and no
key needs to be deleted. A reader takes each item from the newest slot that contains it.

Slots are overwritten strictly in the order in which they were written. Removing an item writes a
tombstone that hides older copies; by the time the tombstone itself is overwritten, no older copy
is left.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import Any

import msgspec

from coveflow import constants as c
from coveflow.state.keys import PAGE

LAYOUTS = (c.LAYOUT, c.LAYOUT_PAGES)  # that this build reads

_json = msgspec.json.Encoder()


def encoded_size(item: str, value: Any) -> int:
    """Size in bytes of an item in JSON, the encoding by which the state service applies limits."""
    return len(_json.encode(value)) + len(item) + 6


class CorruptRecords(ValueError):
    """The slots do not form a complete state; no node may lead from a part of it."""


class Slot(msgspec.Struct, eq=False):
    number: int
    seq: int  # sequence number of the transaction that wrote it
    rev: int
    live: set[str] = set()  # items whose newest copy is in this slot


class SlotContent(msgspec.Struct, eq=False):
    """The new content of one slot."""

    number: int
    rev: int
    items: dict[str, Any] = {}
    size: int = 0


class Draft:
    """The changes of one transaction, laid out in slots.

    A draft does not change `Records` until it is committed and passed to `mark_committed`.
    """

    def __init__(self, records: Records, most_slots: int, most_bytes: int) -> None:
        self.records = records
        self.most_slots, self.most_bytes, self.bytes_left = most_slots, most_bytes, most_bytes
        self.contents: list[SlotContent] = []
        self.content_of: dict[str, SlotContent] = {}
        self.sizes: dict[str, int] = {}
        self.oldest_slots = iter(records.slots.values())
        self.oldest = next(self.oldest_slots, None)  # the slot to overwrite next
        self.new_slots = 0

    def add(self, item: str, value: Any) -> bool:
        """Add a write of the item (None removes it); False when the transaction is full.

        An item that `Records.fits` rejects is never added.
        """
        records = self.records
        if value is None and item not in records.values and item not in self.content_of:
            return True  # no copy exists that a tombstone would have to hide
        size = encoded_size(item, value)
        content = self.content_of.get(item)
        if content is None or not self._growth_fits(content, size - self.sizes[item]):
            available = self._content_with_space(size)
            if available is None:
                # A copy that was carried over from an overwritten slot must stay in the draft:
                # removing it would lose the item.
                return False
            content = available
        if item in self.content_of:
            self._remove(item)
        self._put(content, item, value, size)
        return True

    def _growth_fits(self, content: SlotContent, growth: int) -> bool:
        return growth <= self.bytes_left and content.size + growth <= self.records.slot_bytes

    def _content_with_space(self, size: int) -> SlotContent | None:
        if size > self.records.slot_bytes:
            return None
        while not self.contents or self.contents[-1].size + size > self.records.slot_bytes:
            if size > self.bytes_left or not self._open_slot():
                return None
        return self.contents[-1] if size <= self.bytes_left else None

    def _remove(self, item: str) -> None:
        content = self.content_of.pop(item)
        del content.items[item]
        size = self.sizes.pop(item)
        content.size -= size
        self.bytes_left += size

    def _open_slot(self) -> bool:
        """Start the next slot: a new one while there are too few, else the oldest one.

        An oldest slot whose live items do not fit stays the next one to overwrite: a smaller item
        must not take the slot after it.
        """
        records = self.records
        if len(self.contents) >= self.most_slots:
            return False
        if records.needs_new_slot(self.new_slots):
            self._append_slot()
            return True
        oldest = self.oldest
        if oldest is None:
            return False
        live = [item for item in oldest.live if item not in self.content_of]
        live_bytes = sum(records.sizes[item] for item in live)
        if live_bytes > min(records.slot_bytes, self.most_bytes):
            # It was written under larger limits, so no transaction can copy it over at once.
            self._move_some(live, self._append_slot())
            return True
        if live_bytes > self.bytes_left:
            return False
        self.oldest = next(self.oldest_slots, None)
        content = SlotContent(oldest.number, oldest.rev)
        self.contents.append(content)
        for item in live:
            self._put(content, item, records.values[item], records.sizes[item])
        return True

    def _append_slot(self) -> SlotContent:
        content = SlotContent(len(self.records.slots) + self.new_slots, 0)
        self.new_slots += 1
        self.contents.append(content)
        return content

    def _move_some(self, live: list[str], content: SlotContent) -> None:
        """Copy some of the oldest slot's items to a new one, with space left for other items."""
        records = self.records
        for item in live:
            size = records.sizes[item]
            space = records.slot_bytes if not content.items else records.slot_bytes // 2
            if content.size + size <= space and size <= self.bytes_left:
                self._put(content, item, records.values[item], size)

    def _put(self, content: SlotContent, item: str, value: Any, size: int) -> None:
        content.items[item] = value
        content.size += size
        self.bytes_left -= size
        self.content_of[item] = content
        self.sizes[item] = size

    def rows(self) -> list[tuple[str, int, dict[str, Any]]]:
        """Key, guard revision and value of each slot to write."""
        seq = self.records.seq + 1
        total = len(self.records.slots) + self.new_slots
        return [
            (
                f"{self.records.prefix}{content.number}",
                content.rev,
                {
                    "layout": _layout(content.items),
                    "seq": seq,
                    "slots": len(self.contents),
                    "total": total,
                    "items": content.items,
                },
            )
            for content in self.contents
        ]


class Records:
    def __init__(self, prefix: str, slot_bytes: int) -> None:
        self.prefix, self.slot_bytes = prefix, slot_bytes
        self.seq = 0
        self.slots: OrderedDict[int, Slot] = OrderedDict()  # in the order they were written
        self.values: dict[str, Any] = {}
        self.sizes: dict[str, int] = {}
        self.slot_of: dict[str, Slot] = {}
        self.bytes = 0
        self.overwritten_early: list[int] = []  # see `load`

    def __contains__(self, item: str) -> bool:
        return item in self.values

    def fits(self, item: str, value: Any) -> bool:
        """Whether a slot can hold the item."""
        return encoded_size(item, value) <= self.slot_bytes

    def larger_than_a_slot(self) -> list[str]:
        """The items that were written under larger limits than today's."""
        return [item for item, size in self.sizes.items() if size > self.slot_bytes]

    def needs_new_slot(self, new_slots: int) -> bool:
        """Whether there are too few slots for overwriting the oldest one to free much space."""
        count = len(self.slots) + new_slots
        return count < c.SLOTS_MIN or count * self.slot_bytes < c.SLOTS_SPARE_FACTOR * self.bytes

    def load(self, rows: list[tuple[str, Any, int]]) -> None:
        """Load all slots; CorruptRecords if a slot is missing or has another layout.

        Earlier builds sometimes overwrote slots out of order. Their transactions copied the live
        items over all the same, so the newest copy of each item is still there, and the records
        are read. Only a tombstone may be lost, and a removed item be back: a machine that is gone
        (returned as silent) or progress of a job that is over (ignored). The sequence numbers of
        the transactions concerned are in `overwritten_early`.
        """
        for key, value, _ in rows:
            if not key.startswith(self.prefix) or value.get("layout") not in LAYOUTS:
                raise CorruptRecords(f"{key} has a layout other than {LAYOUTS}")
        ordered = sorted(rows, key=lambda row: row[1]["seq"])
        if ordered:
            self.overwritten_early = _check_sequence([value for _, value, _ in ordered])
            self.seq = ordered[-1][1]["seq"]
        for key, value, rev in ordered:
            slot = Slot(int(key[len(self.prefix) :]), value["seq"], rev)
            self.slots[slot.number] = slot
            for item, state in value["items"].items():
                self._set(item, state, slot, encoded_size(item, state))
        if sorted(self.slots) != list(range(len(self.slots))):
            raise CorruptRecords("a slot is missing")

    def draft(self, most_slots: int, most_bytes: int) -> Draft:
        return Draft(self, most_slots, most_bytes)

    def mark_committed(self, draft: Draft, rev: int) -> None:
        """Apply a draft that was committed at this revision."""
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
        old = self.slot_of.pop(item, None)
        if old is not None:
            old.live.discard(item)
            self.bytes -= self.sizes.pop(item)
            del self.values[item]
        if value is None:
            return
        self.slot_of[item] = slot
        slot.live.add(item)
        self.values[item], self.sizes[item] = value, size
        self.bytes += size


def _layout(items: dict[str, Any]) -> int:
    """The oldest layout whose readers understand all the items."""
    return c.LAYOUT_PAGES if any(item.startswith(PAGE) for item in items) else c.LAYOUT


def _check_sequence(slots: list[dict[str, Any]]) -> list[int]:
    """Check that no slot is missing; returns the transactions that lost slots out of order.

    `slots` are the stored slots, ordered by sequence number. Raises CorruptRecords if the newest
    transaction is incomplete or states another number of slots than there are.
    """
    found = Counter(value["seq"] for value in slots)
    written = {value["seq"]: value["slots"] for value in slots}
    newest = slots[-1]
    first, last = slots[0]["seq"], newest["seq"]
    if found[last] != written[last]:
        raise CorruptRecords(f"the newest transaction {last} is incomplete")
    # Slots written by earlier builds do not state their total number.
    if newest.get("total", len(slots)) != len(slots):
        raise CorruptRecords(f"{len(slots)} of {newest['total']} slots are there")
    # Only the oldest transaction may have had some of its slots overwritten since.
    return [seq for seq in range(first + 1, last) if found[seq] != written.get(seq)]
