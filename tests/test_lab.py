"""The lab's checker, its worker and store models, and invalid lab files and fault scripts."""

import json
import math
from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveflow import forms
from coveflow.core.model import Order
from coveflow.lab import faults, site
from coveflow.lab.check import Checker
from coveflow.lab.cluster import LabError, check_folder
from coveflow.lab.store import ConditionFailed, RevisionCompacted, Store
from coveflow.lab.truth import GroundTruth
from coveflow.lab.worker import Worker
from coveflow.settings import Team, Workers
from tests.samples import flavor, spec

LIMITS = Workers(report_s=1.0, lease_s=10.0, gang_wait_s=8.0, gang_peer_s=2.0, cancel_s=20.0)
JOB = "j-000001"


def on(at, machine="n-1", task=0, kind="on", **more):
    row = {"at": at, "kind": kind, "job": JOB, "task": task, "machine": machine, "why": None}
    return row | {"type": "m8", "zone": "north", "spot": False} | more


def answer(at, to="poll", code=200, state="queued"):
    return {"at": at, "kind": "answer", "to": to, "job": JOB, "code": code, "state": state}


def submitted(**changes):
    return {"at": 0.0, "kind": "submit", "job": JOB, "spec": spec(JOB, **changes)}


CANCEL = {"at": 1.0, "kind": "cancel", "job": JOB}


@pytest.mark.parametrize(
    ("rule", "rows"),
    [
        ("ran_twice", [submitted(), on(1), on(2, "n-2")]),
        ("quota", [submitted(cpus=3.0), on(1), on(2, "n-2", 1)]),
        ("wrong_place", [submitted(zone="south"), on(1)]),
        ("wrong_place", [submitted(spot=False), on(1, spot=True)]),
        ("wrong_place", [submitted(types=["big"]), on(1)]),
        ("wrong_place", [submitted(one_zone=True), on(1), on(2, "n-2", 1, zone="south")]),
        ("wrong_place", [submitted(spread=True), on(1), on(1, "n-1", 1), on(1, "n-1", 2)]),
        ("ran_cancelled", [
            submitted(), on(0.5), CANCEL, answer(1, "cancel", state="cancelled"),
            on(30, kind="off"),
        ]),
        ("ran_cancelled", [
            submitted(), CANCEL, answer(1, "cancel", state="cancelled"), on(22)
        ]),
        ("forgotten", [submitted(), on(1), answer(1, "submit", 201), answer(2, code=404)]),
        ("forgotten", [submitted(), on(1), answer(1, "submit", 201), answer(2, "submit", 422)]),
        ("invented", [on(1), answer(2)]),
        ("not_done", [submitted(), on(1), answer(2, state="done")]),
        ("went_back", [
            submitted(tasks=1), on(1), on(2, kind="off", why="done"), answer(3, state="done"),
            answer(4, state="running"),
        ]),
        ("went_back", [submitted(), on(1), answer(2, state="cancelled")]),
        ("nothing_ran", [submitted()]),
    ],
)  # fmt: skip
def test_each_violation_is_reported_under_its_rule(rule, rows):
    checker = Checker([Team("blue", cpus_max=4.0)], cancel_s=20.0)
    assert rule in {broken.rule for broken in checker.check_history(rows)}


def test_correct_history_has_no_violations():
    rows = [
        submitted(tasks=1), answer(0.1, "submit", 201), on(1), answer(2, state="running"),
        on(3, kind="off", why="done"), answer(4, state="done"), answer(5, state="done"),
    ]  # fmt: skip
    assert Checker([Team("blue", cpus_max=4.0)], cancel_s=20.0).check_history(rows) == []


VERBS = st.sampled_from(["run", "stop", "clear"])
STEPS = st.lists(
    st.tuples(
        st.floats(0.0, 4.0),
        st.sampled_from(["order", "order", "order", "report", "hang", "resume", "stale"]),
        VERBS,
        st.integers(0, 3),
        st.integers(1, 3),
        st.sampled_from([0.0, 5.0]),
    ),
    max_size=40,
)


@settings(derandomize=True, deadline=None, max_examples=150)
@given(STEPS, st.sampled_from([0.0, 2.0]), st.booleans())
def test_worker_follows_the_protocol_under_any_sequence_of_orders(steps, checkpoint_s, gang):
    """Counters increase, a task runs once, capacity is never exceeded, time never decreases."""
    kind = "gang" if gang else "array"
    truth = GroundTruth(lambda spec: [6.0] * spec.tasks, LIMITS.gang_peer_s, LIMITS.gang_wait_s)
    truth.upload(spec(JOB, tasks=4, cpus=3.0, kind=kind, checkpoint_s=checkpoint_s, save_s=1.0))
    live, notes = set(), []

    def note(kind, at, worker, attempt):
        if kind == "on":
            assert attempt.task not in live
            live.add(attempt.task)
        elif kind == "off":
            live.remove(attempt.task)
        if not gang:  # the end of a gang is recorded when the gang advances, not the worker
            notes.append(at)

    worker = Worker("n-1", "", flavor(), "north", False, LIMITS, truth, 0.0, note=note)
    now, last = 0.0, (0, 0)
    for wait, what, verb, task, number, grace in steps:
        now += wait
        truth.advance(now)
        if what == "order":
            worker.receive_answer(
                worker.tenure, now, 5, [Order(verb, JOB, task, number, grace)], now
            )
        elif what == "stale":
            before = (dict(worker.tasks), worker.lease_renewed_at)
            tenure, order = worker.tenure, Order(verb, JOB, task, number, grace)
            if worker.epoch and not worker.receive_answer(
                tenure, now, worker.epoch - 1, [order], now
            ):
                assert worker.lease_renewed_at >= before[1]
                assert worker.lease_renewed_at == before[1] or worker.tenure > tenure
        elif what == "hang":
            worker.hang(now)
        elif what == "resume":
            worker.resume(now)
        elif worker.hung_at is None:
            report = worker.report(now)
            assert (report.tenure, report.counter) > last
            last = (report.tenure, report.counter)
            running = [t for t in report.tasks if t.state != "exited"]
            assert len({t.task for t in running}) == len(running) <= 2
    assert notes == sorted(notes)


def test_worker_without_answers_drops_its_tasks_when_its_lease_expires():
    truth = GroundTruth(lambda spec: [100.0] * spec.tasks, 2.0, 8.0)
    truth.upload(spec(JOB, checkpoint_s=4.0, save_s=1.0))
    worker = Worker("n-1", "", flavor(), "north", False, LIMITS, truth, 0.0)
    worker.receive_answer(1, 0.0, 1, [Order("run", JOB, 0, 1)], 0.0)
    report = worker.report(9.0)
    assert [t.state for t in report.tasks] == ["running"]
    assert not worker.receive_answer(1, 9.0, 0, [], 9.1), "an older token renews no lease"
    report = worker.report(10.5)
    assert (report.tenure, report.tasks) == (2, [])
    assert not worker.receive_answer(1, 9.0, 1, [], 10.6), (
        "an answer of an earlier session is dropped"
    )
    assert math.isclose(truth.saved[(JOB, 0)], 8.0), "its last checkpoint is kept"


def test_gang_resumes_from_a_completed_save_and_otherwise_from_its_last_checkpoint():
    truth = GroundTruth(lambda spec: [30.0], LIMITS.gang_peer_s, LIMITS.gang_wait_s)
    truth.upload(spec(JOB, kind="gang", tasks=2, checkpoint_s=10.0, save_s=1.0))
    workers = [Worker(f"n-{i}", "", flavor(), "north", False, LIMITS, truth, 0.0) for i in (0, 1)]

    def send_order(now, verb, number, receivers=(0, 1), grace=0.0):
        for i in receivers:
            worker = workers[i]
            worker.receive_answer(worker.tenure, now, 1, [Order(verb, JOB, i, number, grace)], now)
            truth.advance(now)

    def renew_leases(now):
        for worker in workers:
            worker.advance(now)
            worker.receive_answer(worker.tenure, now, 1, [], now)
        truth.advance(now)

    send_order(0.0, "run", 1)
    renew_leases(1.0)  # the image is fetched: the gang runs from 1.0
    renew_leases(8.0)
    send_order(9.0, "stop", 1, grace=2.0)
    renew_leases(11.5)
    assert truth.saved[(JOB, -1)] == pytest.approx(8.0)
    send_order(12.0, "clear", 1)
    send_order(12.0, "run", 2)
    renew_leases(17.0)
    send_order(19.0, "stop", 2, receivers=(0,), grace=2.0)  # the other task gets no stop
    renew_leases(24.0)
    assert [a.why for w in workers for a in w.tasks.values()] == ["mates_gone", "mates_gone"]
    assert truth.saved[(JOB, -1)] == pytest.approx(10.0), "a checkpoint, not the progress of 15"


TXNS = st.lists(
    st.tuples(
        st.sampled_from("abc"), st.sampled_from("abc"), st.sampled_from([None, 1, 2]),
        st.booleans(),
    ),
    max_size=30,
)  # fmt: skip


@settings(derandomize=True, deadline=None)
@given(TXNS)
def test_store_applies_conditional_transactions_and_reports_every_change(txns):
    store, model = Store(100, 100, 8, 12, kept=15), {}
    for guard, key, value, stale in txns:
        want = model.get(guard, (None, 0))[1] + (1 if stale else 0)
        before = store.rev
        try:
            rev = store.commit({guard: want}, {key: (value, None)}, 0.0)
        except ConditionFailed as conflict:
            assert stale and conflict.keys == [guard] and store.rev == before
            continue
        assert not stale and rev == before + 1
        if value is None:
            model.pop(key, None)
        else:
            model[key] = (value, rev)
    assert {k: (row.value, row.rev) for k, row in store.rows.items()} == model
    replayed = {}
    try:
        for key, value, rev in store.events("", 0):
            replayed[key] = (value, rev)
    except RevisionCompacted:
        assert store.rev > 15
        return
    assert {k: v for k, v in replayed.items() if v[0] is not None} == model


LAB = (site.__file__.rpartition("/")[0] or ".") + "/sites/demo.scm"


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("(lease-s 5)", "(lease-s long)", "lease-s"),
        ("(lease-s 5)", "", "lease-s"),
        ("(spot-price 0.06)", "(spot-price -1)", "spot-price"),
        ("(capacity small north", "(capacity tiny north", "tiny"),
        ("(shape gang)", "(shape heap)", "shape"),
        ("(deadline 4 12)", "(deadline 4)", "deadline"),
        ("(team analytics)", "", "team"),
        ("(seed 7)", "(seeds 7)", "seeds"),
    ],
)
def test_error_of_an_invalid_lab_file_names_the_form(old, new, named):
    text = Path(LAB).read_text(encoding="utf-8")
    assert old in text
    with pytest.raises(forms.FormError, match=named):
        site.parse(text.replace(old, new, 1), "demo.scm")


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("(faults (at 1 kill))", "kill"),
        ("(faults (at 1 burn leader))", "burn"),
        ("(faults (at 1 cut north))", "2 name"),
        ("(faults (at -1 kill leader))", "at least 0"),
        ("(faults (at 1 cut north south (mode soft)))", "soft"),
        ("(faults (at 1 machines melt))", "melt"),
        ("(troubles)", "faults"),
    ],
)
def test_error_of_an_invalid_fault_script_names_the_form(text, named):
    with pytest.raises(forms.FormError, match=named):
        faults.parse(text, "f.scm")


WORDS = st.recursive(
    st.text("abz-09. \"'();\\", max_size=6) | st.integers(-9, 9) | st.floats(allow_nan=False),
    lambda inner: st.lists(inner, max_size=4),
    max_leaves=12,
)


@settings(derandomize=True, deadline=None)
@given(st.lists(WORDS, max_size=4))
def test_formatted_forms_parse_to_the_same_value_and_invalid_input_raises_form_error(items):
    try:
        read = forms.read(forms.format_form(["x", *items]), "f", "x")
    except forms.FormError:
        return
    assert forms.read(forms.format_form(["x", *read]), "f", "x") == read
    for parse in (site.parse, faults.parse):
        with pytest.raises(forms.FormError):
            parse(forms.format_form(["lab", *items]), "f")


def test_history_is_checked_from_the_folder_of_a_lab(tmp_path):
    (tmp_path / "lab.scm").write_text(Path(LAB).read_text(encoding="utf-8"))
    users = [
        submitted(team="analytics") | {"spec": msgspec.to_builtins(spec(JOB, team="analytics"))}
    ]
    fleet = [on(1), on(2, kind="off", why="done"), on(3, "n-2")]
    for name, rows in (("users", users), ("fleet", fleet)):
        text = "".join(json.dumps(row) + "\n" for row in rows)
        # A killed process may leave an incomplete last line.
        (tmp_path / f"history-{name}.jsonl").write_text(text + '{"at": 9, "ki')
    assert check_folder(tmp_path) == []
    (tmp_path / "history-fleet.jsonl").write_text(
        "".join(json.dumps(row) + "\n" for row in [*fleet, on(4, "n-3")])
    )
    assert [b.rule for b in check_folder(tmp_path)] == ["ran_twice"]
    with pytest.raises(LabError, match="no whole history"):
        check_folder(tmp_path / "nowhere")
