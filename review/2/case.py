"""A job bound to one zone loses its machine; where do its tasks start again?

The job was accepted some minutes before the script begins. `state.json` holds what the state
service and the job's machine had then; `python3 case.py record` made it with the same deployment.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

from deployments import atlas  # noqa: E402
from standins import TROUBLE, Attempt, Worker, job, now, play  # noqa: E402

JOB = "j-000412"
TASKS = 12
SPEC = job(
    JOB, "churn-rescore", "retention-desk", TASKS, 4.0, urgency="low", ram_gb=6.5, size_gb=0.4,
    same_place=True, expected_s=400.0, borrowed=True,
)  # fmt: skip
AGE_S = 200.0  # the recorded state is this old when the script begins
CAPACITY = {("big-64", "casa-colo", False): 2, ("small-8", "rabat-dc", False): 3}


async def record(folder: Path) -> int:
    """Let the deployment take the job in and start it, and keep what is stored then."""
    world = atlas(folder, {("big-64", "casa-colo", False): 1})
    await world.open()
    try:
        world.add_machine("big-64", "casa-colo", False, boot_s=0.0)
        for name in world.names:
            await world.start_controller(name)
        await world.healthy()
        assert await world.submit(SPEC) in (200, 201)
        await asyncio.sleep(10.0)
        assert len(world.starts) == TASKS
        machine = next(iter(world.machines.values()))
        state = {
            "wall": time.time(),
            "rev": world.state.rev,
            "rows": {k: [v, rev] for k, (v, rev, lease) in world.state.rows.items() if not lease},
            "machine": {
                "name": machine.name, "counter": machine.counter, "epoch": machine.epoch,
                "tenure": machine.tenure, "tasks": [list(a.key) for a in machine.tasks.values()],
            },
        }  # fmt: skip
    finally:
        await world.close()
    (HERE / "state.json").write_text(json.dumps(state, indent=1, sort_keys=True) + "\n")
    return 0


def restore(world) -> Worker:
    """Put the recorded state in place, as old as AGE_S; gives the job's machine."""
    state = json.loads((HERE / "state.json").read_text())
    later = time.time() - AGE_S - state["wall"]
    for key, (value, rev) in state["rows"].items():
        if isinstance(value, dict) and isinstance(value.get("at"), float):
            value["at"] += later
        world.state.rows[key] = (value, rev, None)
    world.state.rev = state["rev"]
    world.specs[JOB] = SPEC
    kept = state["machine"]
    name = world.add_machine("big-64", "casa-colo", False, boot_s=3600.0)
    assert name == kept["name"], name
    worker = Worker(world, name, world.flavors["big-64"], "casa-colo", False)
    world.hosts[name] |= {"rented": now() - AGE_S, "up": now() - AGE_S}
    world.machines[name] = worker
    worker.tenure, worker.counter, worker.epoch = kept["tenure"], kept["counter"], kept["epoch"]
    worker.images.add(SPEC["bundle"])
    for key in kept["tasks"]:
        a = worker.tasks[tuple(key)] = Attempt(*key)
        a.state, a.on, a.ends = "running", True, now() + SPEC["expected_s"] - AGE_S
        world.on[a.job, a.task] = [name]
        used = world.used.setdefault(SPEC["owner"], [0.0, 0.0])
        used[0] += SPEC["cpus"]
    return worker


async def case(folder: Path) -> int:
    world = atlas(folder, CAPACITY)
    await world.open()
    try:
        worker = restore(world)
        world.spawn(worker.run())
        world.add_machine("big-64", "casa-colo", False, boot_s=0.0)
        for _ in range(3):
            world.add_machine("small-8", "rabat-dc", False, boot_s=0.0)
        for name in world.names:
            await world.start_controller(name)
        await world.healthy()
        await asyncio.sleep(6.0)
        status, body = await world.poll(JOB)
        if status != 200 or body["running"] != TASKS or worker.tenure != 1:
            world.record("the job does not run at the beginning")
            return 2
        # Another job shows that the deployment serves.
        other = job("j-000413", "checkin-tally", "retention-desk", 2, 2.0, expected_s=4.0)
        assert await world.submit(other) in (200, 201)
        ends = now() + 30.0
        while (await world.poll(other["name_id"]))[1]["status"] != "done":
            if now() > ends:
                world.record("the deployment does not serve")
                return 2
            await asyncio.sleep(1.0)
        if TROUBLE:
            world.record("DISRUPTION: machine", worker.name, "stops with all that is on it")
            world.stop_machine(worker.name)
        ends = now() + 45.0
        while now() < ends and not world.broken:
            await asyncio.sleep(1.0)
            await world.poll(JOB)
        if world.ended_by_itself():
            return 2
        restarted = sum(row[1] == JOB for row in world.starts)
        world.record("broken:", world.broken, "starts of the job:", restarted)
        if TROUBLE and not restarted:
            return 2
        return 1 if world.broken else 0
    finally:
        await world.close()


if __name__ == "__main__":
    play(record if sys.argv[1:] == ["record"] else case, HERE)
