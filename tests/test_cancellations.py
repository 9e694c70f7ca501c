"""Which cancellations are known, and up to when: by generated orders of events, and at the edge."""

import math

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from coveflow import constants as c
from coveflow.core.cancellations import Cancellations, Word

CANCEL_S, LEASE_S = 40.0, 10.0
LIMIT_S = CANCEL_S - LEASE_S - c.CONTACT_MARGIN_S
OTHERS = ("b", "c")


def ledger(others=OTHERS) -> Cancellations:
    return Cancellations(others, CANCEL_S, LEASE_S)


ALL = ("time", "cancel", "write", "poll", "end", "ping", "ask", "say", "hear", "watch", "open",
       "look", "bring")  # fmt: skip


def steps_of(kinds) -> st.SearchStrategy:
    return st.lists(st.tuples(st.sampled_from(kinds), st.integers(0, 3)), max_size=30)


def played(steps) -> str:
    """Node `a` hears the words of `b` and the store's answers, late and in any order; `b` confirms
    what the store has, by cancelling or by a poll's answer, ends, and is back as a new process.

    What a user was told of before `known_at` and `a` does not know, if there is such.
    """
    now, number = 0.0, 0
    me, process, other = ledger(("b",)), "b0", ledger(())
    written: dict[str, float] = {}  # cancellations in the store, and when
    told: dict[str, float] = {}  # when a user was first told
    by_store: set[str] = set()  # what the inbox has of them
    pings: list[tuple[float, tuple[str, dict[str, float]] | None]] = []
    watches: list[tuple[float, dict[str, float] | None]] = []
    for what, pick in steps:
        if what == "time":
            now += (0.5, 3.0, 50.0, 100.0)[pick]
        elif what in ("cancel", "write"):  # the answer to the latter is lost, nobody is told
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
            process, other = f"b{number}", ledger(())
        elif what == "ping":
            me.peer_told("b", process, other.word(now), now, now)
        elif what == "ask":
            pings.append((now, None))
        elif what == "say" and pings:
            i = pick % len(pings)
            pings[i] = (pings[i][0], pings[i][1] or (process, other.word(now)))
        elif what == "hear" and pings:
            sent, answer = pings.pop(pick % len(pings))
            if answer is not None:
                me.peer_told("b", *answer, sent, now)
        elif what == "watch":
            by_store |= written.keys()
            me.store_answered(now)
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
                me.store_answered(sent)
        now += 0.125
        at = me.known_at()
        for job, since in told.items():
            # After that long nothing of it is left to be stopped, and it may be forgotten.
            if since < at and now - since <= me.keep_s and job not in me and job not in by_store:
                return f"{job} told at {since} unknown at {now}, though all before {at} should be"
    return ""


@settings(max_examples=2000, deadline=None, derandomize=True)
@given(steps_of(ALL))
def test_all_that_users_were_told_before_is_known(steps):
    assert not played(steps)


def trusts_whoever_answers(self, sent) -> None:
    """As it was: the contact vouches for the process that a peer is now."""
    self.store_at = max(self.store_at, sent)
    for word in self.words.values():
        word.whole = bool(word.process)


def never_confirmed_by_polls(honest):
    """As it was: only the node that wrote a cancellation told its peers of it."""

    def confirm(self, job, cancelled, now) -> None:
        if cancelled == now:  # not a poll's
            honest(self, job, cancelled, now)

    return confirm


def a_word_of_unknown_time_counts(self, name, process, jobs, sent, now) -> list[str]:
    """Its answer's time in place of when it was asked."""
    return HONEST_WORD(self, name, process, jobs, now, now)


HONEST_WORD = Cancellations.peer_told


@pytest.mark.parametrize(
    "name, bug, kinds",
    [
        ("store_answered", trusts_whoever_answers, "cancel end ping watch open look bring"),
        ("confirm", never_confirmed_by_polls(Cancellations.confirm), "write poll ping watch"),
        ("peer_told", a_word_of_unknown_time_counts, "cancel ping ask say hear watch"),
    ],
    ids=["a process that is new", "polls that tell", "time of the answer"],
)
def test_generated_orders_notice_what_was_wrong(monkeypatch, name, bug, kinds):
    monkeypatch.setattr(Cancellations, name, bug)

    @settings(max_examples=20_000, deadline=None, derandomize=True, database=None,
              phases=[Phase.generate])  # fmt: skip
    @given(steps_of(kinds.split()))
    def planted(steps):
        assert not played(steps)

    with pytest.raises(AssertionError, match="unknown at"):
        planted()


def test_a_lease_is_renewed_just_inside_the_limit_and_not_outside():
    """The last answer that may not know of it was sent to a report of that moment at the latest,
    and the lease ends within the margin of the user's limit whatever the clocks."""
    known = ledger()
    known.store_answered(100.0)
    step = 1e-6
    assert known.may_renew(100.0 + LIMIT_S - step)
    assert not known.may_renew(100.0 + LIMIT_S + step)
    drift = 1 + 2 * 0.0005  # one clock fast, the other slow
    assert (LIMIT_S + LEASE_S) * drift < CANCEL_S - 0.9 * c.CONTACT_MARGIN_S


@pytest.mark.parametrize("trouble", ["unheard", "restarted", "no list", "too long ago"])
def test_one_peer_whose_word_is_unknown_leaves_the_stores_contact_alone(trouble):
    known = ledger()
    for name in OTHERS:
        known.peer_told(name, "one", {}, 90.0, 90.5)
    known.store_answered(91.0)
    for name in OTHERS:
        known.peer_told(name, "one", {}, 120.0, 120.5)
    assert known.known_at() == 120.0
    if trouble == "unheard":
        known.words["c"] = Word()
    elif trouble == "restarted":
        known.peer_told("c", "two", {}, 121.0, 121.5)
    elif trouble == "no list":
        known.peer_told("c", "one", None, 121.0, 121.5)
    else:
        known.peer_told("c", "one", {}, 121.0 + known.keep_s, 121.5 + known.keep_s)
    assert known.known_at() == 91.0 and not known.may_renew(91.0 + LIMIT_S)
    known.store_answered(122.0 + known.keep_s)
    known.peer_told("b", "one", {}, 122.0 + known.keep_s, 123.0 + known.keep_s)
    # A process first heard before that contact was sent is known in whole again.
    known.peer_told("c", "two", {}, 130.0 + known.keep_s, 130.5 + known.keep_s)
    assert known.known_at() == 122.0 + known.keep_s


def test_a_node_without_others_goes_by_the_store_alone_and_one_that_heard_nothing_renews_nothing():
    assert not ledger().may_renew(0.0) and ledger(()).known_at() == -math.inf


def test_what_is_known_is_forgotten_and_words_of_strangers_count_for_nothing():
    known = ledger()
    for i in range(1000):
        known.peer_told("b", "one", {f"j-{i}": 0.0}, float(i), float(i))
        known.confirm(f"j-{i}", 0.0, float(i))
        known.word(float(i))
    assert len(known.known) == len(known.confirmed) <= known.keep_s + 1
    assert known.peer_told("x", "one", {"j-9999": 0.0}, 1.0, 1.0) == [] and "j-9999" not in known
    assert known.since("j-999") == 0.0 and known.since("j-9999") is None
