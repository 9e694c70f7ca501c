"""Reports that reach the leader only through the store, and when leases may be renewed."""

import asyncio
import gc
from types import SimpleNamespace

import cbor2
import msgspec
import pytest

from coveflow import constants as c
from coveflow import wire
from coveflow.core import delivery, leases
from coveflow.core.cancellations import Cancellations, PeerConfirmations
from coveflow.core.contacts import NEVER, Contact
from coveflow.core.model import Machine, Order
from coveflow.daemon import commands as cm
from coveflow.daemon import owner as o
from coveflow.daemon.report_handler import ReportHandler
from coveflow.lab.replies import Reply
from coveflow.membership.peers import RELAY_PATH, Peer, Peers
from coveflow.net.http import Unavailable
from coveflow.settings import Member
from coveflow.state import keys as sk
from coveflow.state import records
from tests.samples import flavor
from tests.samples import spec as job_spec
from tests.world import CANCEL_S, LEASE_S, node_settings

REPORT = {
    "host": "n-1", "endpoint": "10.0.0.1:9", "flavor": "m8", "site": "north", "borrowed": False,
    "tenure": 1, "counter": 7, "epoch": 3, "warning_s": None, "pieces": [],
}  # fmt: skip


class FakeMailStore:
    """A fake store in which a leader replies to each mail with `answer(mail)`."""

    def __init__(self, answer) -> None:
        self.contact_at, self.answer, self.handler, self.rev = 1e9, answer, None, 0

    async def get(self, key):
        return None, 0

    async def commit_with_retry(self, guards, writes, deadline, proof):
        ((key, value),) = writes.items()
        assert key == sk.MAIL + "b" and value["reports"]["n-1"][5] >= 7
        assert guards == {key: self.rev} and proof == key
        self.rev += 1
        self.handler.mailbox.deliver(self.answer(value))
        return self.rev


def follower(answer, clock=lambda: 100.0):
    settings = node_settings("b", [])
    owner = o.Owner(settings, o.Tuning(), clock, clock)
    owner.inbox.view = sk.View(3, "a", ["a", "b"], 1)
    store = FakeMailStore(answer)
    peers = Peers(settings, None, clock, dict, None)
    peers.suspicion.started_at = clock() - 60.0  # the leader has been silent since then
    owner.cancellations.record_store_contact(100.0)
    store.handler = ReportHandler(settings, owner, peers, clock, store)
    return store.handler


def ping_answer(node: str, **fields) -> dict:
    """That node's answer to a ping."""
    answer = {"name": node, "boot": "x", "epoch": 4, "leading": True, "store_age": 0.1}
    answer |= {"hears": {}, "counts": {}, "cancelled": {}}
    return answer | {"view": sk.encode_view(sk.View(4, "b", ["b"], 12)), "view_rev": 12} | fields


def send_report(handler, **fields) -> dict:
    return cbor2.loads(asyncio.run(handler.handle(cbor2.dumps(REPORT | fields))).body)


def test_a_report_that_cannot_reach_the_leader_is_answered_through_the_store():
    run = {"epoch": 3, "orders": [{"verb": "run", "piece": "j-000001/0", "try": 1}]}
    handler = follower(lambda mail: {"boot": mail["boot"], "answers": {"n-1": [1, 7, run]}})
    assert send_report(handler) == run


def test_an_answer_to_another_report_is_dropped(monkeypatch):
    """A run ordered for an older report would reach the worker too late."""
    monkeypatch.setattr("coveflow.constants.MAIL_ANSWER_S", 0.05)
    run = {"epoch": 3, "orders": [{"verb": "run", "piece": "j-000001/0", "try": 1}]}
    handler = follower(lambda mail: {"boot": mail["boot"], "answers": {"n-1": [1, 6, run]}})
    assert send_report(handler) == {"epoch": 3, "orders": []}


def test_leases_are_not_renewed_once_a_cancellation_could_be_unknown():
    now = SimpleNamespace(t=100.0)
    handler = follower(lambda mail: {"boot": "", "answers": {}}, lambda: now.t)
    assert handler.intake.may_renew()
    now.t = 100.0 + CANCEL_S - LEASE_S
    assert not handler.intake.may_renew()
    assert asyncio.run(handler.handle(cbor2.dumps(REPORT))).status == 503


def make_leader(handler, now) -> None:
    handler.owner.state.leading = 3
    handler.owner.put = lambda command: command.reply.set_result(wire.orders_answer(3, []))


def receive_newer_report(handler, now) -> None:
    handler.contacts.by_machine["n-1"] = Contact(1, 9, now.t)


def disconnect_store(handler, now) -> None:
    handler.store.contact_at = -1e9


def leader_without_answer(handler, now) -> None:
    """The leader is heard but does not answer a report before its timeout."""
    handler.connectivity.peers.suspicion.started_at = now.t

    async def ask(*_):
        now.t += c.REPORT_BATCH_ANSWER_S

    handler.carrier.ask = ask


def mailbox_without_answer(handler, now) -> None:
    async def ask(*_):
        return None

    handler.mailbox.ask = ask


async def by_http(handler) -> int:
    return (await handler.handle(cbor2.dumps(REPORT))).status


async def by_relay(handler) -> int:
    return 503 if await handler.intake.answer_relayed(cbor2.dumps(REPORT)) is None else 200


async def by_batch(handler) -> int:
    return (await handler.intake.answer_batch("", cbor2.dumps({"boot": "x", "reports": []})))[0]


FOLLOWERS = [
    (receive_newer_report, by_http), (disconnect_store, by_http), (leader_without_answer, by_http),
    (mailbox_without_answer, by_http),
]  # fmt: skip
LEADERS = [(make_leader, by_http), (make_leader, by_relay), (make_leader, by_batch)]


@pytest.mark.parametrize("prepare, way", FOLLOWERS + LEADERS)
def test_no_path_renews_a_lease_once_a_cancellation_could_be_unknown(prepare, way, monkeypatch):
    """Rule 5; without the guard, each of these paths renews the lease."""
    late = 100.0 + CANCEL_S - LEASE_S - c.CONTACT_MARGIN_S
    for at, status in ((late, 503), (late - 3.5, 200)):
        now = SimpleNamespace(t=at)
        handler = follower(lambda mail: {}, lambda now=now: now.t)
        prepare(handler, now)
        assert asyncio.run(way(handler)) == status
    monkeypatch.setattr(Cancellations, "may_renew", lambda self, now: True)
    now.t = late
    handler.contacts.by_machine.clear()
    prepare(handler, now)
    assert asyncio.run(way(handler)) == 200


def test_a_lease_is_not_renewed_after_a_long_wait_for_the_leader(monkeypatch):
    late = 100.0 + CANCEL_S - LEASE_S - c.CONTACT_MARGIN_S
    for guarded, status in ((True, 503), (False, 200)):
        now = SimpleNamespace(t=late - c.REPORT_BATCH_ANSWER_S)
        handler = follower(lambda mail: {}, lambda now=now: now.t)
        leader_without_answer(handler, now)
        if not guarded:
            handler.forwarder.may_renew = lambda: True
        assert asyncio.run(by_http(handler)) == status


@pytest.mark.parametrize("prepare", [prepare for prepare, _ in FOLLOWERS])
def test_a_renewal_without_the_leader_stops_cancelled_work_and_starts_none(prepare, monkeypatch):
    pieces = [{"piece": f"j-00000{i}/0", "try": 1, "status": "running"} for i in (1, 2)]

    def orders() -> list:
        now = SimpleNamespace(t=100.0)
        handler = follower(lambda mail: {}, lambda: now.t)
        handler.owner.cancellations.confirm("j-000001", 90.0, 99.0)
        prepare(handler, now)
        return send_report(handler, pieces=pieces)["orders"]

    assert orders() == [{"verb": "stop", "piece": "j-000001/0", "try": 1, "wind_down_s": 0.0}]
    monkeypatch.setattr(leases, "stop_orders", lambda report, cancelled: [])
    assert orders() == []


def test_a_leader_refused_only_by_the_store_learns_from_a_peer_that_it_is_deposed():
    """Otherwise its workers stay with it, and the new leader returns all of them as silent."""
    settings = node_settings("a", [])
    owner = o.Owner(settings, o.Tuning(), lambda: 9.0, lambda: 9.0)
    old = sk.View(3, "a", ["a", "b"], 7)
    owner.process_batch(
        [cm.InboxRows([(sk.VIEW, sk.encode_view(old), 7)], listed=7), cm.StartLeading(3, 7, [])]
    )
    assert owner.leading == 3
    rows = []
    peers = Peers(settings, None, lambda: 9.0, dict, None, lambda *row: rows.append(row))
    peers.apply_status(Peer(Member("b", "south", ""), None), ping_answer("b"), 8.9)
    owner.process_batch([cm.InboxRows([(sk.VIEW, *row)]) for row in rows])
    assert owner.leading == 0 and (owner.inbox.view.epoch, owner.inbox.view.leader) == (4, "b")


def test_machines_heard_by_a_leader_without_the_store_are_not_silent():
    now = SimpleNamespace(t=50.0)
    handler = follower(lambda mail: {}, lambda: now.t)
    handler.store.contact_at = 40.0
    handler.owner.state.leading = 3
    m = Machine("n-1", "", flavor(), "north", False)
    m.counter, m.last_report_at = 5, 49.0
    handler.owner.state.machines["n-1"] = m
    assert handler.heard_reports() == {"n-1": (1.0, 0, 5)}


def test_a_new_leader_waits_longer_for_unheard_machines_while_a_node_is_unreachable():
    now = SimpleNamespace(t=0.0)
    owner = o.Owner(node_settings("b", []), o.Tuning(), lambda: now.t, lambda: now.t)
    owner.state.leading = 4
    m = owner.state.machines["n-1"] = Machine("n-1", "", flavor(), "north", False)
    returned = []
    owner.context.effects = lambda kind, data: returned.append((now.t, kind, data))
    owner.context.all_peers_answer = lambda: False
    for t in range(1, 60):
        now.t = float(t)
        owner.process_batch([cm.Tick()])
    early = LEASE_S + 2.0
    assert not [r for r in returned if r[1] == "return" and r[0] <= early]
    assert [r[2] for r in returned if r[1] == "return"] == [["n-1"]]
    m.returning, returned[:], now.t = False, [], 0.0
    owner.context.all_peers_answer = lambda: True
    now.t = early + 1.0
    owner.process_batch([cm.Tick()])
    assert [r[2] for r in returned if r[1] == "return"] == [["n-1"]]


def test_a_node_about_to_lead_redirects_no_worker_to_itself():
    """The view names it, it has not taken over yet, and the others refuse it."""
    now = SimpleNamespace(t=100.0)
    handler = follower(lambda mail: {}, lambda: now.t)
    leader_without_answer(handler, now)
    inbox, peers = handler.owner.inbox, handler.connectivity.peers.peers
    peers["a"] = Peer(Member("a", "south", ""), None, boot="x", refuses_connections=True)
    inbox.view, inbox.members = sk.View(4, "b", ["a", "b"], 2), {"a": 1, "b": 2}
    answer = asyncio.run(handler.handle(cbor2.dumps(REPORT)))
    assert (answer.status, cbor2.loads(answer.body)) == (200, {"epoch": 4, "orders": []})
    assert handler.contacts.by_machine["n-1"].redirected_at == NEVER
    leader_without_answer(handler, now)
    inbox.view = sk.View(5, "a", ["a", "b"], 3)
    answer = asyncio.run(handler.handle(cbor2.dumps(REPORT | {"counter": 8})))
    assert (answer.status, cbor2.loads(answer.body)) == (421, {"reports_to": "a"})


def test_a_node_that_redirected_its_workers_does_not_count_as_cut_from_them():
    """Their silence made the node suspected, and it got no workers for a minute."""
    now = SimpleNamespace(t=100.0)
    handler = follower(lambda mail: {}, lambda: now.t)
    peers, handler.owner.inbox.members = handler.connectivity.peers, {"a": 1, "b": 2}
    peers.peers["a"] = Peer(Member("a", "south", ""), None, boot="x")

    async def carried(*_):
        return b""

    def report(counter: int) -> set[int]:
        now.t += 1.0
        peers.suspicion.started_at = now.t
        reports = [
            REPORT | {"host": f"n-{i}", "counter": counter} for i in range(c.CUT_MIN_MACHINES)
        ]
        return {asyncio.run(handler.handle(cbor2.dumps(one))).status for one in reports}

    handler.carrier.ask = carried
    assert [report(counter) for counter in range(9)] == [{200}] * 9
    assert handler.workers() == c.CUT_MIN_MACHINES
    peers.peers["a"].refuses_connections = True
    assert report(9) == {421}
    now.t += 4.0
    assert not handler.cut_from_workers() and handler.workers() == 0
    mailbox_without_answer(handler, now)
    assert report(10) == {200} and handler.workers() == c.CUT_MIN_MACHINES  # the workers returned
    now.t += 0.8 * LEASE_S
    assert handler.cut_from_workers()


def test_records_of_dead_machines_expire_where_no_other_node_asks():
    """A single or partitioned node kept a record of every machine that ever reported."""
    now = SimpleNamespace(t=100.0)
    handler = follower(lambda mail: {}, lambda: now.t)
    make_leader(handler, now)
    for i in range(300):
        now.t += 1.0
        handler.owner.cancellations.record_store_contact(now.t)
        send_report(handler, host=f"n-{i}", counter=i)
    assert len(handler.contacts.by_machine) < 5 * LEASE_S


def test_a_report_pending_by_mail_is_answered_by_this_node_once_it_leads(monkeypatch):
    """The report waited for a dead leader, and the new one did not hear of the machine."""
    monkeypatch.setattr("coveflow.constants.MAIL_ANSWER_S", 0.2)
    handler = follower(lambda mail: {"boot": "", "answers": {}})
    run = {"verb": "run", "piece": "j-000001/0", "try": 1}

    async def take_over() -> bytes:
        waiting = asyncio.create_task(handler.handle(cbor2.dumps(REPORT)))
        await asyncio.sleep(0.01)
        handler.owner.state.leading = 4
        answer = wire.orders_answer(4, [Order("run", "j-000001", 0, 1)])
        handler.owner.put = lambda command: command.reply.set_result(answer)
        handler.on_leadership_start()
        return (await waiting).body

    assert cbor2.loads(asyncio.run(take_over())) == {"epoch": 4, "orders": [run]}


def test_a_report_too_large_for_a_mail_does_not_block_others(monkeypatch):
    """The store rejected the mail, and the reports in it and those still pending were lost."""
    monkeypatch.setattr("coveflow.constants.MAIL_ANSWER_S", 0.3)
    monkeypatch.setattr("coveflow.constants.MAIL_INTERVAL_S", 0.01)
    handler = follower(lambda mail: {})
    written, limit = [], handler.owner.context.settings.params.state.value_kb * 1024

    async def commit_with_retry(guards, writes, deadline, proof):
        ((key, value),) = writes.items()
        if records.encoded_size(key, value) > limit:
            raise ValueError("commit: 400")
        written.append(value)
        return len(written)

    handler.store.commit_with_retry = commit_with_retry
    for i in range(200):
        alive = Contact(1, 1, 100.0, locally_renewed_at=100.0)
        handler.contacts.by_machine[f"n-00{i:04}-of-a-long-name"] = alive

    def body(host: str, tasks: int) -> bytes:
        pieces = [{"piece": f"j-{1000 + i}/0", "try": 1, "status": "exited", "cause": "done"}
                  for i in range(tasks)]  # fmt: skip
        return cbor2.dumps(REPORT | {"host": host, "pieces": pieces})

    async def play() -> None:
        sizes = {"n-1": 400, "n-2": 160, "n-3": 1}
        await asyncio.gather(*(handler.handle(body(name, n)) for name, n in sizes.items()))

    asyncio.run(play())
    assert [list(mail["reports"]) for mail in written] == [[], ["n-2"], ["n-3"]]
    assert len(written[0]["alive"]) > 100
    assert handler.contacts.by_machine["n-1"].locally_renewed_at == 100.0


def test_an_answer_too_large_for_a_reply_does_not_block_others():
    handler = follower(lambda mail: {})
    make_leader(handler, None)
    runs, written = [Order("run", f"j-{1000 + i}", 0, 1) for i in range(400)], []

    def put(command) -> None:
        if isinstance(command, cm.ReportReceived):
            orders = runs if command.report.machine == "n-1" else []
            command.reply.set_result(wire.orders_answer(3, orders))

    async def commit(guards, writes):
        written.append(writes[sk.REPLY + "c"])

    handler.owner.put, handler.store.commit = put, commit
    row = wire.mail_report_row(wire.read_report(cbor2.dumps(REPORT)))
    mail = {"boot": "x", "alive": [], "reports": {"n-1": row, "n-2": row}, "number": 4}
    asyncio.run(handler.mail_reader.answer("c", mail))
    answers = {"n-2": [1, 7, {"epoch": 3, "orders": []}]}
    assert written == [{"boot": "x", "answers": answers, "number": 4}]


def test_reports_without_task_ends_are_mailed_less_often():
    """With all reports of a partitioned zone in turn, those with task ends waited ten seconds."""
    now, mailed = SimpleNamespace(t=100.0), []

    def answer(mail):
        mailed.append(now.t)
        number = mail["reports"]["n-1"][5]
        return {"boot": mail["boot"], "answers": {"n-1": [1, number, {"epoch": 3, "orders": []}]}}

    handler = follower(answer, lambda: now.t)
    send_report(handler)
    now.t += 0.5
    assert send_report(handler, counter=8) == {"epoch": 3, "orders": []} and mailed == [100.0]
    ended = {"piece": "j-000001/0", "try": 1, "status": "exited", "cause": "done"}
    send_report(handler, counter=9, pieces=[ended])
    now.t += 5.0
    send_report(handler, counter=10)
    assert mailed == [100.0, 100.5, 105.5]


def test_a_machine_kept_alive_by_a_partitioned_node_is_not_returned():
    """Each got into a mail only every 15 s, and 110 of a zone's machines were returned."""
    now = SimpleNamespace(t=0.0)
    owner = o.Owner(node_settings("b", []), o.Tuning(), lambda: now.t, lambda: now.t)
    owner.state.leading = 4
    for name in ("n-1", "n-2"):
        m = owner.state.machines[name] = Machine(name, "", flavor(), "north", False)
        m.counter = 3
    returned = []
    owner.context.effects = lambda kind, data: returned.append(data)
    now.t = 10.0
    owner.process_batch([cm.LeasesRenewedByPeer(["n-1"])])
    now.t = LEASE_S + 2.0
    owner.process_batch([cm.Tick()])
    assert returned == [["n-2"]]


def test_a_hung_relay_leaves_time_to_answer_the_worker(monkeypatch):
    """A relay followed by a mail took longer than the worker's timeout."""
    now, relayed, mailed = SimpleNamespace(t=100.0), [], []
    handler = follower(lambda mail: {}, lambda: now.t)
    handler.owner.context.tuning = o.Tuning(homes=False)

    class Hanging:
        async def request(self, method, path, *, body, timeout_s):
            relayed.append(path)
            now.t += timeout_s
            raise Unavailable("hung")

    async def ask(report, has_end):
        mailed.append(report.counter)

    peer = Peer(Member("a", "south", ""), Hanging(), answered_at=99.9, boot="x", leading=True)
    handler.connectivity.peers.peers["a"], handler.mailbox.ask = peer, ask
    # The worker was redirected to the leader and bounced.
    handler.contacts.by_machine["n-1"] = Contact(1, 6, 99.0, redirected_at=99.0)
    assert send_report(handler) == {"epoch": 3, "orders": []}
    assert (relayed, mailed, now.t) == ([RELAY_PATH], [], 102.0)
    # Without a check of the remaining time, the report goes by mail as well.
    monkeypatch.setattr(
        delivery, "path_after_relay", lambda link, at, now: delivery.fallback_path(link, at)
    )
    peer.answered_at = now.t
    assert send_report(handler, counter=8) == {"epoch": 3, "orders": []}
    assert (relayed, mailed) == ([RELAY_PATH, RELAY_PATH], [8])


def test_an_unreadable_report_does_not_block_others(caplog):
    now = SimpleNamespace(t=100.0)
    handler = follower(lambda mail: {}, lambda: now.t)
    owner, heard = handler.owner, []
    owner.state.leading = 3
    owner.put = heard.append
    good = cbor2.dumps(REPORT)
    bad = [cbor2.dumps(REPORT | {"tenure": 0}), b"\xff", 7]
    body = cbor2.dumps({"boot": "x", "reports": [*bad, good], "seen": [b"", good]})
    for _ in range(50):
        assert asyncio.run(handler.intake.answer_batch("", body))[0] == 200
    assert len(heard) == 100 and [h.expects_answer for h in heard[:2]] == [True, False]
    for wrong in ({"reports": 3}, {"boot": "x", "reports": [], "seen": 3}):
        assert asyncio.run(handler.intake.answer_batch("", cbor2.dumps(wrong)))[0] == 400
    logged = [r for r in caplog.records if r.getMessage() == "reports that can't be read"]
    assert len(logged) == 1  # per minute


def test_a_duplicate_report_renews_nothing_and_is_not_published_as_heard():
    handler = follower(lambda mail: {"boot": "", "answers": {}}, lambda: 100.0)
    handler.store.contact_at = -1e9  # without the store, the node renews leases by itself
    assert send_report(handler, counter=9) == {"epoch": 3, "orders": []}
    assert handler.heard_reports() == {"n-1": (0.0, 1, 9)}
    handler.contacts.by_machine["n-1"].locally_renewed_at = NEVER
    assert send_report(handler, counter=8) == {"epoch": 3, "orders": []}
    assert handler.heard_reports() == {} and not handler.carrier.waiting
    peers = handler.connectivity.peers
    peers.peers["c"] = SimpleNamespace(hears={"n-1": (0.0, 1, 9)}, answered_at=100.0)
    assert peers.hears("n-1", 10.0, (1, 8)) and not peers.hears("n-1", 10.0, (1, 9))


def test_a_duplicate_report_gets_stops_of_cancelled_work_from_follower_and_leader():
    """The machine's counter may have restarted, in which case the answer renews its lease."""
    handler = follower(lambda mail: {"boot": "", "answers": {}}, lambda: 100.0)
    handler.store.contact_at = -1e9
    owner = handler.owner
    live = [{"piece": "j-000001/0", "try": 1, "status": "running"},
            {"piece": "j-000002/0", "try": 1, "status": "running"}]  # fmt: skip
    stops = [{"verb": "stop", "piece": "j-000001/0", "try": 1, "wind_down_s": 0.0}]
    owner.cancellations.peers["a"] = PeerConfirmations()
    owner.process_batch([cm.PeerCancellations("a", "x", {"j-000001": 90.0}, 99.0)])
    assert send_report(handler, counter=9, pieces=live)["orders"] == stops
    assert send_report(handler, counter=8, pieces=live)["orders"] == stops
    # Also by a leader that received a newer report, or recorded a later session.
    m = owner.state.machines["n-1"] = Machine("n-1", "", flavor(), "north", False)
    for m.tenure, m.counter in ((1, 50), (7, -1)):
        owner.state.leading, answers = 3, []
        report = wire.read_report(cbor2.dumps(REPORT | {"pieces": live}))
        owner.process_batch([cm.ReportReceived(report, Reply(answers.append))])
        assert cbor2.loads(answers[0])["orders"] == stops


@pytest.mark.parametrize(
    "bad",
    [
        {"name": "c"}, {"boot": 7}, {"epoch": "x"}, {"view": {"epoch": "x"}}, {"hears": {"n": 1}},
        {"cancelled": {"nonsense": 1.0}}, {"cancelled": {"j-000001": float("nan")}},
        {"cancelled": ["j-000001"]}, {"counts": 3}, {"store_age": None},
    ],
)  # fmt: skip
def test_an_unreadable_ping_answer_changes_nothing_and_is_logged_once_a_minute(bad, caplog):
    heard = []
    peers = Peers(
        node_settings("a", []), None, lambda: 9.0, dict, None, lambda *row: heard.append(row),
        on_cancellations=lambda *row: heard.append(row),
    )  # fmt: skip
    peer = Peer(Member("b", "south", ""), None)
    for _ in range(30):
        peers.apply_status(peer, ping_answer("b", **bad), 8.9)
    assert not heard and (peer.boot, peer.answered_at) == ("", -1e9)
    logged = [r for r in caplog.records if r.getMessage() == "words of nodes that can't be read"]
    assert len(logged) == 1
    peers.apply_status(peer, [], 8.9)
    old = ping_answer("b")
    del old["cancelled"]  # an older build: heard, but its confirmed cancellations are unknown
    peers.apply_status(peer, old, 8.9)
    assert peer.answered_at == 8.9 and heard[0] == ("b", "x", None, 8.9)


BAD_MAIL = [
    None, 3, {}, {"alive": 3, "boot": "x", "reports": {}},
    {"alive": [], "boot": "x", "reports": [1]},
    {"alive": [], "boot": "x", "reports": {"n-1": 3, "n-2": [1], "n-3": []}},
    {"alive": [], "boot": "x", "reports": {"n-1": ["", "", "", "", "one", "two", 3, None, {}]}},
    {"answers": {"n-1": [1]}, "boot": "x"}, {"answers": 3, "boot": "x"},
]  # fmt: skip


@pytest.mark.parametrize("value", BAD_MAIL, ids=str)
def test_unreadable_mail_does_not_end_leadership(value, caplog):
    gc.collect()  # asyncio logs what earlier tests left behind: let it do so before this one
    caplog.clear()
    handler = follower(lambda mail: {})
    owner = handler.owner
    owner.state.leading = 3
    for _ in range(5):
        asyncio.run(handler.mail_reader.answer("c", value))
        handler.mailbox.deliver(value)
        owner.process_batch([owner.queue.get_nowait() for _ in range(owner.queue.qsize())])
    assert owner.leading == 3
    logged = [r for r in caplog.records if r.getMessage() == "reports that can't be read"]
    assert len(logged) <= 1 and not [r for r in caplog.records if r.levelname == "ERROR"]


def test_unreadable_rows_of_the_store_hide_no_others():
    handler = follower(lambda mail: {})
    inbox, spec = handler.owner.inbox, job_spec("j-000007")
    good = {"spec": msgspec.to_builtins(spec), "at": 1.0}
    rows = [(sk.VIEW, {"epoch": "x"}, 5), (sk.VIEW, 3, 6), (sk.JOB + "j-000008", 3, 7),
            (sk.REPLY + "b", {"boot": "x"}, 8), (sk.JOB + "j-000007", good, 9)]  # fmt: skip
    handler.owner.context.effects = lambda kind, data: handler.mailbox.deliver(data)
    handler.owner.process_batch([cm.InboxRows(rows)])
    assert list(inbox.accepted) == ["j-000007"] and inbox.view.epoch == 3
