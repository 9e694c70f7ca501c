"""Batches of reports between nodes stay below the receiver's limit, whatever their sizes."""

import asyncio
import inspect

from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from coveflow import constants as c
from coveflow.membership.report_batches import PendingReport, next_batch

BODY_LIMIT = inspect.signature(web.BaseRequest.__init__).parameters["client_max_size"].default


@given(st.lists(st.integers(100, c.MAX_BODY), min_size=1, max_size=60))
def test_every_batch_is_accepted_and_all_reports_are_sent(sizes):
    """200 reports of machines with 64 CPUs exceed the limit; every retry would be rejected too."""
    loop = asyncio.new_event_loop()
    try:
        remaining = [
            PendingReport((f"n-{i}", 1, 1), bytes(size), loop.create_future())
            for i, size in enumerate(sizes)
        ]
        while remaining:
            batch = next_batch(remaining)
            assert batch == remaining[: len(batch)] and batch
            assert sum(len(report.body) + 64 for report in batch) < BODY_LIMIT
            remaining = remaining[len(batch) :]
    finally:
        loop.close()
