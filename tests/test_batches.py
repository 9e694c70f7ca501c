"""Batches of reports between nodes: within what their receiver takes, whatever machines report."""

import asyncio
import inspect

from aiohttp import web
from hypothesis import given
from hypothesis import strategies as st

from coveflow import constants as c
from coveflow.membership.carry import Carried, _batch

TAKEN = inspect.signature(web.BaseRequest.__init__).parameters["client_max_size"].default


@given(st.lists(st.integers(100, c.MAX_BODY), min_size=1, max_size=60))
def test_every_batch_is_taken_and_all_reports_go(sizes):
    """200 reports of machines with 64 CPUs were over the limit, and refused again and again."""
    loop = asyncio.new_event_loop()
    try:
        left = [
            Carried((f"n-{i}", 1, 1), bytes(size), loop.create_future())
            for i, size in enumerate(sizes)
        ]
        while left:
            batch = _batch(left)
            assert batch == left[: len(batch)] and batch
            assert sum(len(one.body) + 64 for one in batch) < TAKEN
            left = left[len(batch) :]
    finally:
        loop.close()
