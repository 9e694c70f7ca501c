"""Copies of a start, or of the proof of its end, that arrive again or late.

docs/notes/late-starts.md lists the ways; each row names its test and planted fault here.
"""

import asyncio

import pytest

from coveflow.core.model import Machine, Order, Report
from coveflow.daemon.direct_requests import DirectRequests
from coveflow.daemon.mailbox import Mailbox, PendingReport
from coveflow.daemon.reports import Reports
from coveflow.membership.report_batches import BatchAnswer, BatchSender
from coveflow.whatif import world as w
from tests.samples import spec
from tests.world import Broken, World

JOB = "j-000001"
LONG_S = 400.0  # s that a task runs
COPIES_S = (0.3, 2.0, 13.0)  # s after a message at which copies of it arrive
KINDS = ("report", "answer", "transaction", "command", "rental", "return", "watch")


class CopiedMessages(World):
    """A world in which each message of one kind arrives again, several times.

    Reports of machines in `hold` are held back until `deliver_held`.
    """

    def __init__(self, kind: str = "", seed: int = 1, machines: int = 2) -> None:
        self.kind = kind
        self.hold: set[str] = set()
        self.held: list[tuple[w.WorkerLink, Report, float]] = []
        super().__init__(seed, machines, limit=None)
        self.network = w.Network(lambda: 0.01, lambda: 0.02, lambda: 0.2, lambda: False)
        self.truth.draw = lambda job: [LONG_S if job.id == JOB else 0.5] * job.tasks

    def again(self, kind: str, action) -> None:
        if self.kind == kind:
            for late_s in COPIES_S:
                self.at(late_s, action)

    def deliver(self, link: w.WorkerLink, report: Report, sent: float, target: str) -> None:
        if link.worker.name in self.hold:
            self.held.append((link, report, sent))
            return
        for node in self.names:
            self.again("report", lambda node=node: self._deliver_copy(link, report, sent, node))
        super().deliver(link, report, sent, target)

    def _deliver_copy(self, link: w.WorkerLink, report: Report, sent: float, node: str) -> None:
        """Deliver a copy to a node that leads; a redirect would not reach the worker."""
        owner = self.owners.get(node)
        if owner is not None and owner.leading:
            w.World.deliver(self, link, report, sent, node)

    def deliver_held(self, node: str) -> None:
        for link, report, sent in self.held:
            w.World.deliver(self, link, report, sent, node)
        self.held.clear()

    def answered(self, link, report, sent, epoch, orders) -> None:
        self.again("answer", lambda: World.answered(self, link, report, sent, epoch, orders))
        super().answered(link, report, sent, epoch, orders)

    def commit(self, name, owner, txn) -> None:
        guards, writes = dict(txn.guards), dict(txn.writes)
        self.again("transaction", lambda: self._write_late(writes, guards))
        super().commit(name, owner, txn)

    def _send_direct(self, name, owner, request) -> None:
        self.again("command", lambda: w.World._send_direct(self, name, owner, request))
        super()._send_direct(name, owner, request)

    def rent(self, name, owner, want) -> None:
        rental = f"late-{next(self.order)}"
        again = (rental, want.flavor, want.zone, want.spot, want.count)
        self.again("rental", lambda: self.cloud.rent(*again, self.now))
        super().rent(name, owner, want)

    def return_machines(self, name, owner, machines, epoch) -> None:
        self.again("return", lambda: self.cloud.return_machines(machines, self.now))
        super().return_machines(name, owner, machines, epoch)

    def deliver_rows(self, name, rows) -> None:
        self.again("watch", lambda: w.World.deliver_rows(self, name, rows))
        super().deliver_rows(name, rows)

    def until(self, condition) -> None:
        while not condition():
            assert self.now < 200.0
            self.run(self.now + 0.1)

    def running(self) -> w.WorkerLink | None:
        """The machine that runs a task of the job."""
        return next((link for link in self.workers if self.live(link)), None)

    def live(self, link: w.WorkerLink) -> list:
        tasks = link.worker.tasks.values()
        return [a for a in tasks if a.job == JOB and a.state == "running"]

    def fail_task(self, link: w.WorkerLink) -> None:
        """A task of the job ends with an error, so that it starts elsewhere or anew."""
        link.worker.record_exit(self.live(link)[0], "error", self.now)

    def change_leader(self) -> None:
        """The leader ends and another leads at once; its process is back within a second."""
        leader = next(name for name, owner in self.owners.items() if owner and owner.leading)
        self.crash(leader, back_s=0.4)
        self.elect(next(name for name in self.names if name != leader))


def start_job(world: CopiedMessages, tasks: int = 3) -> w.WorkerLink:
    world.at(1.0, lambda: world.submit(spec(JOB, tasks=tasks)))
    world.until(world.running)
    return world.running()


def submit_others(world: CopiedMessages) -> None:
    """Short jobs, so that every slot of the leader's records is written again and again."""
    for i in range(120):
        other = spec(f"j-{100 + i:06d}", tasks=1, cpus=0.1)
        world.at(2.0 + 0.3 * i, lambda job=other: world.submit(job))


def play(kind: str, between: str, restart: str) -> CopiedMessages:
    """Copies of one kind while tasks are moved, cancelled or cleared, and processes restart."""
    world = CopiedMessages(kind)
    if kind == "transaction":
        submit_others(world)
    link = start_job(world)
    world.run(world.now + 1.0)
    if between == "moved":
        world.fail_task(link)
    elif between == "cancelled":
        world.cancel(JOB)
    elif between == "cleared":
        for attempt in world.live(link):
            link.worker.finish((attempt.job, attempt.task, attempt.number), world.now)
    world.run(world.now + 0.6)
    if restart in ("controller", "both"):
        world.change_leader()
    if restart in ("machine", "both"):
        world.restart_worker(link, True)
    world.run(world.now + 60.0)
    if between == "cancelled":
        assert not world.running()
    if between == "nothing" and restart == "none":
        numbers = [a.number for link in world.workers for a in world.live(link)]
        assert numbers == [1, 1, 1], "a running task was taken for ended"
    return world


@pytest.mark.parametrize("restart", ["none", "machine", "controller", "both"])
@pytest.mark.parametrize("between", ["nothing", "moved", "cancelled", "cleared"])
@pytest.mark.parametrize("kind", KINDS)
def test_no_copy_starts_a_task_twice_or_after_its_cancellation(kind, between, restart):
    """Guards against a late copy of a start that runs a task on two machines or a cancelled one.

    The world's checker judges each start.
    """
    world = play(kind, between, restart)
    assert world.checker.starts


def play_late_exit() -> None:
    world = CopiedMessages()
    link = start_job(world, tasks=1)
    world.run(world.now + 3.0)
    world.hold.add(link.worker.name)
    world.fail_task(link)
    world.until(lambda: any(t.state == "exited" for _, r, _ in world.held for t in r.tasks))
    world.restart_worker(link, True)
    world.hold.clear()
    world.change_leader()
    world.until(world.running)
    world.run(world.now + 2.0)
    world.deliver_held("b")
    world.run(world.now + 60.0)
    assert world.running()


def test_a_late_exit_of_an_earlier_process_does_not_free_a_task_started_again():
    """Guards against a task on two machines: its machine restarted in its session, a report of its
    end was still on the way, and a new leader sent the start again under the same number."""
    play_late_exit()


def play_late_session() -> None:
    world = CopiedMessages(machines=1)
    world.run(8.0)
    (link,) = world.workers
    world.hold.add(link.worker.name)
    link.worker.tenure = 3
    world.until(lambda: world.held)
    world.restart_worker(link, True)
    world.hold.clear()
    world.change_leader()
    start_job(world, tasks=1)
    leader = world.leader()
    world.deliver_held(leader.context.settings.name)
    world.run(world.now + 0.3)
    (placement,) = leader.state.jobs[JOB].placed.values()
    assert placement.number == 1, "the attempt is believed gone while it runs"


def play_late_command() -> None:
    world = CopiedMessages("command")
    sent: list[float] = []
    link = start_job(world, tasks=1)
    world.run(world.now + 2.0)
    real = world._send_direct

    def send(name, owner, request) -> None:
        sent.append(world.now)
        real(name, owner, request)

    world._send_direct = send
    world.hold.add(link.worker.name)  # it reaches no controller; requests to it arrive
    held_at = world.now
    world.until(lambda: sent or world.now > held_at + 5.0)
    world.fail_task(link)
    world.run(world.now + 1.2)
    world.restart_worker(link, True)
    world.run(world.now + 40.0)


def test_a_late_command_starts_nothing_at_a_machine_that_restarted():
    """Guards against a start by a command held up on its way, after the task was moved."""
    play_late_command()


def test_a_late_report_of_a_later_session_does_not_end_what_this_leader_sent():
    """Guards against a task on two machines: its machine restarted under its first session, and a
    report of its former, later session came after the start."""
    play_late_session()


def play_late_exit_under_one_leader() -> None:
    """The machine restarts in its session; its counter passes that of its last report in time."""
    world = CopiedMessages(machines=2)
    link = start_job(world, tasks=1)
    world.until(lambda: world.leader().state.jobs[JOB].placed[0].state == "running")
    world.hold.add(link.worker.name)
    held_from = world.now
    world.until(lambda: world.now > held_from + 3.0)
    link.worker.counter += 8  # answers to direct requests, none of which arrived
    world.fail_task(link)
    world.until(lambda: any(t.state == "exited" for _, r, _ in world.held for t in r.tasks))
    world.restart_worker(link, True)
    link.worker.counter = world.held[0][1].counter - 1
    world.hold.clear()
    world.until(world.running)
    world.run(world.now + 1.0)
    world.deliver_held(world.leader().context.settings.name)
    world.run(world.now + 60.0)
    assert world.running()


def test_a_late_exit_of_an_earlier_process_frees_no_task_under_one_leader():
    """Guards against a task on two machines: its machine restarted in its session, the leader sent
    the start again under the same number, and a late report told of the first start's end."""
    play_late_exit_under_one_leader()


def play_late_exit_of_an_attempt_never_shown() -> None:
    """As above, but no report of the first process that shows the attempt arrives in time."""
    world = CopiedMessages(machines=2)
    world.at(1.0, lambda: world.submit(spec(JOB, tasks=1)))
    while not world.running():
        assert world.now < 60.0
        for link in world.workers:
            if any(attempt.job == JOB for attempt in link.worker.tasks.values()):
                world.hold.add(link.worker.name)
        world.run(world.now + 0.01)
    link = world.running()
    assert not world.leader().state.jobs[JOB].placed[0].state
    counter = link.worker.counter
    link.worker.counter += 8  # answers to direct requests, none of which arrived
    world.fail_task(link)
    world.until(lambda: any(t.state == "exited" for _, r, _ in world.held for t in r.tasks))
    world.restart_worker(link, True)
    link.worker.counter = counter
    world.hold.clear()
    world.until(world.running)
    world.run(world.now + 1.0)
    world.deliver_held(world.leader().context.settings.name)
    world.run(world.now + 60.0)
    assert world.running()


def test_a_late_exit_of_an_attempt_never_shown_frees_no_task_that_was_sent_again():
    """Guards against a task on two machines: its start and its end were in reports still on their
    way when the machine restarted and got the start again under the same number."""
    play_late_exit_of_an_attempt_never_shown()


def deliver_batch_answer(answer_to: int, waiting: int) -> bytes | None:
    """What a home passes on of the leader's answer to a report, while another one waits."""

    async def deliver() -> bytes | None:
        sender = BatchSender.__new__(BatchSender)
        sender.epoch = lambda: 3
        future = asyncio.get_running_loop().create_future()
        key = ("n-1", 1, waiting)
        sender.waiting = {"n-1": type("Pending", (), {"key": key, "future": future})()}
        sender._deliver_answers(BatchAnswer(3, [("n-1", 1, answer_to, b"run")]))
        return future.result() if future.done() else None

    return asyncio.run(deliver())


def test_a_batch_answer_reaches_its_own_report_only():
    assert deliver_batch_answer(5, 5) == b"run"
    assert deliver_batch_answer(4, 5) is None


def deliver_mail_reply(number: int | None) -> bool:
    """Whether a reply is passed on to a report with its counter that is in the second mail."""

    async def deliver() -> bool:
        mailbox = Mailbox.__new__(Mailbox)
        mailbox.boot = "x"
        report = Report("n-1", "", "m8", "north", False, 1, 5, 3, None, [])
        future = asyncio.get_running_loop().create_future()
        entry = PendingReport(report, [], 10, future, False, written=True, mail=2)
        mailbox.pending = {"n-1": entry}
        orders = {"epoch": 3, "orders": [{"verb": "run", "piece": f"{JOB}/0", "try": 1}]}
        value = {"boot": "x", "answers": {"n-1": [1, 5, orders]}}
        mailbox.deliver(value if number is None else value | {"number": number})
        return future.done()

    return asyncio.run(deliver())


def test_a_mail_reply_reaches_only_reports_of_the_mail_that_it_answers():
    """Guards against a start read again from the store: a machine that restarted in its session
    uses the counter of the answered report once more."""
    assert deliver_mail_reply(2)
    assert not deliver_mail_reply(1)
    assert deliver_mail_reply(None)  # of an earlier build


# --- a planted fault for each way ------------------------------------------------------------


def plant_copies_applied(monkeypatch) -> None:
    """Copies of reports count as new ones, and what is absent from any report is proven gone."""
    real = Reports._apply_tasks

    def apply(self, m, report, now, absence=True) -> bool:
        listed = {(t.job, t.task, t.number) for t in report.tasks}
        for p in [p for p in m.placements.values() if p.key not in listed]:
            if p.sent_with_report >= 0:
                self.state.end(p, False, "never started")
        return real(self, m, report, now, absence)

    monkeypatch.setattr(Machine, "newest_report", property(lambda self: (-1, -1)))
    monkeypatch.setattr(Reports, "_apply_tasks", apply)


def plant_older_exits_trusted(monkeypatch) -> None:
    """Reports from before a start prove its end."""
    monkeypatch.setattr(Reports, "_precedes_start", lambda self, report, p: False)


def plant_transactions_without_guards(monkeypatch) -> None:
    """Copies of transactions overwrite the leader's records."""
    monkeypatch.setattr(World, "_write_late", lambda self, writes, guards: self.write(writes, {}))


def plant_runs_in_commands(monkeypatch) -> None:
    """Starts go to machines directly, too."""

    def all_runs(self, m, *_) -> list[Order]:
        return [Order("run", *key) for key in m.placements]

    monkeypatch.setattr(DirectRequests, "_stops", all_runs)


def plant_answers_to_any_report(monkeypatch) -> None:
    """A worker's answer goes to whatever report waits, as if homes did not compare counters."""

    def deliver(self, batch_answer) -> None:
        for machine, _, _, answer in batch_answer.answers:
            self.waiting[machine].future.set_result(answer)

    monkeypatch.setattr(BatchSender, "_deliver_answers", deliver)


def plant_replies_without_number(monkeypatch) -> None:
    real = Mailbox.deliver

    def deliver(self, value) -> None:
        real(self, {name: it for name, it in value.items() if name != "number"})

    monkeypatch.setattr(Mailbox, "deliver", deliver)


def plant_exits_trusted_at_once(monkeypatch) -> None:
    """An exit of an attempt that was sent again counts with the first report of it."""
    monkeypatch.setattr(Reports, "_is_exit_proven", lambda *_: True)


PLANTED = {
    "report: copies are applied": (
        plant_copies_applied, lambda: play("report", "nothing", "none"),
    ),
    "report: older exits are trusted": (plant_older_exits_trusted, play_late_exit),
    "report: exits are trusted at once": (
        plant_exits_trusted_at_once, play_late_exit_of_an_attempt_never_shown,
    ),
    "transaction: no guards": (
        plant_transactions_without_guards, lambda: play("transaction", "moved", "controller"),
    ),
    "command: starts go there too": (plant_runs_in_commands, play_late_command),
    "batch: answers to any report": (
        plant_answers_to_any_report, test_a_batch_answer_reaches_its_own_report_only,
    ),
    "mail: replies without number": (
        plant_replies_without_number,
        test_a_mail_reply_reaches_only_reports_of_the_mail_that_it_answers,
    ),
}  # fmt: skip


@pytest.mark.parametrize("fault", PLANTED)
def test_planted_fault_is_found(monkeypatch, fault):
    plant, check = PLANTED[fault]
    plant(monkeypatch)
    with pytest.raises((AssertionError, Broken)):
        check()
