"""How well failing nodes are noticed: detectors on the same generated intervals, over many hours.

A link's day is drawn from what a site states (latency, jitter, losses, slow store) and from pauses
of the processes themselves. Every detector hears the same signs of life. Simulated; no node runs.

Three ways to doubt are held against each other: a fixed time without an answer (the rule before),
the accrual level of `core.suspicion`, and that level confirmed by two third nodes asked to ping, as
in SWIM (Das, Gupta, Motivala, 2002), which takes one more round. The verdict is the hold's end.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

import numpy as np

from coveflow import constants as c
from coveflow.core.failure_detector import AccrualDetector

RTO_S = 0.2  # s until a lost packet is sent again, doubled each time
LOOK_S = 0.1  # s between looks, as in the daemon
HOUR_S = 3600.0


@dataclass(frozen=True)
class Hold:
    """A way to keep a hold: its life, renewals and their timeout, in s."""

    life_s: float
    renew_s: float
    timeout_s: float


HOLDS = {
    "before": Hold(2.5, 0.6, 1.5),
    "now": Hold(c.MEMBER_LEASE_S, c.MEMBER_LEASE_RENEW_S, c.MEMBER_LEASE_TIMEOUT_S),
}


@dataclass(frozen=True)
class Conditions:
    """What a site's links, store and processes are like; times in s, parts of 1."""

    name: str
    latency: float = 0.001
    jitter: float = 0.25
    loss: float = 0.0005
    store: float = 0.003
    store_slow: float = 0.0  # part of the store's answers that are slow
    store_times: float = 1.0  # times slower they are
    pause: float = 0.01  # part of the pings before which the sender pauses
    pause_s: float = 0.1  # mean of such a pause
    pause_most: float = 0.8  # the longest; a node that stands still for longer has failed


CONDITIONS = (
    Conditions("calm"),
    Conditions("slow store", store_slow=0.04, store_times=40.0),
    Conditions("lossy", loss=0.01, jitter=0.5),
    Conditions("slow nodes", pause=0.1, pause_s=0.2),
)


@dataclass
class Row:
    """One detector under one condition."""

    detector: str
    conditions: str
    hours: float
    wrong_doubts_per_hour: float = 0.0
    p50_s: float = 0.0
    p99_s: float = 0.0
    extra: dict[str, float] = field(default_factory=dict)


def _sent_again(rng: np.random.Generator, n: int, loss: float) -> np.ndarray:
    """s that losses add to each of n exchanges of two messages."""
    lost = rng.geometric(1.0 - min(0.5, 2 * loss), n) - 1  # tries that were lost
    return RTO_S * (2.0**lost - 1.0)


def _pauses(rng: np.random.Generator, n: int, what: Conditions) -> np.ndarray:
    """s that the process stands still before each of n requests."""
    lengths = np.minimum(rng.exponential(what.pause_s, n), what.pause_most)
    return lengths * (rng.random(n) < what.pause)


def answers(rng: np.random.Generator, hours: float, what: Conditions) -> np.ndarray:
    """Times at which a link's pings were answered, in order. One is sent every PING_S."""
    n = int(hours * HOUR_S / c.PING_S)
    pauses = _pauses(rng, n, what)
    trips = 2 * what.latency * (1.0 + what.jitter * rng.random(n)) + _sent_again(rng, n, what.loss)
    trips = np.minimum(trips, c.PING_TIMEOUT_S)
    # The next ping goes out a period after this one was sent, or when this one is settled.
    periods = np.maximum(c.PING_S, trips) + pauses
    sent = np.cumsum(periods) - periods
    good = trips < c.PING_TIMEOUT_S
    return (sent + trips)[good]


def false_doubts(seen: np.ndarray, raised: Callable[[float, AccrualDetector], bool]) -> int:
    """How often a detector doubted a node that was alive all along."""
    link, count, at = AccrualDetector(c.PING_S, c.SUSPICION_MIN_DEVIATION_S), 0, float(seen[0])
    link.record(at)
    for moment in seen[1:].tolist():
        # The last look before the answer is the one at which the silence was longest.
        looked = at + LOOK_S * int((moment - at) / LOOK_S - 1e-9)
        doubted = looked > at and raised(looked, link)
        count += doubted
        link.record(moment, count_interval=not doubted)
        at = moment
    return count


def delays(
    seen: np.ndarray,
    ends: np.ndarray,
    raised: Callable[[float, AccrualDetector], bool],
    more_s: float,
) -> list[float]:
    """s from each end of a node, at some moment of the trace, to the doubt."""
    found = []
    for end in ends.tolist():
        last = int(np.searchsorted(seen, end))
        link = AccrualDetector(c.PING_S, c.SUSPICION_MIN_DEVIATION_S)
        for moment in seen[max(0, last - c.SUSPICION_WINDOW) : last].tolist():
            link.record(moment)
        at = end
        while not raised(at, link) and at < end + 60.0:
            at += LOOK_S
        found.append(at - end + more_s)
    return found


def fixed(at: float, link: AccrualDetector) -> bool:
    return link.last_seen is not None and at - link.last_seen > c.PEER_FRESH_S


def accrual(at: float, link: AccrualDetector) -> bool:
    return link.level(at) >= c.SUSPICION_RAISE_LEVEL


def holds(
    rng: np.random.Generator, hours: float, what: Conditions, hold: Hold
) -> tuple[int, float, float]:
    """Wrong verdicts in that time, and p50 and p99 of the time from a node's end to the verdict."""
    n = int(hours * HOUR_S / hold.renew_s)
    slow = rng.random(n) < what.store_slow
    trips = what.store * np.where(slow, what.store_times, 1.0) * (1 + what.jitter * rng.random(n))
    trips += 2 * what.latency + _sent_again(rng, n, what.loss)
    pauses = _pauses(rng, n, what)
    failed = trips > hold.timeout_s
    took = np.where(failed, hold.timeout_s + c.RETRY_S, trips + hold.renew_s) + pauses
    sent = np.cumsum(took) - took
    renewed = (sent + trips / 2)[~failed]  # when the store took it in
    gaps = np.diff(renewed)
    ends = rng.uniform(renewed[0], renewed[-1], 20_000)
    last = renewed[np.searchsorted(renewed, ends) - 1]
    waits = np.maximum(0.0, last + hold.life_s - ends) + rng.uniform(0.0, 0.1, len(ends))
    return int((gaps > hold.life_s).sum()), *np.percentile(waits, (50, 99)).tolist()


def measure(hours: float, seed: int) -> dict[str, Any]:
    """All detectors under all conditions, `hours` in all for each detector."""
    each = hours / len(CONDITIONS)
    doubt_rows: list[Row] = []
    verdict_rows: list[Row] = []
    for number, what in enumerate(CONDITIONS):
        rng = np.random.default_rng([seed, number])
        seen = answers(rng, each, what)
        ends = rng.uniform(seen[200], seen[-1] - 100.0, 1000)
        probe = 2 * (2 * what.latency) + LOOK_S
        for name, raised, more_s in (
            ("fixed 2 s", fixed, 0.0),
            ("accrual", accrual, 0.0),
            ("accrual, asked third nodes", accrual, probe),
        ):
            wrong = false_doubts(seen, raised)
            if more_s:
                # Third nodes have links of their own: both must doubt it at the same moment.
                part = wrong * LOOK_S / (each * HOUR_S)
                wrong = wrong * part * part
            p50, p99 = np.percentile(delays(seen, ends, raised, more_s), (50, 99)).tolist()
            doubt_rows.append(Row(name, what.name, each, wrong / each, p50, p99))
        for name, hold in HOLDS.items():
            wrong, p50, p99 = holds(rng, each, what, hold)
            row = Row(f"hold of {hold.life_s:g} s ({name})", what.name, each, 0.0, p50, p99)
            row.extra["wrong_verdicts"] = wrong
            verdict_rows.append(row)
    return {
        "doubts": [asdict(row) for row in doubt_rows],
        "verdicts": [asdict(row) for row in verdict_rows],
    }
