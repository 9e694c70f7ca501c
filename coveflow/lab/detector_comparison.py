"""Compares failure detectors on the same generated heartbeat intervals, over many hours.

Intervals are drawn from a site's conditions (latency, jitter, losses, slow store) and from pauses
of the processes. Every detector sees the same heartbeats. Simulated; no node runs.

Three detectors are compared: a fixed time without an answer, which the accrual detector replaced;
the accrual level of `core.failure_detector`; and that level confirmed by two other nodes that ping
the suspect, as in SWIM (Das, Gupta, Motivala, 2002), which takes one more round trip. The verdict
on a suspected node is the expiry of its membership lease.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

import numpy as np

from coveflow import constants as c
from coveflow.core.failure_detector import AccrualDetector

RETRANSMIT_S = 0.2  # s until a lost packet is retransmitted, doubled each time
CHECK_INTERVAL_S = 0.1  # s between checks of a detector, as in the daemon
HOUR_S = 3600.0


@dataclass(frozen=True)
class LeaseSettings:
    """Membership lease settings: duration, renewal interval and renewal timeout, in s."""

    duration_s: float
    renew_s: float
    timeout_s: float


LEASES = {
    "before": LeaseSettings(2.5, 0.6, 1.5),
    "now": LeaseSettings(c.MEMBER_LEASE_S, c.MEMBER_LEASE_RENEW_S, c.MEMBER_LEASE_TIMEOUT_S),
}


@dataclass(frozen=True)
class Conditions:
    """Behaviour of a site's links, store and processes; times in s, shares as fractions of 1."""

    name: str
    latency: float = 0.001
    jitter: float = 0.25
    loss: float = 0.0005
    store: float = 0.003
    store_slow: float = 0.0  # share of the store's answers that are slow
    store_factor: float = 1.0  # factor by which these are slower
    pause: float = 0.01  # share of the pings before which the sender pauses
    pause_s: float = 0.1  # mean of such a pause
    max_pause_s: float = 0.8  # longest pause; a node that is paused for longer counts as failed


CONDITIONS = (
    Conditions("calm"),
    Conditions("slow store", store_slow=0.04, store_factor=40.0),
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


def _retransmission_delays(rng: np.random.Generator, n: int, loss: float) -> np.ndarray:
    """Delay in s that packet loss adds to each of n request-response exchanges."""
    lost = rng.geometric(1.0 - min(0.5, 2 * loss), n) - 1  # lost tries
    return RETRANSMIT_S * (2.0**lost - 1.0)


def _pauses(rng: np.random.Generator, n: int, conditions: Conditions) -> np.ndarray:
    """Length in s of the process pause before each of n requests."""
    lengths = np.minimum(rng.exponential(conditions.pause_s, n), conditions.max_pause_s)
    return lengths * (rng.random(n) < conditions.pause)


def answer_times(rng: np.random.Generator, hours: float, conditions: Conditions) -> np.ndarray:
    """Times at which a link's pings were answered, in order; one is sent every PING_S."""
    n = int(hours * HOUR_S / c.PING_S)
    pauses = _pauses(rng, n, conditions)
    trips = 2 * conditions.latency * (
        1.0 + conditions.jitter * rng.random(n)
    ) + _retransmission_delays(rng, n, conditions.loss)
    trips = np.minimum(trips, c.PING_TIMEOUT_S)
    # The next ping is sent PING_S after this one, or once this one is settled if that is later.
    periods = np.maximum(c.PING_S, trips) + pauses
    sent = np.cumsum(periods) - periods
    answered = trips < c.PING_TIMEOUT_S
    return (sent + trips)[answered]


def false_suspicions(
    answered_at: np.ndarray, suspects: Callable[[float, AccrualDetector], bool]
) -> int:
    """How often a detector suspected a node that never failed."""
    detector, count, at = (
        AccrualDetector(c.PING_S, c.SUSPICION_MIN_DEVIATION_S),
        0,
        float(answered_at[0]),
    )
    detector.record(at)
    for moment in answered_at[1:].tolist():
        # At the last check before the answer, the time without an answer is longest.
        checked_at = at + CHECK_INTERVAL_S * int((moment - at) / CHECK_INTERVAL_S - 1e-9)
        suspected = checked_at > at and suspects(checked_at, detector)
        count += suspected
        detector.record(moment, count_interval=not suspected)
        at = moment
    return count


def detection_delays(
    answered_at: np.ndarray,
    failures: np.ndarray,
    suspects: Callable[[float, AccrualDetector], bool],
    extra_s: float,
) -> list[float]:
    """Time in s from each failure of the node to its suspicion."""
    found = []
    for failed_at in failures.tolist():
        last = int(np.searchsorted(answered_at, failed_at))
        detector = AccrualDetector(c.PING_S, c.SUSPICION_MIN_DEVIATION_S)
        for moment in answered_at[max(0, last - c.SUSPICION_WINDOW) : last].tolist():
            detector.record(moment)
        at = failed_at
        while not suspects(at, detector) and at < failed_at + 60.0:
            at += CHECK_INTERVAL_S
        found.append(at - failed_at + extra_s)
    return found


def fixed(at: float, detector: AccrualDetector) -> bool:
    return detector.last_seen is not None and at - detector.last_seen > c.PEER_FRESH_S


def accrual(at: float, detector: AccrualDetector) -> bool:
    return detector.level(at) >= c.SUSPICION_RAISE_LEVEL


def lease_verdicts(
    rng: np.random.Generator, hours: float, conditions: Conditions, lease: LeaseSettings
) -> tuple[int, float, float]:
    """Wrong verdicts, and p50 and p99 of the time from a node's failure to its lease's expiry."""
    n = int(hours * HOUR_S / lease.renew_s)
    slow = rng.random(n) < conditions.store_slow
    trips = (
        conditions.store
        * np.where(slow, conditions.store_factor, 1.0)
        * (1 + conditions.jitter * rng.random(n))
    )
    trips += 2 * conditions.latency + _retransmission_delays(rng, n, conditions.loss)
    pauses = _pauses(rng, n, conditions)
    failed = trips > lease.timeout_s
    took = np.where(failed, lease.timeout_s + c.RETRY_S, trips + lease.renew_s) + pauses
    sent = np.cumsum(took) - took
    renewed = (sent + trips / 2)[~failed]  # when the store applied it
    gaps = np.diff(renewed)
    failures = rng.uniform(renewed[0], renewed[-1], 20_000)
    last = renewed[np.searchsorted(renewed, failures) - 1]
    waits = np.maximum(0.0, last + lease.duration_s - failures) + rng.uniform(
        0.0, 0.1, len(failures)
    )
    return int((gaps > lease.duration_s).sum()), *np.percentile(waits, (50, 99)).tolist()


def measure(hours: float, seed: int) -> dict[str, Any]:
    """All detectors under all conditions; `hours` is the total for each detector."""
    each = hours / len(CONDITIONS)
    suspicion_rows: list[Row] = []
    verdict_rows: list[Row] = []
    for number, conditions in enumerate(CONDITIONS):
        rng = np.random.default_rng([seed, number])
        answered_at = answer_times(rng, each, conditions)
        failures = rng.uniform(answered_at[200], answered_at[-1] - 100.0, 1000)
        probe = 2 * (2 * conditions.latency) + CHECK_INTERVAL_S
        for name, suspects, extra_s in (
            ("fixed 2 s", fixed, 0.0),
            ("accrual", accrual, 0.0),
            ("accrual, asked third nodes", accrual, probe),
        ):
            wrong = false_suspicions(answered_at, suspects)
            if extra_s:
                # The other nodes have their own links: both must suspect it at the same time.
                part = wrong * CHECK_INTERVAL_S / (each * HOUR_S)
                wrong = wrong * part * part
            p50, p99 = np.percentile(
                detection_delays(answered_at, failures, suspects, extra_s), (50, 99)
            ).tolist()
            suspicion_rows.append(Row(name, conditions.name, each, wrong / each, p50, p99))
        for name, lease in LEASES.items():
            wrong, p50, p99 = lease_verdicts(rng, each, conditions, lease)
            row = Row(
                f"hold of {lease.duration_s:g} s ({name})", conditions.name, each, 0.0, p50, p99
            )
            row.extra["wrong_verdicts"] = wrong
            verdict_rows.append(row)
    return {
        "doubts": [asdict(row) for row in suspicion_rows],
        "verdicts": [asdict(row) for row in verdict_rows],
    }
