"""Divides the attempts on a machine among several records, each small enough to be stored.

Page 0 is in the machine's own record; the others have records of their own. An attempt stays on its
page, except that a page that has grown too large gives attempts to later pages. If the pages are
written in descending order, every attempt is on some written page at any time, so the pages may be
written in different transactions.
"""

from __future__ import annotations

from typing import Any

import msgspec

from coveflow.core.model import Machine, Placement, encode_ranges

Tasks = dict[str, list[list[Any]]]  # by job: attempt number and task ranges

_json = msgspec.json.Encoder()
# Bytes of JSON around one attempt's job id and numbers: `"":[[,[,200]]],`, and some to spare.
ATTEMPT_FRAME_BYTES = 20
RECORD_FRAME_BYTES = 16  # bytes around a page's attempts


def encode_tasks(placements: list[Placement]) -> Tasks:
    """Group attempts by job and attempt number."""
    jobs: dict[str, dict[int, list[int]]] = {}
    for p in placements:
        jobs.setdefault(p.job, {}).setdefault(p.number, []).append(p.task)
    return {
        job: [[number, encode_ranges(tasks)] for number, tasks in numbers.items()]
        for job, numbers in jobs.items()
    }


def machine_records(m: Machine, max_bytes: int) -> dict[int, Any]:
    """The machine's own record (0) and those of its further pages, each of `max_bytes` at most.

    Every page that was ever used for the machine is included, empty or not: a page's record is
    removed only together with the machine.
    """
    if not m.pages:
        record = m.record(encode_tasks(list(m.placements.values())))
        if _size(record) <= max_bytes:
            return {0: record}
    _assign_pages(m, max_bytes)
    pages = {page: encode_tasks(_attempts_on(m, page)) for page in range(m.pages + 1)}
    return pages | {0: m.record(pages[0])}


def _attempts_on(m: Machine, page: int) -> list[Placement]:
    return [p for p in m.placements.values() if p.page == page]


def _assign_pages(m: Machine, max_bytes: int) -> None:
    """Move attempts from pages that are too large to later ones; new ones are on page 0."""
    page = 0
    carried: list[Placement] = []
    while page <= m.pages or carried:
        placements = [*_attempts_on(m, page), *carried]
        frame = _size(m.record({})) if page == 0 else 0
        room = max_bytes - frame - RECORD_FRAME_BYTES
        carried = []
        for p in placements:
            room -= _attempt_bytes(p)
            if room >= 0:
                p.page = page
            else:
                carried.append(p)
        page += 1
    m.pages = max(m.pages, page - 1)


def _attempt_bytes(p: Placement) -> int:
    """An upper bound of what the attempt adds to its page's record."""
    return len(p.job) + len(str(p.number)) + len(str(p.task)) + ATTEMPT_FRAME_BYTES


def _size(value: Any) -> int:
    return len(_json.encode(value)) + RECORD_FRAME_BYTES
