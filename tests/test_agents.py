"""Reports that reach the leader only through the store, and when leases may be kept alive."""

import asyncio
from types import SimpleNamespace

import cbor2

from coveflow import owner as o
from coveflow.agents import Agents
from coveflow.peers import Peers
from tests.world import CANCEL_S, LEASE_S, node_settings

BEAT = {
    "host": "n-1", "endpoint": "10.0.0.1:9", "flavor": "m8", "site": "north", "borrowed": False,
    "tenure": 1, "counter": 7, "epoch": 3, "warning_s": None, "pieces": [],
}  # fmt: skip


class Mailbox:
    """A store whose mails are answered by a leader, as `answer` decides."""

    def __init__(self, answer) -> None:
        self.contact, self.answer, self.agents = 1e9, answer, None

    async def commit(self, guards, writes):
        ((key, value),) = writes.items()
        assert key == o.MAIL + "b" and value["reports"]["n-1"]["counter"] == 7
        self.agents.replied(self.answer(value))
        return 1


def follower(answer, clock=lambda: 100.0):
    settings = node_settings("b", [])
    owner = o.Owner(settings, o.Tuning(), clock, clock)
    owner.view = o.View(3, "a", ["a", "b"], 1)
    store = Mailbox(answer)
    peers = Peers(settings, None, clock, dict, None)
    store.agents = Agents(settings, owner, peers, clock, lambda: 100.0, store)
    return store.agents


def beat(agents) -> dict:
    return cbor2.loads(asyncio.run(agents.handle(cbor2.dumps(BEAT))).body)


def test_a_report_that_cannot_reach_the_leader_is_answered_through_the_store():
    run = {"epoch": 3, "orders": [{"verb": "run", "piece": "j-000001/0", "try": 1}]}
    agents = follower(lambda mail: {"boot": mail["boot"], "answers": {"n-1": [1, 7, run]}})
    assert beat(agents) == run


def test_an_answer_to_another_report_is_dropped(monkeypatch):
    """A run for an older report would reach the worker late."""
    monkeypatch.setattr("coveflow.agents.MAIL_WAIT_S", 0.05)
    run = {"epoch": 3, "orders": [{"verb": "run", "piece": "j-000001/0", "try": 1}]}
    agents = follower(lambda mail: {"boot": mail["boot"], "answers": {"n-1": [1, 6, run]}})
    assert beat(agents) == {"epoch": 3, "orders": []}


def test_leases_are_not_kept_once_a_cancellation_could_be_unknown():
    now = SimpleNamespace(t=100.0)
    agents = follower(lambda mail: {"boot": "", "answers": {}}, lambda: now.t)
    agents.peers.known_at = lambda: -1e9
    assert agents.may_keep_alive()
    now.t = 100.0 + CANCEL_S - LEASE_S
    assert not agents.may_keep_alive()
    assert asyncio.run(agents.handle(cbor2.dumps(BEAT))).status == 503


def test_a_restarted_members_word_about_cancellations_does_not_count():
    peer = SimpleNamespace(boot="one", trusted_boot="one", answered=50.0)
    peers = Peers(node_settings("b", []), None, lambda: 60.0, dict, None)
    peers.peers = {"a": peer}
    assert peers.known_at() == 50.0
    peer.boot = "two"
    assert peers.known_at() < 0
