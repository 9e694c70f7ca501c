"""What reports prove: late copies, machines without reception, restarted report counters."""

import pytest

from coveflow import constants as c
from coveflow.core.model import Flavor, ListedMachine, Report, TaskReport
from coveflow.daemon import commands as cm
from coveflow.daemon import owner as o
from coveflow.lab.replies import Reply
from coveflow.membership.report_batches import BatchedAnswer
from coveflow.settings import Tuning
from coveflow.state import keys as sk
from tests.samples import flavor, spec
from tests.world import LEASE_S, REPORT_S, node_settings

EPOCH = 4


class Leader:
    """An owner that leads, with machine n-1 known from its first report if `restored`."""

    def __init__(self, restored: bool = True) -> None:
        self.now, self.effects = 100.0, []
        self.owner = o.Owner(
            node_settings("a", [{"name": "blue"}]), Tuning(), lambda: self.now, lambda: self.now
        )
        self.owner.context.effects = lambda kind, data: self.effects.append((kind, data))
        self.owner.context.encode_answer = lambda epoch, orders: (epoch, orders)
        self.owner.inbox.flavors = {flavor().name: flavor()}
        self.state = self.owner.state
        self.state.leading, self.state.since = EPOCH, self.now
        self.owner.inbox.view = sk.View(EPOCH, "a", ["a"], 1)
        if restored:
            self.send_report(1, 1, EPOCH)
            self.job = self.state.jobs.get("j-000001")

    def send_report(self, tenure, counter, epoch, tasks=(), machine="n-1", patient=False, **more):
        answers: list = []
        kind: Flavor = flavor()
        report = Report(
            machine, "10.0.0.1:9", kind.name, "north", False, tenure, counter, epoch, None,
            list(tasks),
        )  # fmt: skip
        self.owner.process_batch(
            [cm.ReportReceived(report, Reply(answers.append), patient, **more)]
        )
        return answers

    def place_task(self, task: int = 0) -> TaskReport:
        """Place and commit a task on n-1; returns its entry in the machine's reports."""
        job = self.state.jobs.get("j-000001")
        if job is None:
            self.state.apply_accepted(cm.AcceptedJob(spec("j-000001", tasks=8), self.now, 1, None))
            job = self.state.jobs["j-000001"]
        p = job.place(self.state.machines["n-1"], self.now)
        p.committed = True
        return TaskReport(p.job, p.task, p.number, "running")

    def tick(self, seconds: float) -> list:
        self.effects.clear()
        until = self.now + seconds
        while self.now < until:
            self.now += 0.5
            self.owner.process_batch([cm.Tick()])
        return [name for kind, names in self.effects if kind == "return" for name in names]


def test_late_copy_does_not_take_the_deferred_answer():
    """A stale copy must be rejected before it changes the pending answer or the machine."""
    leader = Leader()
    waiting = leader.send_report(1, 5, EPOCH, patient=True)
    assert waiting == []  # deferred until there is new work
    assert leader.send_report(1, 3, EPOCH) == [(EPOCH, [])]
    assert waiting == [] and leader.state.pending_answers["n-1"].is_awaited()
    leader.place_task()
    leader.now += 0.3
    leader.state.answer_soon("n-1")
    leader.owner.process_batch([])
    ((_, orders),) = waiting
    assert [order.verb for order in orders] == ["run"]


def test_resent_report_gets_the_deferred_answer():
    leader = Leader()
    first = leader.send_report(1, 5, EPOCH, patient=True)
    again = leader.send_report(1, 5, EPOCH)
    assert first == again == []
    leader.place_task()
    leader.state.answer_soon("n-1")
    leader.owner.process_batch([])
    assert len(first) == 1 and first == again and first[0][1]


def test_reports_of_an_earlier_epoch_are_no_sign_of_life():
    """Copies of a dead machine's reports, each newer than the last, reach a new leader."""
    leader = Leader(restored=False)
    leader.send_report(2, 10, EPOCH - 1)  # unrecorded: an earlier leader may have returned it
    m = leader.state.machines["n-1"]
    returned, counter = [], 10
    while not returned and leader.now < 200.0:
        counter += 1
        leader.send_report(2, counter, EPOCH - 1)
        returned = leader.tick(3.0)
    assert returned == ["n-1"] and leader.now <= 100.0 + LEASE_S + 5.0
    leader.send_report(2, counter + 1, EPOCH - 1)
    assert m.returning  # a report of an earlier epoch does not keep it
    leader.send_report(2, counter + 2, EPOCH)
    assert not m.returning  # this one was sent in the current epoch


def test_unrecorded_machine_gets_work_only_after_a_report_of_this_epoch():
    """Copies of reports from returned machines must not attract work for a lease or longer."""
    leader = Leader(restored=False)
    leader.send_report(2, 10, EPOCH - 1)
    m = leader.state.machines["n-1"]
    assert not leader.state.reported_recently(m, leader.now)
    leader.now += 0.5
    leader.send_report(2, 11, EPOCH)
    assert leader.state.reported_recently(m, leader.now)


def test_report_does_not_restore_a_returned_machine():
    leader = Leader()
    leader.owner.process_batch([cm.MachinesReturned(["n-1"])])
    assert leader.send_report(7, 900, EPOCH) == [None]
    assert "n-1" not in leader.state.machines or not leader.state.machines["n-1"].up


@pytest.mark.parametrize("tenure", [1, 3])
def test_machine_with_a_restarted_counter_is_returned_or_serves(tenure):
    """A machine back with its old or a first session is not ignored forever."""
    leader = Leader()
    leader.send_report(3, 50, EPOCH)
    task = leader.place_task()
    leader.send_report(3, 51, EPOCH, [task])
    for counter in range(1, 12):
        leader.now += REPORT_S
        assert leader.send_report(tenure, counter, EPOCH) == [(EPOCH, [])]
    assert leader.state.machines["n-1"].placements  # its absence there proves nothing
    assert leader.tick(LEASE_S) == ["n-1"]


def session_number(leader) -> int:
    """The tenure of a machine that has received no answer since the leader began."""
    return 1 + int((leader.now - 100.0) / LEASE_S)


def report_without_effect(leader, counter, tasks=(), gap_s=5.0, **more):
    leader.now += gap_s
    return leader.send_report(1, counter, EPOCH, tasks, **more)


def test_orders_without_effect_mark_a_machine_as_not_receiving():
    leader = Leader()
    leader.place_task()
    m = leader.state.machines["n-1"]
    assert leader.send_report(1, 2, EPOCH)[0][1]  # the run order is sent
    for counter in (3, 4):
        assert report_without_effect(leader, counter)[0][1]  # one answer may be lost
        assert not m.answer_receipt.not_receiving and m.placements
    report_without_effect(leader, 5)
    assert m.answer_receipt.not_receiving
    # Absent from a report later than the answer with the run order, so it never started.
    job = leader.state.jobs["j-000001"]
    assert not m.placements and not job.placed and job.last_attempt_number == 1


def test_lost_answer_or_slow_image_does_not_mark_a_machine():
    leader = Leader()
    task = leader.place_task()
    leader.send_report(1, 2, EPOCH)
    report_without_effect(leader, 3)
    pulling = TaskReport(task.job, task.task, task.number, "pulling")
    for counter in range(4, 30):
        report_without_effect(leader, counter, [pulling], gap_s=REPORT_S)
    m = leader.state.machines["n-1"]
    assert (
        not m.answer_receipt.not_receiving and not m.answer_receipt.missed_answers and m.placements
    )


def test_session_end_despite_answered_reports_marks_a_machine():
    leader = Leader()
    task = leader.place_task()
    for counter in range(2, 5):
        report_without_effect(leader, counter, [task])
    m = leader.state.machines["n-1"]
    leader.now += 1.0
    leader.send_report(2, 5, EPOCH)
    assert m.answer_receipt.not_receiving and not m.placements


@pytest.mark.parametrize("gap_s", [REPORT_S, 6.0])
def test_doubt_about_an_idle_machine_ends(gap_s):
    """Its session continues, or it reports early: it does receive, though no order can show it."""
    leader = Leader()
    leader.place_task()
    for counter in range(2, 5):
        report_without_effect(leader, counter)
    m = leader.state.machines["n-1"]
    assert m.answer_receipt.excluded_from_work and not m.answer_receipt.not_receiving
    for p in list(m.placements.values()):
        leader.state.end(p, False, "never started")  # it was stopped before it started
    for counter in range(5, 12):
        report_without_effect(leader, counter, gap_s=gap_s)
    assert not m.answer_receipt.excluded_from_work


def test_machine_with_a_new_session_gets_one_task_until_an_order_takes_effect():
    leader = Leader()
    leader.send_report(1, 2, EPOCH)
    leader.now += 2 * LEASE_S
    leader.send_report(2, 3, EPOCH)
    m = leader.state.machines["n-1"]
    assert not m.answer_receipt.not_receiving and m.answer_receipt.task_limit == 1
    for counter in range(4, 9, 2):
        task = leader.place_task()
        m.placements[task.job, task.task, task.number].tenure = 2
        assert leader.send_report(2, counter, EPOCH)[0][1]
        leader.now += 1.0
        leader.send_report(2, counter + 1, EPOCH, [task])
    assert m.answer_receipt.task_limit == 0


def test_idle_machine_is_trusted_again_after_a_lease():
    """Otherwise a gang waits forever: without an order nothing shows that its machine receives."""
    leader = Leader()
    leader.send_report(1, 2, EPOCH)
    leader.now += 2 * LEASE_S
    leader.send_report(2, 3, EPOCH)
    m, rose_at, counter = leader.state.machines["n-1"], leader.now, 3
    while m.answer_receipt.task_limit:
        leader.now += REPORT_S
        counter += 1
        leader.send_report(2, counter, EPOCH)
        assert leader.now - rose_at < LEASE_S + c.WORKER_GIVE_UP_S + 2 * REPORT_S
    assert leader.now - rose_at > LEASE_S  # until then its lease may still expire


def test_delayed_reports_do_not_mark_a_machine():
    leader = Leader()
    leader.send_report(1, 2, EPOCH)
    leader.now += 1.5 * LEASE_S
    leader.send_report(1, 3, EPOCH)  # delayed in transit
    leader.send_report(1, 4, EPOCH)
    leader.send_report(2, 5, EPOCH)
    assert not leader.state.machines["n-1"].answer_receipt.not_receiving


def test_machine_redirected_between_nodes_is_marked():
    leader = Leader()
    for counter in range(2, 6):
        report_without_effect(leader, counter, expects_answer=False)
    assert leader.state.machines["n-1"].answer_receipt.not_receiving


def test_machine_that_does_not_receive_recovers_in_steps_or_is_returned():
    leader = Leader()
    leader.place_task()
    for counter in range(2, 6):
        report_without_effect(leader, counter)
    m = leader.state.machines["n-1"]
    assert m.answer_receipt.not_receiving
    for counter in range(6, 6 + c.PROMPT_REPORTS):
        report_without_effect(leader, counter, gap_s=REPORT_S)
    assert not m.answer_receipt.not_receiving and m.answer_receipt.task_limit == 1
    task = leader.place_task()
    assert leader.send_report(1, 20, EPOCH)[0][1]
    report_without_effect(leader, 21, [task], gap_s=REPORT_S)
    assert m.answer_receipt.task_limit == c.TASK_LIMIT_GROWTH

    leader = Leader()
    returned, counter = [], 2
    while not returned and leader.now < 300.0:
        counter += 1
        leader.send_report(session_number(leader), counter, EPOCH, expects_answer=False)
        returned = leader.tick(4.0)
    assert returned == ["n-1"] and leader.now < 100.0 + 4 * LEASE_S


def test_many_machines_that_do_not_receive_are_kept():
    leader = Leader()
    names = [f"n-{i}" for i in range(1, 21)]
    counter = 1
    while leader.now < 100.0 + 3 * LEASE_S:
        counter += 1
        for name in names:
            leader.send_report(
                session_number(leader), counter, EPOCH, machine=name, expects_answer=False
            )
        assert leader.tick(4.0) == []
    returned = leader.tick(0.5)
    for _ in range(20):
        counter += 1
        for name in names:
            leader.send_report(
                session_number(leader), counter, EPOCH, machine=name, expects_answer=False
            )
        returned += leader.tick(4.0)
    assert len(returned) == 1  # a twentieth at a time, until the cloud has answered


def test_silence_during_a_pause_of_the_leader_does_not_count():
    """A leader paused for 14.7 s tried to return its whole fleet when it resumed."""
    leader = Leader()
    leader.tick(1.0)
    leader.now += 3 * LEASE_S
    assert leader.tick(LEASE_S) == []
    assert leader.tick(5.0) == ["n-1"]  # silent since the leader resumed


def test_cloud_list_sets_the_rental_start_for_a_new_leader():
    leader = Leader()
    row = ListedMachine("n-1", "10.0.0.1:9", flavor().name, "north", False, "running", 300.0)
    leader.owner.process_batch([cm.CloudList([row])])
    assert leader.state.machines["n-1"].known_since == leader.now - 300.0


def answer_inspection(leader, tenure, counter, epoch=EPOCH, tasks=()):
    """Process the machine's answer to a direct request."""
    report = Report(
        "n-1", "10.0.0.1:9", flavor().name, "north", False, tenure, counter, epoch, None,
        list(tasks),
    )  # fmt: skip
    request = cm.DirectRequest("n-1", "10.0.0.1:9", EPOCH, tenure, [])
    leader.owner.process_batch([cm.DirectAnswer(request, report)])


def absence_ends_attempt(leader) -> bool:
    """Whether a direct answer without an ordered and stopped attempt ends that attempt."""
    leader.place_task()
    assert leader.send_report(1, 2, EPOCH)[0][1]
    m = leader.state.machines["n-1"]
    for p in m.placements.values():
        leader.state.stop(p, 0.0, "a test")
    answer_inspection(leader, 1, 3)
    return not m.placements


def test_absence_from_a_direct_answer_is_no_evidence(monkeypatch):
    """The worker may answer a request before it receives the report's answer with the run order."""
    leader = Leader()
    assert not absence_ends_attempt(leader)
    leader.send_report(1, 4, EPOCH)  # it has abandoned that answer, so it never starts the run
    assert not leader.state.machines["n-1"].placements
    honest = leader.owner.reports._apply_tasks.__func__
    monkeypatch.setattr(
        "coveflow.daemon.reports.Reports._apply_tasks",
        lambda self, m, report, now, absence=True: honest(self, m, report, now),
    )
    assert absence_ends_attempt(Leader())


def test_direct_answer_leaves_the_deferred_answer_and_the_report_order():
    leader = Leader()
    waiting = leader.send_report(1, 5, EPOCH, patient=True)
    answer_inspection(leader, 1, 6)
    assert waiting == [] and leader.state.pending_answers["n-1"].is_awaited()
    answer_inspection(leader, 1, 4)
    assert leader.state.machines["n-1"].newest_report == (1, 6)


def test_direct_answer_does_not_restore_a_returned_machine():
    """The answer, created before the return, arrives after the cloud's reply, before the commit."""
    leader = Leader()
    leader.place_task()
    m = leader.state.machines["n-1"]
    m.returning = m.returning_for_silence = True
    leader.owner.process_batch([cm.MachinesReturned(["n-1"])])
    answer_inspection(leader, 1, 9)
    assert m.returning and not m.up


def test_direct_answer_of_a_later_session_ends_attempts_and_keeps_the_machine():
    leader = Leader()
    task = leader.place_task()
    leader.send_report(1, 2, EPOCH, [task])
    requests = []
    for _ in range(int(8 * LEASE_S)):
        leader.tick(0.5)
        requests += [data for kind, data in leader.effects if kind == "direct"]
        assert not any(kind == "return" for kind, _ in leader.effects)
        for request in [data for kind, data in leader.effects if kind == "direct"]:
            tenure = 1 + int((leader.now - 100.0) / LEASE_S)
            answer_inspection(leader, tenure, len(requests) + 2)
            assert not leader.state.machines[request.machine].placements
    assert 5 < len(requests) < 20 and not any(request.stops for request in requests)


def test_forwarded_report_is_evidence_without_an_answer():
    leader = Leader()
    task = leader.place_task()
    ready: list = []
    done = TaskReport(task.job, task.task, task.number, "exited", "done")
    report = Report("n-1", "10.0.0.1:9", flavor().name, "north", False, 1, 9, EPOCH, None, [done])
    leader.owner.process_batch(
        [cm.ReportReceived(report, BatchedAnswer(("n-1", 1, 9), ready), expects_answer=False)]
    )
    assert not leader.state.machines["n-1"].placements and ready == []
