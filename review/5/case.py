"""Many one-task jobs come at once; the record of the machine that gets them is too large to store.

Without the disruption the same jobs come at a quarter of the rate and so few wait at a time.
"""

import asyncio
import datetime
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))
import stand  # noqa: E402

BURST_S = 12.0
RATE = 20.0  # jobs a second: `gauge-checks` in kit/more/surco-cluster-ops.toml
ORDINARY_RATE = 2.0
STATED_S = 90.0  # no job waits as long while a machine that fits has room


def job_ids(count):
    """Ids as a pipeline might choose them: date and time to the microsecond, then a number."""
    at = datetime.datetime(2026, 12, 6, 18, 0, 0)
    for i in range(count):
        moment = at + datetime.timedelta(microseconds=50_021 * i)
        yield f"j-{moment:%Y%m%d%H%M%S%f}{i:06d}"


async def case(trouble):
    capacity = {("worker-16", "coban-rack", True): 3, ("worker-16", "coban-rack", False): 2}
    run = stand.Run(HERE, stand.SURCO, capacity=capacity, boot_s=lambda host: 12.0)
    try:
        await run.start()
        rate = RATE if trouble else ORDINARY_RATE
        run.say(f"jobs come at {rate:g} a second for {BURST_S:g} s")
        for job in job_ids(int(rate * BURST_S)):
            spec = run.spec(
                job, workload="gauge-checks", pieces=1, cpus=0.05, ram_gb=0.2, urgency="low",
                bundle="gauge-1", size_gb=0.5, flavors=["worker-16"], site="coban-rack",
                expected_s=10.0,
            )  # fmt: skip
            run.spawn(run.submit(spec))
            await asyncio.sleep(1.0 / rate)

        async def machine_up():
            return any(h.up is not None for h in run.cloud.hosts.values())

        if not await run.until(machine_up, 25.0, "a machine is up") or not run.accepted:
            raise stand.CannotRun("no machine is up, or no job was accepted")
        up_at = stand.clock()
        run.say(f"{len(run.accepted)} jobs accepted, a machine is up")

        async def all_done():
            for job in list(run.accepted):
                if job not in run.final:
                    await run.poll(job)
            return len(run.final) == len(run.accepted)

        wait_s = min(STATED_S, 112.0 - (up_at - run.began))
        await run.until(all_done, wait_s, "all jobs done", stand.POLL_S)
        run.say(f"{run.starts} starts, {len(run.final)} of {len(run.accepted)} jobs done")
        run.say(f"refused by the state service: {run.state.refusals}")
        view = run.state.rows["in/view"][0]
        run.say(f"the view names epoch {view['epoch']}, the leader is {view['leader']}")
        for name in run.names:
            run.say(f"{name}: {len(run.log_lines(name, 'transaction refused'))} refused writes")
        if not run.starts:
            run.broke(
                "nothing_ran",
                f"no task of {len(run.accepted)} accepted jobs was started within "
                f"{stand.clock() - up_at:.0f} s of the first machine's start",
            )
        return run.broken
    finally:
        await run.stop()


stand.main(case)
