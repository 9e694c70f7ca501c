"""Tests of the known cancellations and the time up to which they are complete."""

import math

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from coveflow import constants as c
from coveflow.core.cancellations import Cancellations, PeerConfirmations

CANCEL_S, LEASE_S = 40.0, 10.0
LIMIT_S = CANCEL_S - LEASE_S - c.CONTACT_MARGIN_S
OTHERS = ("b", "c")


def new_cancellations(others=OTHERS) -> Cancellations:
    return Cancellations(others, CANCEL_S, LEASE_S)


ALL = ("time", "cancel", "write", "poll", "end", "ping", "ask", "say", "hear", "watch", "open",
       "look", "bring")  # fmt: skip


def steps_of(kinds) -> st.SearchStrategy:
    return st.lists(st.tuples(st.sampled_from(kinds), st.integers(0, 3)), max_size=30)


def played(steps) -> str:
    """Returns a violation: a cancellation confirmed before `known_until` that `a` does not know.

    Node `a` receives the lists of `b` and the store's answers late and in any order. `b` confirms
    what the store holds, by cancelling or by answering a poll, and restarts as a new process.
    """
    now, number = 0.0, 0
    me, process, other = new_cancellations(("b",)), "b0", new_cancellations(())
    written: dict[str, float] = {}  # cancellations in the store: time by job
    told: dict[str, float] = {}  # when it was first confirmed to a user
    by_store: set[str] = set()  # those that the inbox has
    pings: list[tuple[float, tuple[str, dict[str, float]] | None]] = []
    watches: list[tuple[float, dict[str, float] | None]] = []
    for what, pick in steps:
        if what == "time":
            now += (0.5, 3.0, 50.0, 100.0)[pick]
        elif what in ("cancel", "write"):  # the answer to a write is lost, so no user learns of it
            number += 1
            job = f"j-{number}"
            written[job] = now
            if what == "cancel":
                other.confirm(job, now, now)
                told[job] = now
        elif what == "poll" and written:
            job = list(written)[-1 - pick % len(written)]
            other.confirm(job, written[job] - 0.25, now)
            told.setdefault(job, now)
        elif what == "end":
            number += 1
            process, other = f"b{number}", new_cancellations(())
        elif what == "ping":
            me.record_peer_list("b", process, other.recently_confirmed(now), now, now)
        elif what == "ask":
            pings.append((now, None))
        elif what == "say" and pings:
            i = pick % len(pings)
            pings[i] = (pings[i][0], pings[i][1] or (process, other.recently_confirmed(now)))
        elif what == "hear" and pings:
            sent, answer = pings.pop(pick % len(pings))
            if answer is not None:
                me.record_peer_list("b", *answer, sent, now)
        elif what == "watch":
            by_store |= written.keys()
            me.record_store_contact(now)
        elif what == "open":
            watches.append((now, None))
        elif what == "look" and watches:
            i = pick % len(watches)
            sent, rows = watches[i]
            watches[i] = (sent, dict(written) if rows is None else rows)
        elif what == "bring" and watches:
            sent, rows = watches.pop(pick % len(watches))
            if rows is not None:
                by_store |= rows.keys()
                me.record_store_contact(sent)
        now += 0.125
        at = me.known_until()
        for job, since in told.items():
            # After retention_s no task of the job is left to stop, and the entry may be dropped.
            if (
                since < at
                and now - since <= me.retention_s
                and job not in me
                and job not in by_store
            ):
                return f"{job} told at {since} unknown at {now}, though all before {at} should be"
    return ""


@settings(max_examples=2000, deadline=None, derandomize=True)
@given(steps_of(ALL))
def test_confirmed_cancellations_are_known(steps):
    assert not played(steps)


def store_vouches_for_any_process(self, sent) -> None:
    """Former fault: a store read vouches for whichever process the peer is now."""
    self.store_known_until = max(self.store_known_until, sent)
    for word in self.peers.values():
        word.whole = bool(word.process)


def polls_are_not_confirmed(honest):
    """Former fault: only the node that wrote a cancellation announces it to its peers."""

    def confirm(self, job, cancelled, now) -> None:
        if cancelled == now:  # not confirmed by a poll
            honest(self, job, cancelled, now)

    return confirm


def answer_time_used(self, name, process, jobs, sent, now) -> list[str]:
    """Uses the time of the answer instead of the time of the request."""
    return ORIGINAL_RECORD_PEER_LIST(self, name, process, jobs, now, now)


ORIGINAL_RECORD_PEER_LIST = Cancellations.record_peer_list


@pytest.mark.parametrize(
    "name, bug, kinds",
    [
        (
            "record_store_contact",
            store_vouches_for_any_process,
            "cancel end ping watch open look bring",
        ),
        ("confirm", polls_are_not_confirmed(Cancellations.confirm), "write poll ping watch"),
        ("record_peer_list", answer_time_used, "cancel ping ask say hear watch"),
    ],
    ids=["a process that is new", "polls that tell", "time of the answer"],
)
def test_generated_orders_detect_former_faults(monkeypatch, name, bug, kinds):
    monkeypatch.setattr(Cancellations, name, bug)

    @settings(max_examples=20_000, deadline=None, derandomize=True, database=None,
              phases=[Phase.generate])  # fmt: skip
    @given(steps_of(kinds.split()))
    def planted(steps):
        assert not played(steps)

    with pytest.raises(AssertionError, match="unknown at"):
        planted()


def test_lease_renewal_at_the_limit():
    """The last answer without the cancellation is to a report at the limit at the latest, and the
    renewed lease expires within the margin of `cancel_s`, whatever the clock drift."""
    known = new_cancellations()
    known.record_store_contact(100.0)
    step = 1e-6
    assert known.may_renew(100.0 + LIMIT_S - step)
    assert not known.may_renew(100.0 + LIMIT_S + step)
    drift = 1 + 2 * 0.0005  # one clock fast, the other slow
    assert (LIMIT_S + LEASE_S) * drift < CANCEL_S - 0.9 * c.CONTACT_MARGIN_S


@pytest.mark.parametrize("fault", ["unheard", "restarted", "no list", "too long ago"])
def test_with_one_unknown_peer_only_the_store_counts(fault):
    known = new_cancellations()
    for name in OTHERS:
        known.record_peer_list(name, "one", {}, 90.0, 90.5)
    known.record_store_contact(91.0)
    for name in OTHERS:
        known.record_peer_list(name, "one", {}, 120.0, 120.5)
    assert known.known_until() == 120.0
    if fault == "unheard":
        known.peers["c"] = PeerConfirmations()
    elif fault == "restarted":
        known.record_peer_list("c", "two", {}, 121.0, 121.5)
    elif fault == "no list":
        known.record_peer_list("c", "one", None, 121.0, 121.5)
    else:
        known.record_peer_list("c", "one", {}, 121.0 + known.retention_s, 121.5 + known.retention_s)
    assert known.known_until() == 91.0 and not known.may_renew(91.0 + LIMIT_S)
    known.record_store_contact(122.0 + known.retention_s)
    known.record_peer_list("b", "one", {}, 122.0 + known.retention_s, 123.0 + known.retention_s)
    # A process first heard before the store read was sent is complete again.
    known.record_peer_list("c", "two", {}, 130.0 + known.retention_s, 130.5 + known.retention_s)
    assert known.known_until() == 122.0 + known.retention_s


def test_single_node_uses_the_store_and_unheard_peers_prevent_renewal():
    assert (
        not new_cancellations().may_renew(0.0) and new_cancellations(()).known_until() == -math.inf
    )


def test_entries_expire_and_lists_of_non_members_are_ignored():
    known = new_cancellations()
    for i in range(1000):
        known.record_peer_list("b", "one", {f"j-{i}": 0.0}, float(i), float(i))
        known.confirm(f"j-{i}", 0.0, float(i))
        known.recently_confirmed(float(i))
    assert len(known.known) == len(known.confirmed) <= known.retention_s + 1
    assert (
        known.record_peer_list("x", "one", {"j-9999": 0.0}, 1.0, 1.0) == []
        and "j-9999" not in known
    )
    assert known.cancelled_at("j-999") == 0.0 and known.cancelled_at("j-9999") is None
