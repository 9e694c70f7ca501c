"""What users are told where their requests meet each other, a job's end, or a trouble.

Whole nodes in virtual time. Answers are compared by when each was sent and received
(`lab.answers`), and judged by the protocol's rules as everywhere.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import pytest

from coveflow import constants as c
from coveflow import wire
from coveflow.core.model import Spec
from coveflow.daemon import commands as cm
from coveflow.daemon.commits import Commits
from coveflow.daemon.comparisons import Comparison, Comparisons
from coveflow.daemon.front import Front
from coveflow.daemon.user_jobs import UserJobs
from coveflow.lab import answers
from coveflow.lab import site as sites
from coveflow.lab.virtual import STATE, Request, World
from coveflow.lab.worlds import site
from coveflow.net.http import Unavailable
from coveflow.settings import Tuning
from coveflow.state import keys as sk
from coveflow.state.store import Conflict, Store
from tests.samples import spec
from tests.test_front import front, know, polls
from tests.test_meetings import planted_store_alone
from tests.whole import SIDES

NODES = {"host-0": "north", "host-1": "south", "host-2": "south"}
BEGIN_S = 4.0  # s into the world by which it is led and its machines are heard
SHAPES = {
    "array": {"tasks": 2},
    "gang": {"tasks": 2, "kind": "gang"},
    "saving": {"tasks": 2, "checkpoint_s": 0.5, "save_s": 1.0},
}


# --- transactions and watches that meet trouble ---------------------------------------------


@dataclass
class Rule:
    """What becomes of the transactions that write what `of` looks for, for some time from the
    first one on."""

    of: Callable[[dict[str, bool]], bool]  # keys, and whether they are written or removed
    # "lost" (carried out, no answer), "late" or "never" (no answer), "held" (carried out late), or
    # "slow" (answered late).
    fate: str
    by_s: float = 0.0
    for_s: float = math.inf
    until: float | None = None
    met: int = 0


class Wire:
    """Between the controllers and the state service."""

    def __init__(self, world: World) -> None:
        self.world, self.rules = world, []
        self.lags: dict[str, float] = {}  # s by which a node's watch is behind
        self.serve, world.state.serve = world.state.serve, self.passed

    async def passed(self, who: str, request: Request):
        if request.path == wire.CHANGES:
            answer = await self.serve(who, request)
            await asyncio.sleep(self.lags.get(who, 0.0))
            return answer
        rule = self._rule(request) if request.path == wire.COMMIT else None
        if rule is None:
            return await self.serve(who, request)
        if rule.fate in ("late", "held"):
            await asyncio.sleep(rule.by_s)
        answer = None if rule.fate == "never" else await self.serve(who, request)
        if rule.fate != "held":
            await asyncio.sleep(rule.by_s if rule.fate == "slow" else math.inf)
        return answer

    def _rule(self, request: Request) -> Rule | None:
        rows = wire.unpack(request.body)["writes"]
        keys = {row.get("write") or row["remove"]: "write" in row for row in rows}
        for rule in self.rules:
            if keys and rule.of(keys) and (rule.until is None or self.world.now < rule.until):
                rule.until = rule.until or self.world.now + rule.for_s
                rule.met += 1
                return rule
        return None


def final_record(keys: dict[str, bool]) -> bool:
    return any(key.startswith(sk.FINAL_RECORD) for key in keys)


def first_final_record(keys: dict[str, bool]) -> bool:
    """Of jobs that nobody cancels: with all others in it, it would often be a cancelled one's."""
    return any(f"{sk.FINAL_RECORD}j-{i:06d}" in keys for i in range(3))


def submission_or_cancellation(keys: dict[str, bool]) -> bool:
    return all(key.startswith(sk.JOB) and written for key, written in keys.items())


# --- a world ----------------------------------------------------------------------------------


@pytest.fixture
def begin():
    worlds = []

    def begun(
        run_s: float = 0.6, nodes: dict[str, str] = NODES, machines: int = 3, seed: int = 1
    ) -> World:
        text = site(SIDES, len(nodes), machines, run_s)
        world = World(sites.parse(text, "test"), nodes, seed, Tuning(homes=True))
        world.wire = Wire(world)
        worlds.append(world)
        world.run(BEGIN_S)
        assert world.leader()
        return world

    yield begun
    for world in worlds:
        world.close()


def job(number: int, shape: str = "array", **more) -> Spec:
    fields = {"cpus": 1.0, "workload": "tally", "expected_s": 1.0, **SHAPES[shape], **more}
    return spec(f"j-{number:06d}", **fields)


def final_states(world: World) -> dict[str, str]:
    rows, _ = world.state.store.list(sk.FINAL_RECORD, "", 10**6)
    return {key[len(sk.FINAL_RECORD) :]: row.value["status"] for key, row in rows}


def judged(world: World) -> dict[str, str]:
    """No answer is older than another, and none differs from what the store keeps."""
    assert not [str(it) for it in answers.older(world.replies)]
    assert not answers.contradictions(world.replies)
    states = final_states(world)
    for answer in world.replies:
        if answer.state in answers.FINAL and answer.job in states:
            assert answer.state == states[answer.job], str(answer)
    return states


# --- users ask at all nodes within milliseconds -----------------------------------------------


def nothing(world: World) -> None:
    pass


def watches_lag_1(world: World) -> None:
    world.wire.lags = dict.fromkeys(world.controllers, 1.0)


def watches_lag_5(world: World) -> None:
    """Longer than a node waits for one: it has to read what it may not hear."""
    world.wire.lags = dict.fromkeys(world.controllers, 5.0)


def node_cut_from_store(world: World) -> None:
    cut = next(name for name in world.controllers if name != world.leader())
    world.cut(10.0, lambda a, b: a.name == cut and b.name == STATE)


def leader_refused(world: World) -> None:
    world.state.refused[world.leader()] = world.now + 2.5


def teller_ends(world: World) -> None:
    """Whichever node first tells that a job is accepted, done or cancelled ends with that."""
    seen: set[tuple[str, str]] = set()
    world.crashes = 0
    honest = world._answered

    def answered(to: str, name: str, code: int, state: str | None, *rest) -> None:
        honest(to, name, code, state, *rest)
        if state is None or (name, state) in seen or int(name[2:]) % 3:
            return
        seen.add((name, state))
        teller = world.replies[-1].node
        if world.places[teller].alive and world.crashes < 8:
            world.crashes += 1
            world.at(world.now, lambda: world.crash(teller, 0.2))

    world._answered = answered


def unsure(of: Callable[[dict[str, bool]], bool], fate: str) -> Callable[[World], None]:
    def arranged(world: World) -> None:
        # Longer than a node waits for one answer, so that each copy is unsure.
        world.wire.rules = [Rule(of, fate, 2.2, 4.0)]

    arranged.__name__ = f"{of.__name__}_{fate}"
    return arranged


TROUBLES = [
    nothing, watches_lag_1, watches_lag_5, node_cut_from_store, leader_refused, teller_ends,
    *(unsure(of, fate) for of in (first_final_record, final_record, submission_or_cancellation)
      for fate in ("lost", "late", "never")),
]  # fmt: skip


def asked_at_all_nodes(world: World, trouble: Callable[[World], None], jobs: int = 18) -> None:
    world.close_looks(60.0)
    # The first ones are left to end.
    world.at(BEGIN_S + 0.8, lambda: world.close_looks(60.0, cancels=0.3))
    world.at(BEGIN_S + 2.0, lambda: world.cancel_at_end(0.3, 60.0))
    trouble(world)
    shapes = list(SHAPES)
    for i in range(jobs):
        world.at(
            BEGIN_S + 0.3 * i,
            lambda i=i: world.submit(job(i, shapes[i % 3]), f"host-{i % 3}"),
        )
    world.run(BEGIN_S + 0.3 * jobs + 12.0)


@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda it: it.__name__)
def test_no_answer_is_older_than_one_received_before(begin, trouble):
    world = begin()
    asked_at_all_nodes(world, trouble)
    states = judged(world)
    assert len(states) == 18 and set(states.values()) == {"done", "cancelled"}
    for rule in world.wire.rules:
        assert rule.met
    told = [answer for answer in world.replies if answer.code in (200, 201)]
    assert len(told) > 300


def test_bursts_reach_each_node_within_milliseconds_of_each_event(begin):
    """The meeting does come about: all nodes, right after accepted, done and cancelled."""
    world = begin()
    asked_at_all_nodes(world, teller_ends)
    for state in ("queued", "done", "cancelled"):
        told = [a for a in world.replies if a.state == state]
        assert {a.node for a in told} == set(world.controllers)
        first = {a.job: a.received for a in reversed(sorted(told, key=lambda a: a.received))}
        close = [a for a in world.replies if 0 <= a.sent - first.get(a.job, math.inf) < 0.01]
        assert len(close) > 20, state
    assert world.crashes >= 6


def planted_answers_from_memory(monkeypatch) -> None:
    """Polls told what the watch had brought so far."""

    async def known(self, job: str) -> Comparison:
        return Comparison(True, self.inbox.accepted.get(job))

    monkeypatch.setattr(Comparisons, "compare", known)


def planted_final_state_told_before_it_is_written(monkeypatch) -> None:
    honest = Commits._add_finished

    def add(self, txn, *rest) -> None:
        honest(self, txn, *rest)
        for finished in txn.finished:
            record = txn.writes[sk.FINAL_RECORD + finished.id]
            self.inbox.remember_terminal(finished.id, record)

    monkeypatch.setattr(Commits, "_add_finished", add)


def planted_submission_told_before_it_is_written(monkeypatch) -> None:
    async def accept(self, name, record, flow=("", "")) -> bool:
        asyncio.get_running_loop().create_task(quietly(honest(self, name, record, flow)))
        return True

    honest = UserJobs.accept
    monkeypatch.setattr(UserJobs, "accept", accept)


async def quietly(work) -> None:
    with contextlib.suppress(Unavailable):
        await work


PLANTED = [
    (planted_answers_from_memory, watches_lag_1),
    (planted_answers_from_memory, node_cut_from_store),
    (planted_final_state_told_before_it_is_written, unsure(first_final_record, "never")),
    (planted_final_state_told_before_it_is_written, unsure(first_final_record, "late")),
    (planted_submission_told_before_it_is_written, unsure(submission_or_cancellation, "never")),
    (planted_submission_told_before_it_is_written, teller_ends),
]


@pytest.mark.parametrize("plant, trouble", PLANTED, ids=lambda it: it.__name__)
def test_older_answers_are_noticed(begin, monkeypatch, plant, trouble):
    plant(monkeypatch)
    world = begin()
    with pytest.raises(AssertionError, match=r"forgotten|went_back|then"):
        asked_at_all_nodes(world, trouble)
        judged(world)


# --- a request meets the end of a job's last task ---------------------------------------------


STEP_S = 0.06  # s between the moments at which requests meet the ends
JOBS = 12
# Which transaction is held up, if any, and what then becomes of each job.
ORDERS = {"by chance": "", "cancellation first": "cancelled", "final record first": "done"}


def meets_the_end(world: World, shape: str, order: str) -> None:
    """A cancellation, questions and repeated submissions at each moment after a job's last task."""

    def ended(name: str) -> None:
        held = {
            "cancellation first": lambda keys: sk.FINAL_RECORD + name in keys,
            "final record first": lambda keys: keys == {sk.JOB + name: True},
        }
        if order in held:
            world.wire.rules.append(Rule(held[order], "held", 1.2, 1.2))
        number = int(name[2:])
        at, node = world.now + STEP_S * number, f"host-{number % 3}"
        world.at(at, lambda: world.cancel(name, node))
        for after_s in (-0.005, 0.005, 0.1, 1.0, 1.3, 2.0):
            world.at(max(at + after_s, world.now), lambda: world.ask_everywhere(name))

    world._ended = ended
    for i in range(JOBS):
        world.at(BEGIN_S + 0.4 * i, lambda i=i: world.submit(job(i, shape), f"host-{i % 3}"))
    world.run(BEGIN_S + 0.4 * JOBS + 10.0)


@pytest.mark.parametrize("order", ORDERS)
@pytest.mark.parametrize("shape", SHAPES)
def test_what_was_told_as_a_job_ended_stays(begin, shape, order):
    world = begin()
    meets_the_end(world, shape, order)
    states = judged(world)
    assert len(states) == JOBS
    assert set(states.values()) == ({ORDERS[order]} if ORDERS[order] else {"done", "cancelled"})
    # Ends at about the same time share a transaction, and so a rule.
    assert order == "by chance" or sum(rule.met > 0 for rule in world.wire.rules) >= JOBS // 3


def planted_final_record_without_its_guard(monkeypatch) -> None:
    """It says done whatever was committed of a cancellation meanwhile."""
    honest = Store._send

    async def send(self, guards, writes, grant=None) -> int:
        if final_record(writes):
            guards = {key: rev for key, rev in guards.items() if not key.startswith(sk.JOB)}
        return await honest(self, guards, writes, grant)

    monkeypatch.setattr(Store, "_send", send)


def planted_cancellation_of_what_is_over(monkeypatch) -> None:
    honest = UserJobs.cancel

    async def cancel(self, name: str, native: bool = False) -> bool:
        await honest(self, name, native)
        return True

    monkeypatch.setattr(UserJobs, "cancel", cancel)


@pytest.mark.parametrize(
    "plant, order",
    [
        (planted_final_record_without_its_guard, "cancellation first"),
        (planted_cancellation_of_what_is_over, "final record first"),
    ],
)
def test_an_end_that_is_told_otherwise_is_noticed(begin, monkeypatch, plant, order):
    plant(monkeypatch)
    world = begin()
    with pytest.raises(AssertionError, match=r"went_back|then"):
        meets_the_end(world, "array", order)
        judged(world)


# --- a leader that users reach and nobody else does -------------------------------------------

CUT_S = 22.0  # s; longer than the 15 s of a lease


def zone_cut_off(world: World, leader: str) -> None:
    zone = world.controllers[leader]
    world.cut(CUT_S, lambda a, b: (a.zone == zone) != (b.zone == zone))


def leader_cut_off(world: World, leader: str) -> None:
    world.cut(CUT_S, lambda a, b: a.name == leader and (b.name == STATE or b.node is not None))


def users_on_both_sides(world: World, cut: Callable[[World, str], None]) -> None:
    """Half of the jobs are cancelled through the new leader; users in the zone ask its node.

    One more is cancelled there, once: what became of that the cut-off node cannot tell.
    """
    leader = world.leader()
    others = [name for name in world.controllers if name != leader]
    inside = world.zones[world.controllers[leader]]
    names = [f"j-{i:06d}" for i in range(8)]
    for i, name in enumerate(names):
        world.submit(job(i, list(SHAPES)[i % 3], expected_s=8.0), leader)
        if i % 2:
            at = BEGIN_S + 7.0 + 0.9 * i
            world.at(at, lambda i=i, name=name: world.cancel(name, others[i % len(others)]))
    world.at(BEGIN_S + 3.0, lambda: cut(world, leader))
    for step in range(70):
        for name in names:
            at = BEGIN_S + 1.0 + 0.5 * step
            world.at(at, lambda name=name: world.ask(name, leader, me=inside))
            world.at(at + 0.1, lambda name=name: world.repeat(name, leader, me=inside))
            world.at(at, lambda name=name: world.ask_everywhere(name))
    world.at(BEGIN_S + 6.0, lambda: world.cancel_once(names[0], leader, me=inside))
    world.run(BEGIN_S + 42.0)


@pytest.mark.parametrize("cut", [zone_cut_off, leader_cut_off])
def test_a_leader_cut_off_tells_its_users_nothing_old(begin, cut):
    world = begin(run_s=14.0)
    first = world.leader()
    users_on_both_sides(world, cut)
    states = judged(world)
    assert world.leader() != first
    assert [states[f"j-{i:06d}"] for i in range(1, 8)] == ["cancelled", "done"] * 3 + ["cancelled"]
    assert states["j-000000"] in answers.FINAL
    during = [a for a in world.replies if a.node == first and 9.0 < a.sent < BEGIN_S + CUT_S]
    assert during and {a.code for a in during} <= {0, 200, 503}


@pytest.mark.parametrize("cut", [zone_cut_off, leader_cut_off])
def test_a_leader_that_answers_while_cut_off_is_noticed(begin, monkeypatch, cut):
    planted_answers_from_memory(monkeypatch)
    world = begin(run_s=6.0)
    with pytest.raises(AssertionError, match=r"forgotten|went_back|then"):
        users_on_both_sides(world, cut)
        judged(world)


# --- requests that make no sense --------------------------------------------------------------

EXPECTED = {"lacks a field": 400, "fits nothing": 422, "unknown": 404}


def odd_requests(world: World) -> dict[str, int]:
    world.odd_requests(12.0)
    world.cancel_at_end(0.5, 12.0)
    world.close_looks(12.0)
    for i in range(10):
        at, shape = BEGIN_S + 0.8 * i, list(SHAPES)[i % 3]
        world.at(at, lambda i=i, shape=shape: world.submit(job(i, shape), f"host-{i % 3}"))
    world.run(BEGIN_S + 20.0)
    return judged(world)


def test_odd_requests_are_refused_and_change_nothing(begin):
    world = begin()
    states = odd_requests(world)
    assert len(states) == 10 and "done" in states.values()
    assert {(what, code) for what, code in world.odd_answers} == set(EXPECTED.items())
    done = [name for name, state in states.items() if state == "done"]
    cancels = [a for a in world.replies if a.request == "cancel" and a.job in done]
    assert cancels and {a.state for a in cancels} == {"done"}


def planted_no_refusal(monkeypatch) -> None:
    monkeypatch.setattr(Front, "refusal", lambda self, spec: "")


@pytest.mark.parametrize("plant", [planted_no_refusal, planted_cancellation_of_what_is_over])
def test_odd_requests_that_are_served_are_noticed(begin, monkeypatch, plant):
    plant(monkeypatch)
    world = begin()
    with pytest.raises(AssertionError, match=r"invented|went_back"):
        odd_requests(world)


# --- cancelled as the store refuses the leader alone, and a second later everybody ------------

SWEEP_S = [round(-1.5 + 0.05 * i, 2) for i in range(60)]
IN_CI = SWEEP_S[1::3]
DOWN_AFTER_S, DOWN_S = 1.0, 57.0  # s after the refusal; s for which nobody has the store, of 45


def refused_alone(world: World, offset_s: float) -> float:
    """Longest time from a user's confirmation to the end of the last task."""
    shapes = list(SHAPES)
    for i in range(4):
        world.submit(job(i, shapes[i % 3], expected_s=150.0), f"host-{i % 3}")
    at = BEGIN_S + 4.0
    world.run(at - 2.0)
    leader = world.leader()
    others = [name for name in world.controllers if name != leader]

    def refuse() -> None:
        world.state.refused[leader] = at + 14.0

    def fail() -> None:
        world.state.down_until = world.now + DOWN_S

    world.at(at, refuse)
    world.at(at + DOWN_AFTER_S, fail)
    for i in range(3):
        name, node = f"j-{i:06d}", others[i % 2]
        world.at(at + offset_s, lambda name=name, node=node: world.cancel(name, node))
    world.run(at + DOWN_AFTER_S + DOWN_S + 12.0)
    told = [name for name, known in world.checker.jobs.items() if known.told == "cancelled"]
    assert len(told) == 3 and {name for name, _ in world.checker.live} <= {"j-000003"}
    return world.checker.gone_s


@pytest.mark.parametrize("offset_s", IN_CI)
def test_work_cancelled_as_the_store_refuses_the_leader_is_gone_in_time(begin, offset_s):
    world = begin(run_s=150.0, machines=2)
    assert refused_alone(world, offset_s) < 6.0


def test_work_that_outlives_its_cancellation_there_is_noticed(begin, monkeypatch):
    planted_store_alone(monkeypatch)
    with pytest.raises(AssertionError, match=r"renewed|ran_cancelled"):
        refused_alone(begin(run_s=150.0, machines=2), 0.3)


# --- an answer of the store that comes after the job's end ------------------------------------


def cancelled_by_a_slow_answer(world: World) -> str:
    """A follower hears of the job's end by its watch before it hears that it cancelled it."""
    world.submit(job(0, tasks=16), "host-0")  # there is no room for another
    world.run(BEGIN_S + 4.0)
    world.submit(job(1), "host-0")
    world.run(BEGIN_S + 5.0)
    follower = next(name for name in world.controllers if name != world.leader())
    world.wire.rules = [Rule(submission_or_cancellation, "slow", 1.2, 2.0)]
    world.cancel("j-000001", follower)
    world.run(BEGIN_S + 7.0)
    assert world.wire.rules[0].met and final_states(world) == {"j-000001": "cancelled"}
    return follower


def test_a_job_that_is_over_is_not_taken_in_by_a_late_answer(begin):
    """It stayed among that node's accepted jobs until it listed them all again."""
    world = begin(run_s=150.0, machines=1)
    follower = cancelled_by_a_slow_answer(world)
    assert set(world.node(follower).owner.inbox.accepted) == {"j-000000"}


def watched_in_vain(world: World) -> int:
    """Only the leader's watches get no answer; how many of 8 jobs are over after 30 s."""
    leader = world.leader()
    world.wire.lags = {leader: 60.0}
    others = [name for name in world.controllers if name != leader]
    for i in range(8):
        world.at(BEGIN_S + 1.0 + i, lambda i=i: world.submit(job(i), others[i % 2]))
    world.run(BEGIN_S + 30.0)
    assert world.leader() == leader and len(world.answers) == 8
    return len(final_states(world))


def test_a_leader_whose_watches_alone_get_no_answer_runs_what_others_accept(begin, monkeypatch):
    """It led on and heard of no job: 20 were accepted in 90 s and none was run."""
    assert watched_in_vain(begin()) == 8
    monkeypatch.setattr(c, "WATCH_UNANSWERED", 10**6)
    assert watched_in_vain(begin()) == 0


# --- answers that overlap on one node ---------------------------------------------------------


DONE = {"status": "done", "done": 4}  # a final record


def during_the_compare(f: Front, event: Callable[[], None]) -> None:
    """`event` happens when the store has answered a comparison and the poll has not."""
    honest = f.store.commit

    async def commit(guards, writes):
        try:
            return await honest(guards, writes)
        finally:
            event()

    f.store.commit = commit


def test_a_refused_comparison_that_names_no_key_is_asked_again():
    """It once counted as one where nothing had changed: an accepted job got 404."""
    f = front()
    know(f, "j-2", told=False, cancel=3.0)
    f.store.keys[sk.JOB + "j-1"] = ({"spec": msgspec.to_builtins(spec("j-1")), "at": 0.0}, 5)

    async def commit(guards, writes):
        f.store.requests += 1
        raise Conflict([])

    f.store.commit = commit
    assert polls(f, ["j-1", "j-2", "j-3"]) == ["queued", "cancelled", "404"]


def test_a_poll_on_its_way_tells_what_was_told_here_meanwhile():
    """The store's word was older than an answer that a user of this node had already."""
    inbox_row = {"spec": msgspec.to_builtins(spec("j-1")), "at": 0.0, "cancel": None}
    f = front()
    during_the_compare(f, lambda: f.owner.work([cm.InboxRows([(sk.JOB + "j-1", inbox_row, 7)])]))
    assert polls(f, ["j-1"]) == ["queued"]  # accepted here, after the store had not known it

    for told in (True, False):  # by comparison, and by reading
        f = front()
        know(f, "j-1", told)

        during_the_compare(f, lambda f=f: f.owner.inbox.remember_terminal("j-1", DONE))
        assert polls(f, ["j-1"]) == ["done"]

        f = front()
        know(f, "j-1", told)
        during_the_compare(f, lambda f=f: f.owner.cancellations.confirm("j-1", 3.0, 0.0))
        assert polls(f, ["j-1"]) == ["cancelled"]


def test_a_cancellation_that_overtakes_its_submission_is_repeated_not_answered_queued():
    """200 with "queued" once answered it, and the job ran on."""

    async def go() -> None:
        f = front()
        honest, reads = f.store.get, []

        async def get(key):
            found = await honest(key)
            reads.append(key)
            if reads == [sk.JOB + "j-1"]:
                know(f, "j-1")
            return found

        f.store.get = get
        with pytest.raises(Unavailable):
            await f.abort("j-1")

    asyncio.run(go())


# --- the comparison itself --------------------------------------------------------------------


def told(sent: float, received: float, code: int = 200, state: str | None = None, done=None):
    return answers.Answer(sent, received, "host-0", "j-1", "poll", code, state, done)


def test_answers_are_compared_where_one_was_asked_after_the_other_came():
    """Those that overlap may be told either state, in whatever order they come."""
    running, unknown = told(1.0, 2.0, 200, "running", 3), told(2.5, 2.6, 404)
    ended, late = told(3.0, 4.0, 200, "done", 4), told(3.5, 4.5, 200, "queued", 1)
    assert not answers.older([running, ended, late, told(0.5, 2.4, 404), told(5.0, 6.0, 503)])
    assert answers.older([running, unknown, ended]) == [answers.Older(running, unknown)]
    assert answers.older([told(4.1, 5.0, 200, "running"), ended])
    assert answers.older([told(4.1, 5.0, 200, "cancelled"), ended])
    assert answers.contradictions([told(3.0, 5.0, 200, "cancelled"), ended]) == ["j-1"]
    assert answers.count_falls([running, late, ended]) == 1
    assert answers.count_falls([told(1.5, 2.0, 200, "running", 1), running]) == 0
