"""The leader ends right after a large transaction; no controller can read its records again.

The stand-in of the state service keeps account of the order in which the leader's records were
written. From that the case chooses when to submit a job and when the leader ends.
"""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))
import stand  # noqa: E402

# The machines of the site file: small-8 are in rabat-dc, big-64 in casa-colo.
CAPACITY = {
    ("small-8", "rabat-dc", False): 20, ("small-8", "rabat-dc", True): 22,
    ("big-64", "casa-colo", False): 4, ("big-64", "casa-colo", True): 2,
}  # fmt: skip
SMALL = 42  # small-8, all that there are
LONG_EACH, LONG_LARGE = 17, 198  # long jobs on each of them, and on one big-64
SHORT = 92  # short jobs that end together
END_S = 113.0


def check(rows):
    """Which transaction of the leader's records is missing: as its next reader finds it."""
    found, expected = {}, {}
    for key, (value, _, _) in rows.items():
        if key.startswith("st/slot/"):
            found[value["seq"]] = found.get(value["seq"], 0) + 1
            expected[value["seq"]] = value["slots"]
    if not found:
        return None
    first, last = min(found), max(found)
    for seq in range(first, last + 1):
        if seq not in found or (seq > first and found[seq] != expected[seq]):
            return f"transaction {seq} of {first} to {last}"
    return None


class Case:
    def __init__(self, trouble):
        self.trouble = trouble
        self.run = stand.Run(HERE, stand.ATLAS, capacity=CAPACITY, boot_s=self.boot_s)
        self.run.state.after_commit = self.committed
        self.order = []  # slots, the one written longest ago first
        self.large = ""
        self.phase, self.gap = "setup", None
        rng = random.Random(7)
        self.numbers = [rng.randrange(10**39, 10**40) for _ in range(4000)]

    def boot_s(self, host):
        return 1.5  # "at times machines are up within a second or two"

    async def committed(self, who, guards, writes):
        slots = [w["write"] for w in writes if w.get("write", "").startswith("st/slot/")]
        if not slots:
            return None
        for slot in slots:
            if slot in self.order:
                self.order.remove(slot)
            self.order.append(slot)
        place = self.place()
        self.run.say(f"{who} wrote {len(slots)} slots; large record at {place}; {self.phase}")
        gap = check(self.run.state.rows)
        if gap and self.gap is None:
            self.gap = gap
            self.run.say(f"GAP in the records: {gap}")
            if self.trouble:
                self.run.kill(who)  # before it has the answer
                self.run.spawn(self.start_again(who))
        if self.phase == "ends" and place == 4:
            self.phase = "array"
            self.submit_array()
        return None

    async def start_again(self, name):
        await asyncio.sleep(stand.ATLAS["restart_s"])
        self.run.say(f"{name} starts again")
        self.run.launch(name)

    def place(self):
        """How many slots are to be overwritten before the one with the large machine's record."""
        rows = self.run.state.rows
        for place in range(len(self.order) - 1, -1, -1):
            if f"m/{self.large}" in rows[self.order[place]][0]["items"]:
                return place
        return None

    def job(self, **fields):
        number = self.numbers.pop()
        common = {"ram_gb": 0.05, "bundle": "img-0", "size_gb": 0.1, "borrowed": True}
        return self.run.spec(f"j-{number}", **common, **fields)

    def submit_array(self):
        spec = self.job(
            workload="checkin-tally", pieces=SMALL * 4, cpus=0.04, expected_s=3.0, due_s=60.0,
            site="rabat-dc", flavors=["small-8"],
        )  # fmt: skip
        other = next(name for name in self.run.names if name != self.run.leader())
        self.run.spawn(self.submit_later(spec, other))

    async def submit_later(self, spec, node):
        await asyncio.sleep(0.3)  # the leader has built its next transaction by then
        await self.run.submit(spec, node=node)

    async def submit_all(self, specs):
        """Users submit through all controllers, more at the one that may write more."""
        queue = list(specs)

        async def user(node):
            while queue:
                await self.run.submit(queue.pop(), node=node)

        leader = self.run.leader() or self.run.names[0]
        nodes = [leader] * 24 + [n for n in self.run.names if n != leader] * 8
        await asyncio.gather(*(user(node) for node in nodes))

    async def setup(self):
        run = self.run
        long = {"workload": "churn-rescore", "pieces": 1, "expected_s": 400.0, "due_s": 300.0}
        specs = [
            self.job(cpus=0.32, site="casa-colo", flavors=["big-64"], **long)
            for _ in range(LONG_LARGE)
        ]
        specs += [
            self.job(cpus=0.46, site="rabat-dc", flavors=["small-8"], **long)
            for _ in range(SMALL * LONG_EACH)
        ]
        random.Random(1).shuffle(specs)
        await self.submit_all(specs)
        run.say(f"{len(run.accepted)} long jobs accepted")

        async def all_run():
            return len(run.on) >= len(specs)

        if not await run.until(all_run, 25.0, "all long jobs run"):
            raise stand.CannotRun(f"{len(run.on)} of {len(specs)} long jobs run")
        large = [h for h in run.cloud.hosts.values() if h.zone == "casa-colo" and h.worker]
        self.large = max(large, key=lambda host: len(host.worker.tasks)).name
        run.say(f"tasks: {[(h.name, len(h.worker.tasks)) for h in large]}")

    def end_tasks(self, jobs):
        for host in self.run.cloud.hosts.values():
            tasks = list(host.worker.tasks.values()) if host.worker is not None else []
            for task in tasks:
                if task.job in jobs and task.state == "running":
                    task.timer.cancel()
                    host.worker.finish(task)

    async def attempt(self):
        run = self.run
        self.phase = "short"
        fields = {
            "workload": "checkin-tally", "pieces": 1, "due_s": 60.0, "site": "casa-colo",
            "flavors": ["big-64"],
        }  # fmt: skip
        shorts = [self.job(cpus=0.66, expected_s=30.0, **fields) for _ in range(SHORT)]
        names = {spec["name_id"] for spec in shorts}
        await self.submit_all(shorts)

        async def running():
            return all((name, 0) in run.on for name in names)

        if not await run.until(running, 12.0, "the short jobs run"):
            self.end_tasks(names)
            return
        await asyncio.sleep(0.7)
        while not 6 <= self.place() <= 8:  # other jobs of the users come and go meanwhile
            await run.submit(self.job(cpus=0.66, expected_s=0.3, **fields), node=run.leader())
            await asyncio.sleep(1.2)
        self.end_tasks(names)
        self.phase = "ends"

        async def tried():
            return self.phase == "array" or self.gap is not None

        await run.until(tried, 11.0, "the array was submitted", 0.02)

        async def gap():
            return self.gap is not None

        await run.until(gap, 4.0, "a gap", 0.02)

    async def play(self):
        run = self.run
        try:
            await run.start()
            await self.setup()
            while self.gap is None and stand.clock() - run.began < 78.0:
                await self.attempt()
            if self.gap is None:
                run.say("no gap came about")
                return run.broken
            at = stand.clock()
            await asyncio.sleep(9.0)
            specs = [
                self.job(workload="checkin-tally", pieces=1, cpus=0.05, expected_s=2.0, due_s=60.0)
                for _ in range(3)
            ]
            for spec in specs:
                await run.submit(spec)
            later = [spec["name_id"] for spec in specs]

            async def done():
                for job in later:
                    await run.poll(job)
                return all(job in run.final for job in later)

            left = END_S - (stand.clock() - run.began)
            finished = await run.until(done, left, "later jobs done", stand.POLL_S)
            for name in run.names:
                lines = run.log_lines(name, "is incomplete")
                run.say(f"{name}: {len(lines)} times unreadable; {lines[-1:]}")
            if not finished and not any(
                (job, 0) in run.on or (job, 0) in run.done for job in later
            ):
                run.broke(
                    "an accepted job must run",
                    f"no task starts since the leader ended {stand.clock() - at:.0f} s ago; the "
                    f"controllers can't read the records ({self.gap})",
                )
            return run.broken
        finally:
            await run.stop()


async def case(trouble):
    return await Case(trouble).play()


stand.main(case)
