"""Samples the free capacity of the machines of a simulated world for the checker."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from coveflow.lab.truth import INF
from coveflow.lab.waits import FreeCapacity
from coveflow.lab.worker import Worker

if TYPE_CHECKING:
    from coveflow.lab.virtual import World

EVERY_S = 1.0  # s between two samples


def watch(world: World, calm_at: float) -> None:
    """Has the checker judge from `calm_at` on whether jobs wait despite free capacity."""
    world.checker.waits.faults_over_at = calm_at

    def sample() -> None:
        world.checker.record(row(world))
        world.at(world.now + EVERY_S, sample)

    world.at(world.now + EVERY_S, sample)


def row(world: World) -> dict[str, Any]:
    """A row of the history: free capacity of usable machines, and placed tasks."""
    workers = [worker for worker in world.fleet.workers.values() if worker.alive]
    placed = [
        (attempt.job, attempt.task, worker.zone)
        for worker in workers
        for attempt in worker.tasks.values()
        if attempt.state != "exited"
    ]
    machines = [room(worker) for worker in workers if usable(world, worker)]
    return {"at": world.now, "kind": "rooms", "machines": machines, "placed": placed}


def usable(world: World, worker: Worker) -> bool:
    """Whether the machine is healthy, and communicates in both directions."""
    unreachable = (world.fleet.deaf, world.fleet.away)
    return (
        worker.hung_at is None
        and not worker.sick
        and worker.reclaim_at == INF
        and all(table.get(worker.name, (0.0, 0.0))[1] <= world.now for table in unreachable)
    )


def room(worker: Worker) -> FreeCapacity:
    """Capacity left by the machine's tasks, including those that wait for their image."""
    specs = [worker.truth.specs[a.job] for a in worker.tasks.values() if a.state != "exited"]
    flavor = worker.flavor
    return FreeCapacity(
        worker.name, flavor.name, worker.zone, worker.spot,
        flavor.cpus - sum(spec.cpus for spec in specs),
        flavor.accelerators - sum(spec.accelerators for spec in specs),
        flavor.ram_gb - sum(spec.ram_gb for spec in specs),
        flavor.cache_gb,
    )  # fmt: skip
