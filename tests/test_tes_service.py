"""Accepting, telling and collecting tasks on two nodes, with the store's answers lost and raced."""

import asyncio

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveflow.net.http import Unavailable
from coveflow.state import keys as sk
from coveflow.tes import documents, ledger
from coveflow.tes.access import Denied
from coveflow.tes.ledger import Busy
from coveflow.tes.models import Refused, State, TaskLog, View
from coveflow.tes.service import NotFound, Query
from coveflow.wire.runner import TaskResult
from tests.tes_nodes import AUDITOR, BLUE, GREEN, body, nodes, run


def keys(node, prefix):
    return [k for k in node.store.model.rows if k.startswith(prefix)]


async def both(**tes):
    a, b, clock = nodes(**tes)
    await a.read()
    await b.read()
    a.follow()
    return a, b, clock


async def listed(node, client=BLUE, **query):
    """All pages' tasks."""
    found, token = [], ""
    while True:
        node.follow()
        answer = await node.service.list(client, Query(**(query | {"page_token": token})))
        found += answer["tasks"]
        token = answer.get("next_page_token", "")
        if not token:
            return found


def told(task, code=0, system=False, text=b""):
    log = msgspec.json.encode(TaskLog([], [], system_logs=[text.decode()] if text else None))
    return TaskResult(task, 0, code, system, log)


def test_a_task_is_one_transaction_and_every_node_tells_the_same():
    async def go():
        a, b, _ = await both()
        before = a.store.model.rev
        task = await a.service.submit(BLUE, body(name="x"), None)
        assert a.store.model.rev == before + 1
        a.drain()
        for node in (a, b):
            assert (await node.service.get(BLUE, task, View.FULL)).name == "x"
            assert [t["id"] for t in await listed(node)] == [task]
        a.over(task)
        for node in (b, a):
            found = await node.service.get(BLUE, task, View.MINIMAL)
            assert found == {"id": task, "state": State.COMPLETE}
            assert await listed(node) == [found]

    run(go())


def test_a_key_gives_one_task_on_any_node_and_after_a_lost_answer():
    async def go():
        a, b, _ = await both()
        a.store.lose = 1
        with pytest.raises(Unavailable):
            await a.service.submit(BLUE, body(), "k")
        again = [await n.service.submit(BLUE, body(), "k") for n in (b, a, b)]
        assert len(set(again)) == 1 and len(keys(a, sk.JOB)) == 1
        assert await b.service.submit(GREEN, body(), "k") != again[0]
        with pytest.raises(Refused, match="Idempotency-Key") as refused:
            await a.service.submit(BLUE, body(name="other"), "k")
        assert refused.value.status == 409
        a.over(again[0])
        assert await b.service.submit(BLUE, body(), "k") == again[0]
        assert len(await listed(a, AUDITOR)) == 2

    run(go())


def test_a_node_that_begins_meanwhile_makes_the_same_id_of_a_key():
    """Its index came while it looked the key up: its id had been made without the secret."""

    async def go():
        a, b, _ = nodes()
        await a.read()
        first = await a.service.submit(BLUE, body(), "k")
        look = b.front.jobs.find

        async def looked(name):
            await b.read()
            return await look(name)

        b.front.jobs.find = looked
        with pytest.raises(Unavailable):
            await b.service.submit(BLUE, body(), "k")
        await b.read()
        assert await b.service.submit(BLUE, body(), "k") == first
        assert len(keys(a, sk.JOB)) == 1

    run(go())


def test_without_a_key_a_lost_answer_may_leave_a_task_and_pages_stay_whole():
    async def go():
        a, _, _ = await both()
        a.store.lose = 1
        with pytest.raises(Unavailable):
            await a.service.submit(BLUE, body(), None)
        second = await a.service.submit(BLUE, body(), None)
        found = {t["id"] for t in await listed(a)}
        assert second in found and len(found) == 2 == len(keys(a, sk.JOB))

    run(go())


def test_many_at_once_share_transactions_and_documents():
    async def go():
        a, b, _ = await both()
        before = a.store.model.rev
        tasks = await asyncio.gather(
            *(a.service.submit(BLUE, body(name=f"n{i}"), None) for i in range(40))
        )
        a.drain()
        assert len(set(tasks)) == 40 and a.store.model.rev - before <= 6
        assert len(keys(a, documents.DOC)) == 1  # equal but for their names
        assert {t["id"] for t in await listed(b, page_size=7)} == set(tasks)

    run(go())


def test_a_page_is_full_and_the_next_begins():
    async def go():
        a, b, _ = await both()
        for _ in range(30):
            await asyncio.gather(
                *(a.service.submit(BLUE, body(tags={"k": "v" * 300}), None) for _ in range(5))
            )
            a.drain()
        pages = keys(a, ledger.LOG)
        assert len(pages) > 5
        for key in pages:
            assert len(msgspec.json.encode(a.store.model.get(key).value)) <= 8 * 1024
        assert len(await listed(b)) == 150
        fresh, _, _ = nodes()
        fresh.store.model = a.store.model
        await fresh.read()
        assert len(fresh.ledger.index) == 150

    run(go())


def test_a_long_document_is_cut_and_read_by_a_node_that_never_saw_it():
    async def go():
        a, b, _ = await both()
        executors = [
            {"image": f"i{i}", "command": ["/bin/echo", f"{i * 7919 % 100_003:05d}" * 3]}
            for i in range(5000)
        ]
        task = await a.service.submit(BLUE, body(executors=executors), None)
        a.drain()
        assert len(keys(a, documents.DOC)) > 2
        found = await b.service.get(BLUE, task, View.FULL)
        assert len(found.executors) == 5000 and found.executors[4999].image == "i4999"
        # Nothing is written twice for an equal one.
        puts = a.store.model.puts
        await b.service.submit(BLUE, body(executors=executors), None)
        assert b.store.model.puts - puts == 2

    run(go())


def test_another_teams_task_is_not_there_and_rights_are_asked():
    async def go():
        a, _, _ = await both()
        task = await a.service.submit(BLUE, body(), None)
        a.drain()
        with pytest.raises(NotFound):
            await a.service.get(GREEN, task, View.MINIMAL)
        with pytest.raises(NotFound):
            await a.service.cancel(GREEN, task)
        assert await listed(a, GREEN) == []
        assert (await a.service.get(AUDITOR, task, View.MINIMAL))["id"] == task
        for wanted in (a.service.cancel(AUDITOR, task), a.service.submit(AUDITOR, body(), None)):
            with pytest.raises(Denied):
                await wanted

    run(go())


def test_a_native_job_is_no_task():
    async def go():
        a, _, _ = await both()
        from tests.samples import spec

        record = {"spec": msgspec.to_builtins(spec("j-000001")), "at": 0.0}
        a.store.model.commit({}, {sk.JOB + "j-000001": (record, None)}, 0.0)
        a.follow()
        with pytest.raises(NotFound):
            await a.service.get(BLUE, "j-000001", View.MINIMAL)
        with pytest.raises(NotFound):
            await a.service.cancel(BLUE, "j-000001")

    run(go())


def test_a_cancel_and_an_end_at_the_same_moment_have_one_outcome():
    async def go():
        for cancel_first in (True, False):
            a, b, _ = await both()
            task = await a.service.submit(BLUE, body(), None)
            a.follow()
            b.follow()
            if cancel_first:
                await a.service.cancel(BLUE, task)
                # Its last executor ends after: its word comes too late.
                assert await b.service.told(told(task, 1)) == "over"
                state = await b.service.get(BLUE, task, View.MINIMAL)
                assert state["state"] == State.CANCELING
                b.over(task, "cancelled")
                want = State.CANCELED
            else:
                # The cancel is committed between the look at the record and the word's commit.
                def cancelled_meanwhile(guards, writes, a=a, b=b, task=task):
                    b.store.between = lambda guards, writes: None
                    row = a.store.model.get(sk.JOB + task)
                    a.store.model.commit(
                        {}, {sk.JOB + task: ({**row.value, "cancel": 1.0}, None)}, 0.0
                    )

                b.store.between = cancelled_meanwhile
                assert await b.service.told(told(task)) == "over"
                b.over(task, "cancelled")
                want = State.CANCELED
            await a.service.cancel(BLUE, task)  # changes nothing any more
            for node in (a, b):
                node.follow()
                assert (await node.service.get(BLUE, task, View.MINIMAL))["state"] == want
                assert [t["state"] for t in await listed(node)] == [want]

    run(go())


def test_the_first_word_on_an_end_counts():
    async def go():
        a, b, _ = await both()
        task = await a.service.submit(BLUE, body(), None)
        a.drain()
        a.store.lose = 1
        with pytest.raises(Unavailable):
            await a.service.told(told(task, 3, text=b"first"))
        assert await b.service.told(told(task, 0, text=b"second")) == "known"
        b.over(task)
        assert await a.service.told(told(task)) == "over"
        for node in (a, b):
            node.follow()
            found = await node.service.get(BLUE, task, View.FULL)
            assert found.state == State.EXECUTOR_ERROR
            assert found.logs[0].system_logs == ["first"]

    run(go())


def test_with_the_store_down_nothing_is_assumed():
    async def go():
        a, _, _ = await both()
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


def test_beyond_its_part_of_the_budget_it_says_so_at_once():
    async def go():
        a, _, clock = await both()
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


def test_a_listing_waits_until_it_has_what_was_accepted_before():
    async def go():
        a, b, _ = await both()
        task = await a.service.submit(BLUE, body(), None)

        async def told_later():
            await asyncio.sleep(0.05)
            b.follow()

        later = asyncio.create_task(told_later())
        answer = await b.service.list(BLUE, Query())
        assert [t["id"] for t in answer["tasks"]] == [task]
        await later

    run(go())


def test_a_listing_knows_that_another_node_began_a_page_it_has_not_heard_of():
    async def go():
        a, b, _ = await both()
        while not a.ledger.heads["a"]:
            b.follow()  # it has the first page whole; the second it will not hear of
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
        a, _, _ = await both()
        made = {}
        for name, tags in (("tile-1", {"m": "x"}), ("tile-2", {"m": "y"}), ("other", {})):
            made[name] = await a.service.submit(BLUE, body(name=name, tags=tags), None)
            a.drain()
        a.over(made["tile-1"])
        a.over(made["other"], "cancelled")
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


async def aged(a, clock, count=60):
    """Tasks that are over, in full pages, past their retention."""
    tasks = []
    for _ in range(count // 5):
        tasks += await asyncio.gather(
            *(a.service.submit(BLUE, body(tags={"k": "v" * 400}), None) for _ in range(5))
        )
        a.drain()
    for task in tasks:
        a.over(task)
    a.follow()
    clock.now += 3601.0
    return tasks


def test_what_is_past_its_retention_is_gone_from_every_node_with_its_documents():
    async def go():
        a, b, clock = await both(retention_h=1.0)
        tasks = await aged(a, clock)
        a.lead()
        for _ in range(6):
            await a.collector.round()
        a.follow()
        b.follow()
        left = await listed(b)
        # What is in the newest page stays until that is full.
        assert 0 < len(left) < len(tasks) / 3
        gone = set(tasks) - {t["id"] for t in left}
        assert not any(a.store.model.get(sk.FINAL_RECORD + t) for t in gone)
        with pytest.raises(NotFound):
            await b.service.get(BLUE, sorted(gone)[0], View.MINIMAL)
        await a.service.get(BLUE, left[0]["id"], View.FULL)  # its document is there still
        assert len(keys(a, documents.DOC)) == 1
        assert len(keys(a, ledger.END)) < 32

    run(go())


def test_ends_fit_into_pages_that_were_filled_to_the_brim():
    async def go():
        a, _, _ = await both()
        tasks = []
        for _ in range(40):  # short rows: what an end adds is a third of them
            some = (a.service.submit(BLUE, body(), None) for _ in range(10))
            tasks += await asyncio.gather(*some)
            a.drain()
        for task in tasks:
            a.over(task, "cancelled", failed="x")
        a.follow()
        a.lead()
        assert len(a.ledger.ends) == len(tasks)
        await a.collector.round()
        a.follow()
        full = [k for k in keys(a, ledger.LOG) if a.collector._full(k)]
        assert len(full) >= 3
        for key in full:
            assert all(len(row) == 8 for row in a.store.model.get(key).value["rows"])
        left = {t for t in a.ledger.own for t in t[:1]}
        news = [a.store.model.get(key).value["rows"] for key in a.ledger.ends]
        assert {row[0] for rows in news for row in rows} == left

    run(go())


def test_a_new_leader_goes_on_with_the_retention():
    """What is full and over was known to the leader alone that had folded it; the next kept all."""

    async def go():
        a, b, clock = await both(retention_h=1.0)
        tasks = await aged(a, clock)
        a.lead()
        await a.collector.fold()
        assert len(await listed(b)) == len(tasks)
        b.lead()
        for _ in range(6):
            await b.collector.round()
        a.follow()
        assert len(await listed(a)) < len(tasks) / 3

    run(go())


def test_news_whose_page_has_it_already_goes():
    """A leader that ends between the two commits of a fold leaves such news."""

    async def go():
        a, _, clock = await both(retention_h=1.0)
        tasks = await aged(a, clock)
        a.lead()
        await a.collector.fold()
        stale = {"rows": [[tasks[0], "COMPLETE", 5]]}
        a.store.model.commit({}, {ledger.END + "9-9": (stale, None)}, 0.0)
        a.follow()
        await a.collector.fold()
        assert ledger.END + "9-9" not in a.store.model.rows

    run(go())


def test_logs_go_with_their_task():
    async def go():
        a, _, clock = await both(retention_h=1.0)
        task = await a.service.submit(BLUE, body(), None)
        a.drain()
        other = await a.service.submit(BLUE, body(), None)
        a.drain()
        for name in (task, other):
            assert await a.service.told(told(name, text=b"the same")) == "kept"
        assert len(keys(a, documents.DOC)) == 3  # one document, and a log of each
        a.over(task)
        a.over(other)
        await aged(a, clock)
        a.lead()
        for _ in range(8):
            await a.collector.round()
        assert len(keys(a, documents.DOC)) <= 2
        assert a.store.model.get(sk.FINAL_RECORD + task) is None

    run(go())


def test_a_gang_whose_words_do_not_fit_its_record_is_refused():
    async def go():
        a, _, _ = await both()
        size = {"resources": {"backend_parameters": {"gang_size": "51"}}}
        await a.service.submit(BLUE, body(**size), None)
        size["resources"]["backend_parameters"]["gang_size"] = "60"
        with pytest.raises(Refused, match="gang_size"):
            await a.service.submit(BLUE, body(**size), None)

    run(go())


def test_a_document_that_a_task_comes_to_have_meanwhile_is_not_collected():
    async def go():
        a, b, clock = await both(retention_h=1.0)
        other = body(description="of the old ones")
        old = [await a.service.submit(BLUE, other, None) for _ in range(2)]
        a.drain()
        for task in old:
            a.over(task)
        a.follow()
        await aged(a, clock)
        b.follow()
        a.lead()

        raced = []

        def between(guards, writes):
            """Another node accepts an equal task just before the root is removed."""
            roots = [k for k, v in writes.items() if k.startswith(documents.DOC) and v is None]
            if roots and not raced:
                raced.append(roots[0])
                a.store.between = lambda guards, writes: None
                cut_hash = roots[0][len(documents.DOC) :]
                key = ledger.page_key("b", 0)
                row = ["j-" + "9" * 24, 5, "", "blue", cut_hash, {}]
                root = a.store.model.get(roots[0])
                a.store.model.commit(
                    {roots[0]: root.rev, key: 0}, {key: ({"rows": [row]}, None)}, 0.0
                )

        a.store.between = between
        from coveflow.state.store import Conflict

        with pytest.raises(Conflict):
            for _ in range(8):
                await a.collector.round()
        assert raced and a.store.model.get(raced[0]) is not None
        a.follow()
        for _ in range(4):
            await a.collector.round()
        assert a.store.model.get(raced[0]) is not None

    run(go())


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.lists(st.sampled_from(("submit", "over", "cancel", "tidy", "age", "lose", "crash")),
                min_size=5, max_size=30))  # fmt: skip
def test_whatever_happens_listings_and_records_agree(steps):
    """Every accepted task is listed until its retention, with its document; no two answers."""

    async def go():
        a, b, clock = await both(retention_h=1.0)
        a.lead()
        finals: dict[str, str] = {}
        for n, step in enumerate(steps):
            node = (a, b)[n % 2]
            live = sorted(k[len(sk.JOB) :] for k in keys(a, sk.JOB))
            try:
                if step == "submit":
                    # All three end here: one that went on would commit behind the listings' back.
                    answers = await asyncio.gather(
                        *(node.service.submit(BLUE, body(name=f"{n}"), None) for _ in range(3)),
                        return_exceptions=True,
                    )
                    errors = [e for e in answers if isinstance(e, Exception)]
                    assert all(isinstance(e, Unavailable | Busy) for e in errors)
                elif step == "over" and live:
                    node.over(live[0])
                elif step == "cancel" and live:
                    await node.service.cancel(BLUE, live[-1])
                    node.over(live[-1], "cancelled")
                elif step == "tidy":
                    await a.collector.round()
                elif step == "age":
                    clock.now += 1000.0
                elif step == "lose":
                    node.store.lose = 1
                elif step == "crash":
                    _, fresh, _ = nodes(retention_h=1.0)
                    fresh.store.model, fresh.ledger.clock = a.store.model, clock
                    b = fresh
                    await b.read()
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
