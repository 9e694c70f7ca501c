"""What reports prove: late copies, machines that hear nothing, machines that count from one."""

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
    """An owner that leads, with one job whose task is on machine n-1, restored from its records."""

    def __init__(self, restored: bool = True) -> None:
        self.now, self.effects = 100.0, []
        self.owner = o.Owner(
            node_settings("a", [{"name": "blue"}]), Tuning(), lambda: self.now, lambda: self.now
        )
        self.owner.around.effects = lambda kind, data: self.effects.append((kind, data))
        self.owner.around.answer = lambda epoch, orders: (epoch, orders)
        self.owner.inbox.flavors = {flavor().name: flavor()}
        self.book = self.owner.book
        self.book.leading, self.book.since = EPOCH, self.now
        self.owner.inbox.view = sk.View(EPOCH, "a", ["a"], 1)
        if restored:
            self.heard(1, 1, EPOCH)
            self.job = self.book.jobs.get("j-000001")

    def heard(self, tenure, counter, epoch, tasks=(), machine="n-1", patient=False, **more):
        answers: list = []
        kind: Flavor = flavor()
        report = Report(
            machine, "10.0.0.1:9", kind.name, "north", False, tenure, counter, epoch, None,
            list(tasks),
        )  # fmt: skip
        self.owner.work([cm.Heard(report, Reply(answers.append), patient, **more)])
        return answers

    def give(self, task: int = 0) -> TaskReport:
        """A task placed on n-1 and committed; as its machine reports it."""
        job = self.book.jobs.get("j-000001")
        if job is None:
            self.book.adopt(cm.Accepted(spec("j-000001", tasks=8), self.now, 1, None))
            job = self.book.jobs["j-000001"]
        p = job.place(self.book.machines["n-1"], self.now)
        p.committed = True
        return TaskReport(p.job, p.task, p.number, "running")

    def tick(self, seconds: float) -> list:
        self.effects.clear()
        until = self.now + seconds
        while self.now < until:
            self.now += 0.5
            self.owner.work([cm.Tick()])
        return [name for kind, names in self.effects if kind == "return" for name in names]


def test_a_late_copy_takes_no_answer_from_the_report_that_waits():
    """It once took the held answer away and marked the machine up before it was compared."""
    leader = Leader()
    waiting = leader.heard(1, 5, EPOCH, patient=True)
    assert waiting == []  # held for new work
    assert leader.heard(1, 3, EPOCH) == [(EPOCH, [])]
    assert waiting == [] and leader.book.held["n-1"].waits()
    leader.give()
    leader.now += 0.3
    leader.book.wake("n-1")
    leader.owner.work([])
    ((_, orders),) = waiting
    assert [order.verb for order in orders] == ["run"]


def test_the_same_report_sent_again_by_its_home_gets_the_answer_that_waits():
    leader = Leader()
    first = leader.heard(1, 5, EPOCH, patient=True)
    again = leader.heard(1, 5, EPOCH)
    assert first == again == []
    leader.give()
    leader.book.wake("n-1")
    leader.owner.work([])
    assert len(first) == 1 and first == again and first[0][1]


def test_what_was_sent_before_a_lead_keeps_no_machine_alive_and_saves_none():
    """Copies of a dead machine's reports, each newer than the last, come to a new leader."""
    leader = Leader(restored=False)
    leader.heard(2, 10, EPOCH - 1)  # not on record: it may have been returned by an older leader
    m = leader.book.machines["n-1"]
    returned, counter = [], 10
    while not returned and leader.now < 200.0:
        counter += 1
        leader.heard(2, counter, EPOCH - 1)
        returned = leader.tick(3.0)
    assert returned == ["n-1"] and leader.now <= 100.0 + LEASE_S + 5.0
    leader.heard(2, counter + 1, EPOCH - 1)
    assert m.returning  # an old word does not save it
    leader.heard(2, counter + 2, EPOCH)
    assert not m.returning  # this one was sent since the lead began


def test_a_machine_off_the_records_gets_no_work_by_a_copy_and_some_once_it_names_the_lead():
    """Copies of machines that an earlier leader gave back drew work, for a lease and more."""
    leader = Leader(restored=False)
    leader.heard(2, 10, EPOCH - 1)
    m = leader.book.machines["n-1"]
    assert not leader.book.heard_lately(m, leader.now)
    leader.now += 0.5
    leader.heard(2, 11, EPOCH)
    assert leader.book.heard_lately(m, leader.now)


def test_a_machine_that_is_gone_is_brought_back_by_no_report():
    leader = Leader()
    leader.owner.work([cm.Returned(["n-1"])])
    assert leader.heard(7, 900, EPOCH) == [None]
    assert "n-1" not in leader.book.machines or not leader.book.machines["n-1"].up


@pytest.mark.parametrize("tenure", [1, 3])
def test_a_machine_that_counts_from_one_again_is_not_ignored_for_good(tenure):
    """Back at once with its old or a first session: whatever that means, it goes back or serves."""
    leader = Leader()
    leader.heard(3, 50, EPOCH)
    on = leader.give()
    leader.heard(3, 51, EPOCH, [on])
    for counter in range(1, 12):
        leader.now += REPORT_S
        assert leader.heard(tenure, counter, EPOCH) == [(EPOCH, [])]
    assert leader.book.machines["n-1"].placements  # its absence there proves nothing
    assert leader.tick(LEASE_S) == ["n-1"]


def session(leader) -> int:
    """The tenure of a machine that no answer reached since the leader's begin."""
    return 1 + int((leader.now - 100.0) / LEASE_S)


def miss(leader, counter, tasks=(), gap_s=5.0, **more):
    leader.now += gap_s
    return leader.heard(1, counter, EPOCH, tasks, **more)


def test_orders_told_and_never_seen_make_a_machine_deaf_and_its_tasks_go_elsewhere():
    leader = Leader()
    leader.give()
    m = leader.book.machines["n-1"]
    assert leader.heard(1, 2, EPOCH)[0][1]  # told
    for counter in (3, 4):
        assert miss(leader, counter)[0][1]  # one answer may be lost
        assert not m.answer_receipt.not_receiving and m.placements
    miss(leader, 5)
    assert m.answer_receipt.not_receiving
    # The absence in a report later than the answer that told of it: it never began.
    job = leader.book.jobs["j-000001"]
    assert not m.placements and not job.placed and job.last_attempt_number == 1


def test_one_lost_answer_or_a_slow_image_is_no_deafness():
    leader = Leader()
    on = leader.give()
    leader.heard(1, 2, EPOCH)
    miss(leader, 3)
    pulling = TaskReport(on.job, on.task, on.number, "pulling")
    for counter in range(4, 30):
        miss(leader, counter, [pulling], gap_s=REPORT_S)
    m = leader.book.machines["n-1"]
    assert (
        not m.answer_receipt.not_receiving and not m.answer_receipt.missed_answers and m.placements
    )


def test_a_session_that_ends_though_its_reports_were_answered_shows_a_deaf_machine():
    leader = Leader()
    on = leader.give()
    for counter in range(2, 5):
        miss(leader, counter, [on])
    m = leader.book.machines["n-1"]
    leader.now += 1.0
    leader.heard(2, 5, EPOCH)
    assert m.answer_receipt.not_receiving and not m.placements


@pytest.mark.parametrize("gap_s", [REPORT_S, 6.0])
def test_a_machine_that_missed_answers_and_has_nothing_to_do_is_not_doubted_for_ever(gap_s):
    """Its session lives on, or its reports come too soon: it hears, though no order can show it."""
    leader = Leader()
    leader.give()
    for counter in range(2, 5):
        miss(leader, counter)
    m = leader.book.machines["n-1"]
    assert m.answer_receipt.excluded_from_work and not m.answer_receipt.not_receiving
    for p in list(m.placements.values()):
        leader.book.end(p, False, "never started")  # it was stopped before it began
    for counter in range(5, 12):
        miss(leader, counter, gap_s=gap_s)
    assert not m.answer_receipt.excluded_from_work


def test_a_machine_whose_session_ended_gets_one_task_until_an_order_shows():
    leader = Leader()
    leader.heard(1, 2, EPOCH)
    leader.now += 2 * LEASE_S
    leader.heard(2, 3, EPOCH)
    m = leader.book.machines["n-1"]
    assert not m.answer_receipt.not_receiving and m.answer_receipt.task_limit == 1
    for counter in range(4, 9, 2):
        on = leader.give()
        m.placements[on.job, on.task, on.number].tenure = 2
        assert leader.heard(2, counter, EPOCH)[0][1]
        leader.now += 1.0
        leader.heard(2, counter + 1, EPOCH, [on])
    assert m.answer_receipt.task_limit == 0


def test_a_machine_with_nothing_to_do_is_trusted_again_once_its_session_outlives_a_lease():
    """A gang waited for ever: no order could show that its machine hears, as none was given."""
    leader = Leader()
    leader.heard(1, 2, EPOCH)
    leader.now += 2 * LEASE_S
    leader.heard(2, 3, EPOCH)
    m, rose_at, counter = leader.book.machines["n-1"], leader.now, 3
    while m.answer_receipt.task_limit:
        leader.now += REPORT_S
        counter += 1
        leader.heard(2, counter, EPOCH)
        assert leader.now - rose_at < LEASE_S + c.DEAF_GIVE_UP_S + 2 * REPORT_S
    assert leader.now - rose_at > LEASE_S  # until then its lease may yet end


def test_a_cut_a_hang_or_a_leader_that_stood_still_shows_no_deaf_machine():
    leader = Leader()
    leader.heard(1, 2, EPOCH)
    leader.now += 1.5 * LEASE_S
    leader.heard(1, 3, EPOCH)  # held back on the way
    leader.heard(1, 4, EPOCH)
    leader.heard(2, 5, EPOCH)
    assert not leader.book.machines["n-1"].answer_receipt.not_receiving


def test_a_machine_that_no_node_reaches_goes_from_one_to_the_next_and_is_known():
    leader = Leader()
    for counter in range(2, 6):
        miss(leader, counter, asked=False)
    assert leader.book.machines["n-1"].answer_receipt.not_receiving


def test_a_deaf_machine_heals_in_steps_or_goes_back():
    leader = Leader()
    leader.give()
    for counter in range(2, 6):
        miss(leader, counter)
    m = leader.book.machines["n-1"]
    assert m.answer_receipt.not_receiving
    for counter in range(6, 6 + c.DEAF_QUICK):
        miss(leader, counter, gap_s=REPORT_S)
    assert not m.answer_receipt.not_receiving and m.answer_receipt.task_limit == 1
    on = leader.give()
    assert leader.heard(1, 20, EPOCH)[0][1]
    miss(leader, 21, [on], gap_s=REPORT_S)
    assert m.answer_receipt.task_limit == c.DEAF_GROWTH

    leader = Leader()
    returned, counter = [], 2
    while not returned and leader.now < 300.0:
        counter += 1
        leader.heard(session(leader), counter, EPOCH, asked=False)
        returned = leader.tick(4.0)
    assert returned == ["n-1"] and leader.now < 100.0 + 4 * LEASE_S


def test_many_deaf_machines_are_a_way_that_is_cut_and_do_not_go_back():
    leader = Leader()
    names = [f"n-{i}" for i in range(1, 21)]
    counter = 1
    while leader.now < 100.0 + 3 * LEASE_S:
        counter += 1
        for name in names:
            leader.heard(session(leader), counter, EPOCH, machine=name, asked=False)
        assert leader.tick(4.0) == []
    returned = leader.tick(0.5)
    for _ in range(20):
        counter += 1
        for name in names:
            leader.heard(session(leader), counter, EPOCH, machine=name, asked=False)
        returned += leader.tick(4.0)
    assert len(returned) == 1  # a twentieth at a time, until the cloud has answered


def test_a_leader_that_stood_still_gives_nothing_back_for_the_silence_of_that_time():
    """A frozen leader woke after 14.7 s and meant to give its whole fleet back."""
    leader = Leader()
    leader.tick(1.0)
    leader.now += 3 * LEASE_S
    assert leader.tick(LEASE_S) == []
    assert leader.tick(5.0) == ["n-1"]  # silent since


def test_a_new_leader_learns_from_the_cloud_how_long_a_machine_was_paid_for():
    leader = Leader()
    row = ListedMachine("n-1", "10.0.0.1:9", flavor().name, "north", False, "running", 300.0)
    leader.owner.work([cm.CloudList([row])])
    assert leader.book.machines["n-1"].known_since == leader.now - 300.0


def inspected(leader, tenure, counter, epoch=EPOCH, tasks=()):
    """The machine's answer to a direct request."""
    report = Report(
        "n-1", "10.0.0.1:9", flavor().name, "north", False, tenure, counter, epoch, None,
        list(tasks),
    )  # fmt: skip
    request = cm.DirectRequest("n-1", "10.0.0.1:9", EPOCH, tenure, [])
    leader.owner.work([cm.DirectAnswer(request, report)])


def absent(leader) -> bool:
    """A run was told and stopped, and a direct answer lacks it; whether that ends the attempt."""
    leader.give()
    assert leader.heard(1, 2, EPOCH)[0][1]
    m = leader.book.machines["n-1"]
    for p in m.placements.values():
        leader.book.stop(p, 0.0, "a test")
    inspected(leader, 1, 3)
    return not m.placements


def test_what_a_direct_answer_lacks_may_yet_begin(monkeypatch):
    """The worker answers requests while it waits for the answer to a report, with the run in it."""
    leader = Leader()
    assert not absent(leader)
    leader.heard(1, 4, EPOCH)  # it gave that answer up, so it drops it
    assert not leader.book.machines["n-1"].placements
    honest = leader.owner.reports._tasks.__func__
    monkeypatch.setattr(
        "coveflow.daemon.reports.Reports._tasks",
        lambda self, m, report, now, absence=True: honest(self, m, report, now),
    )
    assert absent(Leader())


def test_a_direct_answer_takes_no_held_answer_and_no_order_from_later_reports():
    leader = Leader()
    waiting = leader.heard(1, 5, EPOCH, patient=True)
    inspected(leader, 1, 6)
    assert waiting == [] and leader.book.held["n-1"].waits()
    inspected(leader, 1, 4)
    assert leader.book.machines["n-1"].newest_report == (1, 6)


def test_a_direct_answer_brings_no_machine_back_that_is_gone():
    """Made just before its return, it came after the cloud's word and before the commit."""
    leader = Leader()
    leader.give()
    m = leader.book.machines["n-1"]
    m.returning = m.returning_for_silence = True
    leader.owner.work([cm.Returned(["n-1"])])
    inspected(leader, 1, 9)
    assert m.returning and not m.up


def test_a_direct_answer_of_a_later_session_frees_what_was_there_and_the_machine_stays():
    leader = Leader()
    on = leader.give()
    leader.heard(1, 2, EPOCH, [on])
    asked = []
    for _ in range(int(8 * LEASE_S)):
        leader.tick(0.5)
        asked += [data for kind, data in leader.effects if kind == "direct"]
        assert not any(kind == "return" for kind, _ in leader.effects)
        for request in [data for kind, data in leader.effects if kind == "direct"]:
            tenure = 1 + int((leader.now - 100.0) / LEASE_S)
            inspected(leader, tenure, len(asked) + 2)
            assert not leader.book.machines[request.machine].placements
    assert 5 < len(asked) < 20 and not any(request.stops for request in asked)


def test_a_told_of_report_is_evidence_and_gets_no_answer():
    leader = Leader()
    on = leader.give()
    ready: list = []
    done = TaskReport(on.job, on.task, on.number, "exited", "done")
    report = Report("n-1", "10.0.0.1:9", flavor().name, "north", False, 1, 9, EPOCH, None, [done])
    leader.owner.work([cm.Heard(report, BatchedAnswer(("n-1", 1, 9), ready), asked=False)])
    assert not leader.book.machines["n-1"].placements and ready == []
