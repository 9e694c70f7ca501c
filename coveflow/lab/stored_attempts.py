"""The attempts that the leader's stored records name, read as a new leader reads them."""

from __future__ import annotations

from typing import Any

from coveflow.core.model import decode_ranges
from coveflow.state.keys import SLOT, machine_page
from coveflow.state.records import Records

StoredAttempt = tuple[str, str, int, int]  # machine, job, task and attempt number
TASKS_FIELD = 6  # of a machine's own record


def stored_attempts(rows: list[tuple[str, Any, int]]) -> set[StoredAttempt]:
    """Attempts in the slots among `rows` (key, value, revision); CorruptRecords as `load`."""
    records = Records(SLOT, 0)
    records.load([row for row in rows if row[0].startswith(SLOT)])
    found: set[StoredAttempt] = set()
    for item, value in records.values.items():
        place = machine_page(item)
        if place is None:
            continue
        machine, page = place
        tasks = value if page else value[TASKS_FIELD]
        for job, attempts in tasks.items():
            for number, ranges in attempts:
                found.update((machine, job, task, number) for task in decode_ranges(ranges))
    return found
