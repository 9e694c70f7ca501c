"""Fills a state service as after months of task API use: pages, final records, documents."""

from __future__ import annotations

import random

import msgspec

from coveflow.lab.store import Row, Store
from coveflow.state import keys as sk
from coveflow.state import records
from coveflow.tes import documents, ledger, models
from coveflow.tes import index as ix

DOCUMENTS = 50  # shared by all tasks
FIRST_CREATED_MS = 1_700_000_000_000  # creation time of the first task
CREATED_EVERY_MS = 50  # ms between the creation of two tasks
STATES = ("COMPLETE",) * 17 + ("EXECUTOR_ERROR", "CANCELED", "SYSTEM_ERROR")


def fill(store: Store, tasks: int, nodes: list[str], seed: int = 1) -> None:
    """Writes `tasks` finished tasks as the service would; each page increments the revision."""
    rng = random.Random(seed)
    document_hashes = []
    for i in range(DOCUMENTS):
        executor = models.Executor("outline", ["/usr/bin/outline", f"/tiles/{i}"])
        task = models.Task([executor])
        cut = documents.pack(models.encode_document(task), store.value_kb, 1)
        store.rows[cut.key(0)] = Row(cut.root(), 1)
        document_hashes.append(cut.hash)
    pages = {node: ([], 0, 0) for node in nodes}  # rows, bytes, number
    page_bytes = int(store.value_kb * 1024 * ledger.PAGE_FILL_SHARE)
    for i in range(tasks):
        node = nodes[i % len(nodes)]
        state = rng.choice(STATES)
        created = FIRST_CREATED_MS + i * CREATED_EVERY_MS
        entry = ix.Entry(
            f"j-{rng.randrange(10**24):024d}", created, f"tile-{i:06d}", "mapping",
            document_hashes[i % DOCUMENTS], {"row": str(i % 100)}, state, created + 30_000,
        )  # fmt: skip
        rider = {
            "doc": entry.doc, "name": entry.name, "tags": entry.tags, "team": entry.team,
            "made": created, "by": "mapping",
        }  # fmt: skip
        record = {
            "status": "cancelled" if state in ("CANCELED", "SYSTEM_ERROR") else "done",
            "done": 1, "rider": rider,
            "outcome": {"0": [1, ""]} if state == "EXECUTOR_ERROR" else {},
        }  # fmt: skip
        if state == "SYSTEM_ERROR":
            record["failed"] = "lost"
        rows, size, number = pages[node]
        row = ix.encode_rows([entry])
        size += records.encoded_size("", row)
        if size > page_bytes:
            _page(store, node, number, rows)
            rows, size, number = [], records.encoded_size("", row), number + 1
        rows += row
        pages[node] = (rows, size, number)
        store.rows[sk.FINAL_RECORD + entry.id] = Row(msgspec.to_builtins(record), store.rev)
    for node, (rows, _, number) in pages.items():
        _page(store, node, number, rows)


def _page(store: Store, node: str, number: int, rows: list) -> None:
    store.rev += 1
    store.compacted_rev = store.rev
    store.rows[ledger.page_key(node, number)] = Row({"rows": rows}, store.rev)
