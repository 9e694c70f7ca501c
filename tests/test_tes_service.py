"""Submitting, listing and collecting tasks on two nodes, with lost store answers and races."""

import asyncio

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveflow.net.http import Unavailable
from coveflow.state import keys as sk
from coveflow.tes import documents, ledger
from coveflow.tes.access import AccessDenied
from coveflow.tes.ledger import Busy
from coveflow.tes.models import RequestError, State, TaskLog, View
from coveflow.tes.service import NotFound, Query
from coveflow.wire.runner import TaskResult
from tests.tes_nodes import AUDITOR, BLUE, GREEN, body, nodes, run


def keys(node, prefix):
    return [k for k in node.store.model.rows if k.startswith(prefix)]


async def two_nodes(**tes):
    a, b, clock = nodes(**tes)
    await a.load()
    await b.load()
    a.follow()
    return a, b, clock


async def listed(node, client=BLUE, **query):
    """Return the tasks of all pages."""
    found, token = [], ""
    while True:
        node.follow()
        answer = await node.service.list(client, Query(**(query | {"page_token": token})))
        found += answer["tasks"]
        token = answer.get("next_page_token", "")
        if not token:
            return found


def task_result(task, code=0, system=False, text=b""):
    log = msgspec.json.encode(TaskLog([], [], system_logs=[text.decode()] if text else None))
    return TaskResult(task, 0, code, system, log)


def test_submission_is_one_transaction_and_all_nodes_agree():
    async def go():
        a, b, _ = await two_nodes()
        before = a.store.model.rev
        task = await a.service.submit(BLUE, body(name="x"), None)
        assert a.store.model.rev == before + 1
        a.drain()
        for node in (a, b):
            assert (await node.service.get(BLUE, task, View.FULL)).name == "x"
            assert [t["id"] for t in await listed(node)] == [task]
        a.finish(task)
        for node in (b, a):
            found = await node.service.get(BLUE, task, View.MINIMAL)
            assert found == {"id": task, "state": State.COMPLETE}
            assert await listed(node) == [found]

    run(go())


def test_idempotency_key_gives_one_task_on_any_node_and_after_a_lost_answer():
    async def go():
        a, b, _ = await two_nodes()
        a.store.lost_answers = 1
        with pytest.raises(Unavailable):
            await a.service.submit(BLUE, body(), "k")
        again = [await n.service.submit(BLUE, body(), "k") for n in (b, a, b)]
        assert len(set(again)) == 1 and len(keys(a, sk.JOB)) == 1
        assert await b.service.submit(GREEN, body(), "k") != again[0]
        with pytest.raises(RequestError, match="Idempotency-Key") as refused:
            await a.service.submit(BLUE, body(name="other"), "k")
        assert refused.value.status == 409
        a.finish(again[0])
        assert await b.service.submit(BLUE, body(), "k") == again[0]
        assert len(await listed(a, AUDITOR)) == 2

    run(go())


def test_starting_node_derives_the_same_id_from_a_key():
    """A submission during the load of the index must not derive the id without its secret."""

    async def go():
        a, b, _ = nodes()
        await a.load()
        first = await a.service.submit(BLUE, body(), "k")
        find = b.front.jobs.find

        async def load_then_find(name):
            await b.load()
            return await find(name)

        b.front.jobs.find = load_then_find
        with pytest.raises(Unavailable):
            await b.service.submit(BLUE, body(), "k")
        await b.load()
        assert await b.service.submit(BLUE, body(), "k") == first
        assert len(keys(a, sk.JOB)) == 1

    run(go())


def test_lost_answer_without_a_key_keeps_pages_complete():
    async def go():
        a, _, _ = await two_nodes()
        a.store.lost_answers = 1
        with pytest.raises(Unavailable):
            await a.service.submit(BLUE, body(), None)
        second = await a.service.submit(BLUE, body(), None)
        found = {t["id"] for t in await listed(a)}
        assert second in found and len(found) == 2 == len(keys(a, sk.JOB))

    run(go())


def test_concurrent_submissions_share_transactions_and_documents():
    async def go():
        a, b, _ = await two_nodes()
        before = a.store.model.rev
        tasks = await asyncio.gather(
            *(a.service.submit(BLUE, body(name=f"n{i}"), None) for i in range(40))
        )
        a.drain()
        assert len(set(tasks)) == 40 and a.store.model.rev - before <= 6
        assert len(keys(a, documents.DOCUMENT_PREFIX)) == 1  # the tasks differ only in their names
        assert {t["id"] for t in await listed(b, page_size=7)} == set(tasks)

    run(go())


def test_full_page_is_followed_by_a_new_one():
    async def go():
        a, b, _ = await two_nodes()
        for _ in range(30):
            await asyncio.gather(
                *(a.service.submit(BLUE, body(tags={"k": "v" * 300}), None) for _ in range(5))
            )
            a.drain()
        pages = keys(a, ledger.PAGE_PREFIX)
        assert len(pages) > 5
        for key in pages:
            assert len(msgspec.json.encode(a.store.model.get(key).value)) <= 8 * 1024
        assert len(await listed(b)) == 150
        fresh, _, _ = nodes()
        fresh.store.model = a.store.model
        await fresh.load()
        assert len(fresh.ledger.index) == 150

    run(go())


def test_long_document_is_split_and_read_on_another_node():
    async def go():
        a, b, _ = await two_nodes()
        executors = [
            {"image": f"i{i}", "command": ["/bin/echo", f"{i * 7919 % 100_003:05d}" * 3]}
            for i in range(5000)
        ]
        task = await a.service.submit(BLUE, body(executors=executors), None)
        a.drain()
        assert len(keys(a, documents.DOCUMENT_PREFIX)) > 2
        found = await b.service.get(BLUE, task, View.FULL)
        assert len(found.executors) == 5000 and found.executors[4999].image == "i4999"
        # Only the job and its index row are written for an equal task.
        puts = a.store.model.puts
        await b.service.submit(BLUE, body(executors=executors), None)
        assert b.store.model.puts - puts == 2

    run(go())


def test_tasks_of_other_teams_are_hidden_and_rights_are_checked():
    async def go():
        a, _, _ = await two_nodes()
        task = await a.service.submit(BLUE, body(), None)
        a.drain()
        with pytest.raises(NotFound):
            await a.service.get(GREEN, task, View.MINIMAL)
        with pytest.raises(NotFound):
            await a.service.cancel(GREEN, task)
        assert await listed(a, GREEN) == []
        assert (await a.service.get(AUDITOR, task, View.MINIMAL))["id"] == task
        for wanted in (a.service.cancel(AUDITOR, task), a.service.submit(AUDITOR, body(), None)):
            with pytest.raises(AccessDenied):
                await wanted

    run(go())


def test_native_job_is_not_a_task():
    async def go():
        a, _, _ = await two_nodes()
        from tests.samples import spec

        record = {"spec": msgspec.to_builtins(spec("j-000001")), "at": 0.0}
        a.store.model.commit({}, {sk.JOB + "j-000001": (record, None)}, 0.0)
        a.follow()
        with pytest.raises(NotFound):
            await a.service.get(BLUE, "j-000001", View.MINIMAL)
        with pytest.raises(NotFound):
            await a.service.cancel(BLUE, "j-000001")

    run(go())


def test_concurrent_cancel_and_result_have_one_outcome():
    async def go():
        for cancel_first in (True, False):
            a, b, _ = await two_nodes()
            task = await a.service.submit(BLUE, body(), None)
            a.follow()
            b.follow()
            if cancel_first:
                await a.service.cancel(BLUE, task)
                # The last executor ends after the cancel, so its result comes too late.
                assert await b.service.record_result(task_result(task, 1)) == "over"
                state = await b.service.get(BLUE, task, View.MINIMAL)
                assert state["state"] == State.CANCELING
                b.finish(task, "cancelled")
                want = State.CANCELED
            else:
                # The cancel is committed between the read of the record and the result's commit.
                def commit_cancel(guards, writes, a=a, b=b, task=task):
                    b.store.before_commit = lambda guards, writes: None
                    row = a.store.model.get(sk.JOB + task)
                    a.store.model.commit(
                        {}, {sk.JOB + task: ({**row.value, "cancel": 1.0}, None)}, 0.0
                    )

                b.store.before_commit = commit_cancel
                assert await b.service.record_result(task_result(task)) == "over"
                b.finish(task, "cancelled")
                want = State.CANCELED
            await a.service.cancel(BLUE, task)  # has no effect any more
            for node in (a, b):
                node.follow()
                assert (await node.service.get(BLUE, task, View.MINIMAL))["state"] == want
                assert [t["state"] for t in await listed(node)] == [want]

    run(go())


def test_first_result_counts():
    async def go():
        a, b, _ = await two_nodes()
        task = await a.service.submit(BLUE, body(), None)
        a.drain()
        a.store.lost_answers = 1
        with pytest.raises(Unavailable):
            await a.service.record_result(task_result(task, 3, text=b"first"))
        assert await b.service.record_result(task_result(task, 0, text=b"second")) == "known"
        b.finish(task)
        assert await a.service.record_result(task_result(task)) == "over"
        for node in (a, b):
            node.follow()
            found = await node.service.get(BLUE, task, View.FULL)
            assert found.state == State.EXECUTOR_ERROR
            assert found.logs[0].system_logs == ["first"]

    run(go())


def test_unavailable_store_fails_every_operation():
    async def go():
        a, _, _ = await two_nodes()
        task = await a.service.submit(BLUE, body(), None)
        a.drain()
        a.store.down = True
        for wanted in (
            a.service.get(BLUE, task, View.MINIMAL), a.service.list(BLUE, Query()),
            a.service.submit(BLUE, body(), None), a.service.cancel(BLUE, task),
        ):  # fmt: skip
            with pytest.raises((Unavailable, TimeoutError)):
                await wanted
        a.store.down = False
        assert (await a.service.get(BLUE, task, View.MINIMAL))["state"] == State.QUEUED
        await a.service.submit(BLUE, body(), None)

    run(go())


def test_requests_beyond_the_budget_share_fail_at_once():
    async def go():
        a, _, clock = await two_nodes()
        a.store.changes.set_rate(20.0)
        accepted, refused = 0, 0
        for _ in range(40):
            try:
                await a.service.submit(BLUE, body(), None)
                accepted += 1
            except Busy as busy:
                refused += 1
                assert 0 < busy.retry_s < 1
        assert refused and accepted
        clock.now += 2.0
        await a.service.submit(BLUE, body(), None)

    run(go())


def test_listing_waits_for_tasks_accepted_before():
    async def go():
        a, b, _ = await two_nodes()
        task = await a.service.submit(BLUE, body(), None)

        async def deliver_later():
            await asyncio.sleep(0.05)
            b.follow()

        later = asyncio.create_task(deliver_later())
        answer = await b.service.list(BLUE, Query())
        assert [t["id"] for t in answer["tasks"]] == [task]
        await later

    run(go())


def test_listing_detects_a_new_page_of_another_node():
    async def go():
        a, b, _ = await two_nodes()
        while not a.ledger.newest_numbers["a"]:
            b.follow()  # b has the whole first page, but never receives the second
            task = await a.service.submit(BLUE, body(tags={"k": "v" * 1500}), None)
            a.drain()
        with pytest.raises(Unavailable, match="not current"):
            clock = b.ledger.clock
            ticks = iter(range(1000))
            b.ledger.clock = lambda: clock() + 0.1 * next(ticks)
            await b.service.list(BLUE, Query())
        b.ledger.clock = clock
        assert task in {t["id"] for t in await listed(b)}

    run(go())


def test_filters():
    async def go():
        a, _, _ = await two_nodes()
        made = {}
        for name, tags in (("tile-1", {"m": "x"}), ("tile-2", {"m": "y"}), ("other", {})):
            made[name] = await a.service.submit(BLUE, body(name=name, tags=tags), None)
            a.drain()
        a.finish(made["tile-1"])
        a.finish(made["other"], "cancelled")
        back = {v: k for k, v in made.items()}

        async def names(**query):
            return sorted(back[t["id"]] for t in await listed(a, **query))

        assert await names(name_prefix="tile") == ["tile-1", "tile-2"]
        assert await names(state=State.COMPLETE) == ["tile-1"]
        assert await names(state=State.CANCELED) == ["other"]
        assert await names(state=State.QUEUED) == ["tile-2"]
        assert await names(state=State.PAUSED) == []
        assert await names(tags=(("m", ""),)) == ["tile-1", "tile-2"]
        assert await names(tags=(("m", "y"),)) == ["tile-2"]
        full = await listed(a, view=View.FULL, state=State.COMPLETE)
        assert full[0].tags == {"m": "x"}

    run(go())


# --- collecting ------------------------------------------------------------------------------


async def expired_tasks(a, clock, count=60):
    """Create finished tasks past their retention, most of them in full pages."""
    tasks = []
    for _ in range(count // 5):
        tasks += await asyncio.gather(
            *(a.service.submit(BLUE, body(tags={"k": "v" * 400}), None) for _ in range(5))
        )
        a.drain()
    for task in tasks:
        a.finish(task)
    a.follow()
    clock.now += 3601.0
    return tasks


def test_expired_tasks_and_their_documents_are_removed_on_every_node():
    async def go():
        a, b, clock = await two_nodes(retention_h=1.0)
        tasks = await expired_tasks(a, clock)
        a.lead()
        for _ in range(6):
            await a.collector.run_round()
        a.follow()
        b.follow()
        left = await listed(b)
        # The tasks of the newest page stay until that page is full.
        assert 0 < len(left) < len(tasks) / 3
        gone = set(tasks) - {t["id"] for t in left}
        assert not any(a.store.model.get(sk.FINAL_RECORD + t) for t in gone)
        with pytest.raises(NotFound):
            await b.service.get(BLUE, sorted(gone)[0], View.MINIMAL)
        await a.service.get(BLUE, left[0]["id"], View.FULL)  # its document is still stored
        assert len(keys(a, documents.DOCUMENT_PREFIX)) == 1
        assert len(keys(a, ledger.END_RECORD_PREFIX)) < 32

    run(go())


def test_final_states_fit_into_full_pages():
    async def go():
        a, _, _ = await two_nodes()
        tasks = []
        for _ in range(40):  # short rows, of which the final state is a third
            some = (a.service.submit(BLUE, body(), None) for _ in range(10))
            tasks += await asyncio.gather(*some)
            a.drain()
        for task in tasks:
            a.finish(task, "cancelled", failed="x")
        a.follow()
        a.lead()
        assert len(a.ledger.end_record_revs) == len(tasks)
        await a.collector.run_round()
        a.follow()
        full = [k for k in keys(a, ledger.PAGE_PREFIX) if a.collector._is_full(k)]
        assert len(full) >= 3
        for key in full:
            assert all(len(row) == 8 for row in a.store.model.get(key).value["rows"])
        left = {t for t in a.ledger.own_rows for t in t[:1]}
        end_records = [a.store.model.get(key).value["rows"] for key in a.ledger.end_record_revs]
        assert {row[0] for rows in end_records for row in rows} == left

    run(go())


def test_new_leader_continues_the_retention():
    """Only the leader that folded the pages knew them as finished; its successor kept all tasks."""

    async def go():
        a, b, clock = await two_nodes(retention_h=1.0)
        tasks = await expired_tasks(a, clock)
        a.lead()
        await a.collector.fold_end_records()
        assert len(await listed(b)) == len(tasks)
        b.lead()
        for _ in range(6):
            await b.collector.run_round()
        a.follow()
        assert len(await listed(a)) < len(tasks) / 3

    run(go())


def test_redundant_end_record_is_removed():
    """A leader that stops between the two commits of a fold leaves such end records."""

    async def go():
        a, _, clock = await two_nodes(retention_h=1.0)
        tasks = await expired_tasks(a, clock)
        a.lead()
        await a.collector.fold_end_records()
        stale = {"rows": [[tasks[0], "COMPLETE", 5]]}
        a.store.model.commit({}, {ledger.END_RECORD_PREFIX + "9-9": (stale, None)}, 0.0)
        a.follow()
        await a.collector.fold_end_records()
        assert ledger.END_RECORD_PREFIX + "9-9" not in a.store.model.rows

    run(go())


def test_logs_are_removed_with_their_task():
    async def go():
        a, _, clock = await two_nodes(retention_h=1.0)
        task = await a.service.submit(BLUE, body(), None)
        a.drain()
        other = await a.service.submit(BLUE, body(), None)
        a.drain()
        for name in (task, other):
            assert await a.service.record_result(task_result(name, text=b"the same")) == "kept"
        assert (
            len(keys(a, documents.DOCUMENT_PREFIX)) == 3
        )  # one shared document, and a log of each task
        a.finish(task)
        a.finish(other)
        await expired_tasks(a, clock)
        a.lead()
        for _ in range(8):
            await a.collector.run_round()
        assert len(keys(a, documents.DOCUMENT_PREFIX)) <= 2
        assert a.store.model.get(sk.FINAL_RECORD + task) is None

    run(go())


def test_gang_whose_results_do_not_fit_its_record_is_refused():
    async def go():
        a, _, _ = await two_nodes()
        size = {"resources": {"backend_parameters": {"gang_size": "51"}}}
        await a.service.submit(BLUE, body(**size), None)
        size["resources"]["backend_parameters"]["gang_size"] = "60"
        with pytest.raises(RequestError, match="gang_size"):
            await a.service.submit(BLUE, body(**size), None)

    run(go())


def test_document_of_a_concurrently_accepted_task_is_not_removed():
    async def go():
        a, b, clock = await two_nodes(retention_h=1.0)
        other = body(description="of the old ones")
        old = [await a.service.submit(BLUE, other, None) for _ in range(2)]
        a.drain()
        for task in old:
            a.finish(task)
        a.follow()
        await expired_tasks(a, clock)
        b.follow()
        a.lead()

        raced = []

        def between(guards, writes):
            """Let another node accept an equal task just before the root is removed."""
            roots = [
                k
                for k, v in writes.items()
                if k.startswith(documents.DOCUMENT_PREFIX) and v is None
            ]
            if roots and not raced:
                raced.append(roots[0])
                a.store.before_commit = lambda guards, writes: None
                cut_hash = roots[0][len(documents.DOCUMENT_PREFIX) :]
                key = ledger.page_key("b", 0)
                row = ["j-" + "9" * 24, 5, "", "blue", cut_hash, {}]
                root = a.store.model.get(roots[0])
                a.store.model.commit(
                    {roots[0]: root.rev, key: 0}, {key: ({"rows": [row]}, None)}, 0.0
                )

        a.store.before_commit = between
        from coveflow.state.store import Conflict

        with pytest.raises(Conflict):
            for _ in range(8):
                await a.collector.run_round()
        assert raced and a.store.model.get(raced[0]) is not None
        a.follow()
        for _ in range(4):
            await a.collector.run_round()
        assert a.store.model.get(raced[0]) is not None

    run(go())


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.lists(st.sampled_from(("submit", "over", "cancel", "tidy", "age", "lose", "crash")),
                min_size=5, max_size=30))  # fmt: skip
def test_listings_and_records_agree_under_faults(steps):
    """Every accepted task is listed with its document until its retention, in one final state."""

    async def go():
        a, b, clock = await two_nodes(retention_h=1.0)
        a.lead()
        finals: dict[str, str] = {}
        for n, step in enumerate(steps):
            node = (a, b)[n % 2]
            live = sorted(k[len(sk.JOB) :] for k in keys(a, sk.JOB))
            try:
                if step == "submit":
                    # Wait for all three: one left running would commit during the listings below.
                    answers = await asyncio.gather(
                        *(node.service.submit(BLUE, body(name=f"{n}"), None) for _ in range(3)),
                        return_exceptions=True,
                    )
                    errors = [e for e in answers if isinstance(e, Exception)]
                    assert all(isinstance(e, Unavailable | Busy) for e in errors)
                elif step == "over" and live:
                    node.finish(live[0])
                elif step == "cancel" and live:
                    await node.service.cancel(BLUE, live[-1])
                    node.finish(live[-1], "cancelled")
                elif step == "tidy":
                    await a.collector.run_round()
                elif step == "age":
                    clock.now += 1000.0
                elif step == "lose":
                    node.store.lost_answers = 1
                elif step == "crash":
                    _, fresh, _ = nodes(retention_h=1.0)
                    fresh.store.model, fresh.ledger.clock = a.store.model, clock
                    b = fresh
                    await b.load()
            except (Unavailable, Busy):
                pass
            a.follow()
            b.follow()
            for node in (a, b):
                for row in await listed(node):
                    if row["state"] in ("COMPLETE", "CANCELED"):
                        assert finals.setdefault(row["id"], row["state"]) == row["state"]
        there = {k.rpartition("/")[2] for k in keys(a, sk.JOB) + keys(a, sk.FINAL_RECORD)}
        for node in (a, b):
            found = await listed(node, view=View.FULL)
            assert {t.id for t in found} == there

    run(go())
