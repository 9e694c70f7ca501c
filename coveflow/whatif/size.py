"""Synthetic workloads of any size, to benchmark the simulator.

`python -m coveflow.whatif.size TASKS MACHINES` simulates one and prints its cost on one core.
"""

from __future__ import annotations

import math
import resource
import sys
import time

import numpy as np

from coveflow.core.model import Flavor, Spec
from coveflow.settings import Cloud, Params, Resources, State, Team, Tuning, Workers
from coveflow.whatif.replay import Arrival, Replay, Up

ZONES = ["north", "south"]
CPUS = 8.0
TARGET_LOAD = 0.85  # average share of the fleet's CPUs that arrivals need
CLASSES = ("tally", "rescore", "stitch", "ingest")


def synthetic_workload(tasks: int, machines: int, seed: int = 1) -> Replay:
    """`tasks` tasks of one to four CPUs, in arrays of about a hundred, on 8-CPU machines."""
    rng = np.random.default_rng([seed, 5])
    flavor = Flavor("m8", CPUS, 0.0, 32.0, 60.0, 1.0, 0.4, 0.1, 30.0, ZONES)
    arrivals: list[Arrival] = []
    at, remaining, number = 0.0, tasks, 0
    while remaining > 0:
        kind = int(rng.integers(len(CLASSES)))
        count = int(min(remaining, max(1, rng.lognormal(math.log(80), 0.7))))
        cpus = float((1, 1, 2, 4)[kind])
        typical = float(rng.lognormal(math.log(45), 0.3))
        lengths = np.clip(typical * rng.lognormal(0.0, 0.12, count), 5, 300).tolist()
        due = typical * 4 + 30 if kind % 2 == 0 else None
        spec = Spec(
            f"j-{number:07d}", CLASSES[kind], "team", "array", 1 if due else 0, count, cpus, 0.0,
            cpus * 2, f"{CLASSES[kind]}-{int(rng.integers(4))}", 1.0, None, None, False, False,
            False, round(typical * float(rng.lognormal(0, 0.3)), 2), 0.0, 0.0, due,
        )  # fmt: skip
        arrivals.append(Arrival(at, spec, lengths, [0.0] * count))
        at += count * cpus * typical / (TARGET_LOAD * machines * CPUS)
        remaining -= count
        number += 1
    params = Params(
        ZONES,
        Workers(2.0, 12.0, 30.0, 5.0, 40.0),
        State(200.0, 80.0, 16.0, 32),
        Cloud(3.0, 10.0),
        3,
        0.0,
        [Team("team")],
        [],
        Resources(0.72, 186.0, 1500),
    )
    up_machines = [Up(f"n-{i:05d}", "m8", ZONES[i % 2], False, 0.0) for i in range(machines)]
    key = {(f.type, f.zone, f.spot) for f in up_machines}
    return Replay(
        0.0, at, params, Tuning(), ["a", "b", "c"], [flavor], arrivals, up_machines, {}, {}, {}, {},
        {}, {k: machines for k in key}, {}, [], [], [], [], [], {}, [], [],
    )  # fmt: skip


def main(tasks: int, machines: int) -> None:
    from coveflow.whatif.changes import Changes
    from coveflow.whatif.simulate import simulate

    replay = synthetic_workload(tasks, machines)
    began = time.process_time()
    outcome = simulate(replay, Changes(), 1)
    took = time.process_time() - began
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    done = sum(job.status == "done" for job in outcome.jobs)
    print(
        f"{tasks} tasks on {machines} machines: {took:.1f} s of processor time, {peak_mb:.0f} MB;"
        f" {done} of {len(outcome.jobs)} jobs done in {outcome.length:.0f} simulated s,"
        f" {len(outcome.broken)} broken rules"
    )


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]))
