"""Decisions about a worker's report: accept or redirect, path to the leader, lease renewal."""

from collections.abc import Callable
from dataclasses import dataclass, field

import pytest
from hypothesis import given
from hypothesis import strategies as st

from coveflow import constants as c
from coveflow.core import delivery, leases, redirects
from coveflow.core.arrivals import Arrivals
from coveflow.core.contacts import NEVER, Contact, Contacts
from coveflow.core.delivery import DeliveryPath
from coveflow.core.model import Order, Report, TaskReport

LEASE_S, REPORT_S, NOW = 10.0, 2.5, 100.0


def report(counter: int = 1, tenure: int = 1, tasks: tuple[TaskReport, ...] = ()) -> Report:
    return Report("n-1", "", "m8", "north", False, tenure, counter, 3, None, list(tasks))


def contact(**moments: float) -> Contact:
    return Contact(1, 1, NOW, **moments)


@dataclass
class FakeLinks:
    """What a node knows about its links to the others; healthy by default."""

    name: str = "b"
    store: bool = True
    cut: bool = False
    mates: list[str] = field(default_factory=list)
    homes: dict[str, str] = field(default_factory=dict)
    member: bool = True
    answers: bool = True
    lost: bool = False
    refusing: bool = False
    alone: bool = False

    def cut_off(self, now: float) -> bool:
        return self.cut

    def lost_zone_nodes(self) -> list[str]:
        return self.mates

    def home(self, machine: str, zone: str, now: float) -> str:
        return self.homes.get(machine, self.name)

    def store_fresh(self, now: float) -> bool:
        return self.store

    def leader_is_member(self) -> bool:
        return self.member

    def leader_answers(self) -> bool:
        return self.answers

    def leader_lost(self, now: float) -> bool:
        return self.lost

    def refused(self, now: float) -> bool:
        return self.refusing and self.store

    def isolated_from_nodes(self, now: float) -> bool:
        return self.alone and self.store


# --- new and late reports ----------------------------------------------------------------


@given(st.lists(st.tuples(st.integers(1, 3), st.integers(0, 9)), max_size=40))
def test_only_newer_reports_are_accepted(numbers):
    contacts, newest = Contacts(LEASE_S), (0, -1)
    for tenure, counter in numbers:
        news = contacts.record(report(counter, tenure), NOW) is not None
        assert news == ((tenure, counter) > newest)
        newest = max(newest, (tenure, counter))


def test_a_machine_whose_counter_restarts_is_not_ignored_forever():
    contacts = Contacts(LEASE_S)
    assert contacts.record(report(9, 4), NOW)
    contacts.expire(NOW + 2 * LEASE_S)
    assert contacts.record(report(0, 1), NOW + 2 * LEASE_S) is None
    contacts.expire(NOW + 2 * LEASE_S + 0.1)
    assert contacts.record(report(0, 1), NOW + 2 * LEASE_S + 0.1)


def test_a_machine_is_announced_until_its_lease_expires():
    contacts = Contacts(LEASE_S)
    machine = contacts.record(report(9, 4), NOW)
    assert contacts.count_workers(NOW) == 0 and contacts.answered_reports(NOW) == {}
    machine.accepted_at = machine.locally_renewed_at = NOW
    assert (
        contacts.count_workers(NOW + LEASE_S) == 1
        and contacts.count_workers(NOW + LEASE_S + 0.1) == 0
    )
    assert contacts.answered_reports(NOW + LEASE_S) == {"n-1": (LEASE_S, 4, 9)}
    assert contacts.answered_reports(NOW + LEASE_S + 0.1) == {}
    assert list(contacts.locally_renewed(NOW + 3.9, 4.0)) == ["n-1"]
    assert not list(contacts.locally_renewed(NOW + 4.0, 4.0))


def test_silence_is_a_cut_only_if_enough_workers_reported():
    for workers, cut in ((c.CUT_MIN_MACHINES - 1, False), (c.CUT_MIN_MACHINES, True)):
        arrivals = Arrivals(REPORT_S, 0.0)
        assert arrivals.is_silent(0.0)
        for at in range(40):
            arrivals.record_report(at * 0.5)
        late = 20.0 + LEASE_S
        assert not arrivals.detect_cut(19.6, workers) and arrivals.is_silent(late)
        assert arrivals.detect_cut(late, workers) == cut == arrivals.is_cut(late)
        assert not arrivals.detect_cut(late, workers) and not arrivals.is_cut(late + c.CUT_KEPT_S)
        arrivals.record_report(late)
        assert not arrivals.is_cut(late) and not arrivals.is_silent(late)


# --- where a worker reports --------------------------------------------------------------


@given(st.lists(st.tuples(st.floats(0.1, 9.0), st.booleans()), max_size=40))
def test_a_worker_that_bounces_is_not_redirected_again_for_a_while(steps):
    nodes, machine, now, sent_at, bounced_at = FakeLinks(), contact(), NOW, NEVER, NEVER
    for pause_s, elsewhere in steps:
        now += pause_s
        nodes.homes["n-1"] = "c" if elsewhere else "b"
        redirect = redirects.decide(report(), machine, nodes, True, now)
        assert (machine.accepted_at == NEVER) == (redirect is not None)
        if redirect is not None:
            assert (redirect.node, redirect.forwards_report) == ("c", True) and elsewhere
            assert now - sent_at >= c.REDIRECT_RETURN_S and now - bounced_at >= c.RELAY_PERIOD_S
            sent_at = now
        elif elsewhere and now - bounced_at >= c.RELAY_PERIOD_S:
            assert now - sent_at < c.REDIRECT_RETURN_S
            bounced_at = now


def test_workers_are_redirected_only_if_machines_have_homes():
    nodes = FakeLinks(homes={"n-1": "c"})
    assert redirects.decide(report(), contact(), nodes, False, NOW) is None
    nodes.homes["n-1"] = ""
    assert redirects.decide(report(), contact(), nodes, True, NOW) is None


@given(st.lists(st.floats(0.0, 9.0), max_size=20), st.lists(st.sampled_from("cdef"), unique=True))
def test_an_isolated_node_redirects_a_worker_to_each_zone_node_once_per_spell(pauses, mates):
    nodes, machine, now, begun, tried = FakeLinks(cut=True, mates=mates), contact(), NOW, NOW, []
    for pause_s in pauses:
        now += pause_s
        if now - begun > c.RELAY_PERIOD_S:
            tried = []
        redirect = redirects.decide(report(), machine, nodes, True, now)
        assert (redirect is None) == (sorted(tried) == sorted(mates))
        if redirect is not None:
            assert redirect.node in mates and redirect.node not in tried
            assert not redirect.forwards_report and machine.accepted_at == NEVER
            begun = begun if tried else now
            tried.append(redirect.node)


# --- the path of a report to the leader --------------------------------------------------

FRESH, BOUNCED, RELAYED = {}, {"redirected_at": NOW - 5.0}, {"relay_until": NOW + 1.0}
BY_HOME = [
    (dict(), FRESH, DeliveryPath.BATCH),
    (dict(answers=False), BOUNCED, DeliveryPath.BATCH),
    (dict(lost=True), FRESH, DeliveryPath.MAILBOX),
    (dict(lost=True, store=False), FRESH, DeliveryPath.KEEP_ALIVE),
    (dict(lost=True, alone=True), FRESH, DeliveryPath.REDIRECT),
    (dict(lost=True, alone=True), BOUNCED, DeliveryPath.MAILBOX),
    (dict(lost=True, alone=True), RELAYED, DeliveryPath.MAILBOX),
    (dict(lost=True, alone=True, member=False), FRESH, DeliveryPath.MAILBOX),
    (dict(lost=True, alone=True, store=False), FRESH, DeliveryPath.KEEP_ALIVE),
    (dict(refusing=True), FRESH, DeliveryPath.REDIRECT),
    (dict(refusing=True), BOUNCED, DeliveryPath.MAILBOX),
    (dict(refusing=True), RELAYED, DeliveryPath.MAILBOX),
    (dict(refusing=True, member=False), FRESH, DeliveryPath.KEEP_ALIVE),
    (dict(refusing=True, store=False), FRESH, DeliveryPath.BATCH),
]
BY_FOLLOWER = [
    (dict(), FRESH, DeliveryPath.REDIRECT),
    (dict(), BOUNCED, DeliveryPath.RELAY),
    (dict(), RELAYED, DeliveryPath.RELAY),
    (dict(answers=False), FRESH, DeliveryPath.MAILBOX),
    (dict(answers=False), BOUNCED, DeliveryPath.MAILBOX),
    (dict(answers=False, store=False), FRESH, DeliveryPath.KEEP_ALIVE),
]


@pytest.mark.parametrize(
    "decide, rows", [(delivery.path_at_home, BY_HOME), (delivery.path_at_follower, BY_FOLLOWER)]
)
def test_the_path_of_a_report_to_the_leader(decide: Callable[..., DeliveryPath], rows):
    for facts, moments, way in rows:
        machine = contact(**moments)
        assert decide(machine, FakeLinks(**facts), NOW) is way, (facts, moments)
        assert (machine.redirected_at == NOW) == (way is DeliveryPath.REDIRECT)


AFTER_BATCH = [
    (dict(), FRESH, 3.2, DeliveryPath.KEEP_ALIVE),
    (dict(refusing=True), FRESH, 3.2, DeliveryPath.REDIRECT),
    (dict(refusing=True), BOUNCED, 0.9, DeliveryPath.MAILBOX),
    (dict(refusing=True), BOUNCED, 1.0, DeliveryPath.KEEP_ALIVE),
    (dict(refusing=True, member=False), FRESH, 0.1, DeliveryPath.KEEP_ALIVE),
]


def test_the_path_of_a_report_that_the_leader_did_not_answer():
    for facts, moments, took_s, way in AFTER_BATCH:
        found = delivery.path_after_batch(contact(**moments), FakeLinks(**facts), NOW, NOW + took_s)
        assert found is way, (facts, moments, took_s)
    assert delivery.path_after_relay(FakeLinks(), NOW, NOW + 1.0) is DeliveryPath.MAILBOX
    assert delivery.path_after_relay(FakeLinks(), NOW, NOW + 1.1) is DeliveryPath.KEEP_ALIVE
    assert delivery.path_after_relay(FakeLinks(store=False), NOW, NOW) is DeliveryPath.KEEP_ALIVE


def test_mailed_reports_without_a_task_end_are_rate_limited():
    machine = contact()
    assert delivery.admit_to_mailbox(machine, False, NOW)
    assert not delivery.admit_to_mailbox(machine, False, NOW + c.MAIL_MACHINE_INTERVAL_S - 0.1)
    assert delivery.admit_to_mailbox(machine, True, NOW + c.MAIL_MACHINE_INTERVAL_S - 0.1)
    assert not delivery.admit_to_mailbox(machine, False, NOW + c.MAIL_MACHINE_INTERVAL_S)


# --- orders in every answer --------------------------------------------------------------

TASKS = st.builds(
    TaskReport,
    job=st.sampled_from(["j-1", "j-2", "j-3"]),
    task=st.integers(0, 4),
    number=st.integers(1, 3),
    state=st.sampled_from(["pulling", "waiting", "running", "flushing", "exited"]),
)


@given(st.lists(TASKS, max_size=12), st.sets(st.sampled_from(["j-1", "j-2", "j-3"])))
def test_an_answer_that_renews_a_lease_stops_exactly_the_cancelled_work(tasks, cancelled):
    orders = leases.stop_orders(report(tasks=tuple(tasks)), cancelled.__contains__)
    due = [t for t in tasks if t.state != "exited" and t.job in cancelled]
    assert orders == [Order("stop", t.job, t.task, t.number) for t in due]
