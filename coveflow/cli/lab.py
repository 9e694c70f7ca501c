"""`coveflow lab`: stand-in clusters on this machine."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import click
from rich.console import Console, Group
from rich.live import Live
from rich.panel import Panel
from rich.progress_bar import ProgressBar
from rich.table import Table
from rich.text import Text

from coveflow.cli.errors import UserError
from coveflow.cli.labs import running
from coveflow.cli.modelcheck import model_check
from coveflow.cli.scale import scale
from coveflow.cli.timeline import suspect, timeline
from coveflow.cli.worlds import worlds
from coveflow.lab import faults as fl
from coveflow.lab import site as sites
from coveflow.lab import workload
from coveflow.lab.cluster import Cluster, LabError
from coveflow.lab.workload_run import WorkloadRun

SITES = Path(sites.__file__).parent / "sites"
LAB_TRIES = 3  # times a lab is started that could not
DEMO_S = 26.0  # s in which the demo's jobs arrive
DEMO_KILL_S = 13.0  # s into the demo at which its leader is killed
DEMO_MOST_S = 52.0  # s after which it stops waiting for what is left


def lab_file(name: str) -> Path:
    """A file, or one of the sites that come with the package by its name."""
    path = Path(name)
    if path.is_file():
        return path
    there = SITES / f"{name}.scm"
    if there.exists():
        return there
    known = ", ".join(sorted(p.stem for p in SITES.glob("*.scm")))
    raise UserError(f"{name}: no such lab file; give a path or one of: {known}")


def driven(work: Coroutine[Any, Any, Any]) -> Any:
    """Run to the end; Ctrl-C and SIGTERM cancel it, so that it can end its processes."""

    async def run() -> Any:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for what in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(what, task.cancel)
        return await work

    try:
        return asyncio.run(run())
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
    except LabError as error:
        raise UserError(str(error)) from error


@click.group()
def lab() -> None:
    """Stand-in clusters on this machine: state service, cloud, workers, controllers."""


lab.add_command(timeline)
lab.add_command(suspect)
lab.add_command(scale)
lab.add_command(model_check)
lab.add_command(worlds)


@lab.command()
@click.option("--folder", type=click.Path(path_type=Path), help="Keep logs and history there.")
@click.option("--seed", type=int, default=7, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object at the end.")
def demo(folder: Path | None, seed: int, as_json: bool) -> None:
    """A small evening in under a minute: the leader is killed in the middle."""
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="coveflow-")))
        good = driven(_demo(folder, seed, as_json))
    sys.exit(0 if good else 1)


async def _demo(folder: Path, seed: int, as_json: bool) -> bool:
    console = Console(stderr=as_json)
    cluster = Cluster(lab_file("demo"), folder)
    cluster.site.seed = seed
    faults = [fl.Fault(DEMO_KILL_S, "kill", ("leader",))]
    said: list[str] = []
    evening = WorkloadRun(
        cluster, workload.draw(cluster.site, DEMO_S), faults, on_message=said.append
    )
    machines = sum(cluster.site.up.values())
    console.print(
        f"[bold]coveflow lab demo[/]: {cluster.site.controllers} controllers, {machines} machines,"
        f" {len(evening.jobs)} jobs; its leader is killed after {DEMO_KILL_S:g} s"
    )
    try:
        await cluster.start()
        with Live(console=console, refresh_per_second=4, transient=True) as live:
            show = asyncio.create_task(_show(live, cluster, evening, said))
            await evening.run(DEMO_MOST_S)
            show.cancel()
        await asyncio.sleep(0.3)  # the workers' last rows
        import aiohttp

        async with aiohttp.ClientSession() as session:
            state = await cluster.ask(session, "/lab/state")
    finally:
        await cluster.stop()
    broken = evening.broken_rules()
    if as_json:
        print(json.dumps(report(evening, broken, state, said)))
    else:
        console.print(jobs_table(evening))
        for text in said:
            console.print(f"[yellow]fault[/] {text}")
        _verdict(console, evening, broken, state["paid"])
    unfinished = [x for x in evening.records.values() if x.status not in ("done", "cancelled")]
    return not broken and not unfinished


def report(evening: WorkloadRun, broken: list, state: dict[str, Any], said: list[str]) -> dict:
    jobs = [
        {
            "job": x.spec.id, "class": x.spec.workload, "tasks": x.spec.tasks,
            "status": x.status, "submitted_s": round(x.due - evening.started_at, 3),
            "took_s": None if x.took_s is None else round(x.took_s, 3), "late": x.missed_deadline,
        }
        for x in evening.records.values()
    ]  # fmt: skip
    rules = [{"rule": b.rule, "at": b.at, "text": b.text} for b in broken]
    return evening.summary() | {
        "jobs": jobs, "broken": rules, "faults": said, "paid": state["paid"],
    }  # fmt: skip


def jobs_table(evening: WorkloadRun, newest: int | None = None) -> Table:
    table = Table(box=None, header_style="bold", pad_edge=False)
    columns = ("job", "class", "tasks", "submitted", "state", "done", "took", "deadline")
    for name in columns:
        right = name in ("tasks", "submitted", "done", "took", "deadline")
        table.add_column(name, justify="right" if right else "left")
    courses = list(evening.records.values())
    if newest is not None:
        courses.sort(key=lambda x: (x.finished is not None, -x.due))
        courses = courses[:newest]
    for x in sorted(courses, key=lambda x: x.due):
        deadline = "" if x.spec.deadline_s is None else f"{x.spec.deadline_s:.1f} s"
        took = "" if x.took_s is None else f"{x.took_s:.1f} s"
        style = {"done": "green", "running": "cyan", "refused": "red"}.get(x.status, "")
        if x.missed_deadline:
            took = f"[red]{took} late[/]"
        done = x.spec.tasks if x.status == "done" else x.done
        table.add_row(
            x.spec.id, x.spec.workload, str(x.spec.tasks), f"{x.due - evening.started_at:.1f} s",
            f"[{style}]{x.status}[/]" if style else x.status, str(done), took, deadline,
        )  # fmt: skip
    return table


async def _show(live: Live, cluster: Cluster, evening: WorkloadRun, said: list[str]) -> None:
    import aiohttp

    async with aiohttp.ClientSession() as session:
        while True:
            with contextlib.suppress(LabError, aiohttp.ClientError, OSError, TimeoutError):
                state = await cluster.ask(session, "/lab/state")
                leader = await cluster.leader(session)
                live.update(_picture(cluster, evening, said, state, leader))
            await asyncio.sleep(0.25)


def _picture(
    cluster: Cluster,
    evening: WorkloadRun,
    said: list[str],
    state: dict[str, Any],
    leader: str | None,
) -> Group:
    fleet = Table(box=None, header_style="bold", pad_edge=False)
    for name in ("machine", "type", "zone", "tasks"):
        fleet.add_column(name)
    fleet.add_column("", width=18)
    for m in state["machines"]:
        busy = [t for t in m["tasks"] if t[2] != "exited"]
        running = sum(t[2] == "running" for t in busy)
        fleet.add_row(
            m["name"], m["type"], m["zone"], f"{running} of {len(busy)} run",
            ProgressBar(total=m["cpus"], completed=min(len(busy), m["cpus"]), width=18),
        )  # fmt: skip
    nodes = Text("  ").join(
        Text(f"{name}{' leads' if name == leader else ''}",
             style="bold green" if name == leader else "")
        for name in cluster.nodes
    )  # fmt: skip
    now = time.monotonic() - evening.started_at
    over = sum(x.finished is not None for x in evening.records.values())
    head = Text(f"{now:5.1f} s   {over} of {len(evening.jobs)} jobs over   ") + nodes
    if said:
        head += Text(f"   {said[-1]}", style="yellow")
    return Group(head, Panel(jobs_table(evening, 14), title="jobs"), Panel(fleet, title="fleet"))


def _verdict(console: Console, evening: WorkloadRun, broken: list, paid: float) -> None:
    for name, row in evening.summary()["classes"].items():
        in_time = "" if row["in_time"] is None else f", {row['in_time']:.0%} by the deadline"
        median = "" if row["median_s"] is None else f", median {row['median_s']:.1f} s"
        console.print(f"{name}: {row['done']} of {row['jobs']} jobs done{in_time}{median}")
    ms = evening.latencies_ms()
    if ms:
        console.print(f"submissions: p50 {ms['p50']:.0f} ms, p99 {ms['p99']:.0f} ms from when due")
    console.print(f"money: {paid:.4f} at the lab's prices")
    for b in broken:
        console.print(
            f"[bold red]broken rule[/] {b.rule} at {b.at - evening.started_at:.1f} s: {b.text}"
        )
    if not broken:
        console.print("[bold green]no rule was broken[/]")


@lab.command()
@click.argument("site", default="evening")
@click.option("--for", "for_s", default=120.0, show_default=True, help="Seconds of arrivals.")
@click.option("--until", "until_s", type=float, help="Seconds at which waiting for jobs ends.")
@click.option("--factor", default=1.0, show_default=True, help="Of the classes' rates.")
@click.option("--seed", type=int, help="Instead of the site's.")
@click.option("--faults", "script", type=click.Path(path_type=Path), help="A fault script.")
@click.option("--tuning", type=click.Path(path_type=Path, exists=True), help="For controllers.")
@click.option("--folder", type=click.Path(path_type=Path), help="Logs, history and trace.")
@click.option("--trace", "traced", is_flag=True, help="Record a trace into FOLDER/trace.")
@click.option("--json", "as_json", is_flag=True)
def load(
    site: str, for_s: float, until_s: float | None, factor: float, seed: int | None,
    script: Path | None, tuning: Path | None, folder: Path | None, traced: bool, as_json: bool,
) -> None:  # fmt: skip
    """Open-loop submissions on a lab of its own: latencies, finish times, rules."""
    if traced and folder is None:
        raise UserError("--trace needs --folder, where the trace is kept")
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="coveflow-")))
        from coveflow.lab.experiment import Case, run_case

        case = Case(
            lab_file(site), for_s, until_s or for_s * 4 + 60, factor, seed,
            fl.load(script) if script else [], tuning, traced,
        )  # fmt: skip
        console = Console(stderr=True)
        found = driven(run_case(case, folder, on_message=console.print))
    click.echo(json.dumps(found) if as_json else _loaded(found))
    sys.exit(1 if found["broken"] else 0)


def _loaded(found: dict[str, Any]) -> str:
    lines = []
    for name, row in found["classes"].items():
        in_time = "" if row["in_time"] is None else f", {row['in_time']:.0%} by the deadline"
        took = "" if row["median_s"] is None else (
            f", median {row['median_s']:.1f} s, p95 {row['p95_s']:.1f} s"
        )  # fmt: skip
        lines.append(f"{name}: {row['done']} of {row['jobs']} jobs done{in_time}{took}")
    ms = found["submit_ms"]
    if ms:
        lines.append("submissions: " + ", ".join(f"{k} {v:.0f} ms" for k, v in ms.items()))
    lines += [f"broken rule {b['rule']}: {b['text']}" for b in found["broken"]]
    return "\n".join(lines if found["broken"] else [*lines, "no rule was broken"])


@lab.command()
@click.argument("file", type=click.Path(path_type=Path))
@click.option("--out", type=click.Path(path_type=Path), required=True, help="Folder of results.")
def experiment(file: Path, out: Path) -> None:
    """A matrix of settings, rates and seeds, one evening each: Parquet and an HTML page."""
    from rich.progress import Progress

    from coveflow.lab import experiment as ex
    from coveflow.lab import results

    try:
        plan = ex.parse_matrix(file.read_text(encoding="utf-8"), str(file))
    except OSError as error:
        raise UserError(f"{file}: {error.strerror}") from error
    site, rows, broken = lab_file(plan.site), [], 0
    cases = plan.cases()
    with Progress(console=Console(stderr=True)) as progress:
        bar = progress.add_task("evenings", total=len(cases))
        for number, case in enumerate(cases):
            name, factor, seed = case
            folder = out / f"case-{number:03d}"
            folder.mkdir(parents=True, exist_ok=True)
            tuning = None
            if name in plan.tunings:
                tuning = folder / "tuning.scm"
                tuning.write_text(plan.tunings[name], encoding="utf-8")
            played = ex.Case(
                site, plan.for_s, plan.until_s, factor, seed, list(plan.faults), tuning
            )
            found = driven(ex.run_case(played, folder))
            broken += len(found["broken"])
            rows += results.class_rows(case, found)
            progress.advance(bar)
    for path in results.write(rows, file.stem, out):
        click.echo(f"wrote {path}")
    click.echo(f"{len(cases)} evenings, {broken} broken rules")
    sys.exit(1 if broken else 0)


@lab.command()
@click.argument("folder", type=click.Path(path_type=Path))
def check(folder: Path) -> None:
    """Read the history that a lab left in FOLDER and name any broken rule of the protocol."""
    from coveflow.lab.cluster import check_folder

    try:
        broken = check_folder(folder)
    except LabError as error:
        raise UserError(str(error)) from error
    for b in broken:
        click.echo(f"{b.rule} at {b.at:.2f}: {b.text}")
    click.echo("no rule was broken" if not broken else f"{len(broken)} broken rules")
    sys.exit(1 if broken else 0)


@lab.command("record-kills")
@click.option("--times", default=200, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--folder", type=click.Path(path_type=Path))
def record_kills(times: int, seed: int, folder: Path | None) -> None:
    """Kill a trace's recorder at random moments, then check the trace; some minutes."""
    from rich.progress import Progress

    from coveflow.lab.recorder_kills import kill_recorder

    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="coveflow-")))
        progress = stack.enter_context(Progress(console=Console(stderr=True)))
        bar = progress.add_task("kills", total=times)
        found = driven(
            kill_recorder(folder, times, seed, lambda n: progress.update(bar, completed=n))
        )
    click.echo(
        f"{found.kills} kills, {found.told} events told, {found.found.rows} rows written:"
        f" {found.missing} missing and untold, {found.differing} differing,"
        f" {len(found.found.wrong)} faults, {len(found.found.gaps)} gaps told"
    )
    sys.exit(1 if found.missing or found.differing or found.found.wrong else 0)


@lab.command("tasks")
@click.argument("site", default="demo")
@click.option("--seeds", default=1, show_default=True, help="Labs, each with faults of its own.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--tasks", "count", default=20, show_default=True, help="Tasks a lab.")
@click.option("--at-once", default=4, show_default=True, help="Labs that run at the same time.")
@click.option("--folder", type=click.Path(path_type=Path), help="Logs and histories.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object a seed.")
def tasks_history(
    site: str, seeds: int, first: int, count: int, at_once: int, folder: Path | None,
    as_json: bool,
) -> None:  # fmt: skip
    """Tasks of the task execution API in trouble: one final state each, the same from all nodes."""
    from dataclasses import asdict

    from rich.progress import Progress

    from coveflow.lab import tasks

    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="coveflow-")))
        progress = stack.enter_context(Progress(console=Console(stderr=True)))
        bar = progress.add_task("seeds", total=seeds)
        free = asyncio.Semaphore(at_once)

        async def one(seed: int) -> tasks.HistoryResult:
            async with free:
                for at in range(LAB_TRIES):
                    where = folder / f"seed-{seed}-{at}"
                    try:
                        found = await tasks.run_history(lab_file(site), where, seed, count)
                        break
                    except LabError as error:
                        # Labs that start at the same moment may take each other's ports.
                        found = tasks.HistoryResult(seed, wrong=[f"the lab did not start: {error}"])
                progress.advance(bar)
                return found

        async def everything() -> list[tasks.HistoryResult]:
            return await asyncio.gather(*(one(seed) for seed in range(first, first + seeds)))

        found = driven(everything())
    if as_json:
        for row in found:
            click.echo(json.dumps(asdict(row)))
    for row in found:
        for text in row.wrong:
            click.echo(f"seed {row.seed}: {text}", err=as_json)
    ends = {state: sum(r.ends.get(state, 0) for r in found) for r in found for state in r.ends}
    click.echo(
        f"{seeds} seeds, {sum(len(r.faults) for r in found)} faults,"
        f" {sum(r.tasks for r in found)} tasks, {sum(r.answers for r in found)} answers;"
        f" ends {ends}; {sum(len(r.wrong) for r in found)} wrong",
        err=as_json,
    )
    sys.exit(1 if any(r.wrong for r in found) else 0)


@lab.command("task-load")
@click.argument("site", default="demo")
@click.option("--known", "counts", multiple=True, type=int, default=(1000, 20000, 200000),
              show_default=True, help="Tasks that the service knows already.")  # fmt: skip
@click.option("--for", "for_s", default=20.0, show_default=True)
@click.option("--submit", default=5.0, show_default=True, help="Submissions a second.")
@click.option("--get", default=20.0, show_default=True)
@click.option("--list", "listing", default=10.0, show_default=True)
@click.option("--folder", type=click.Path(path_type=Path))
def task_load(
    site: str, counts: tuple[int, ...], for_s: float, submit: float, get: float, listing: float,
    folder: Path | None,
) -> None:  # fmt: skip
    """Latencies of the task execution API, by how many tasks are known; one JSON object each."""
    from coveflow.lab import tasks

    rates = {"submit": submit, "get": get, "list": listing}
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="coveflow-")))
        for known in counts:
            where = folder / f"known-{known}"
            click.echo(json.dumps(
                driven(tasks.measure_latencies(lab_file(site), where, known, for_s, rates))
            ))  # fmt: skip


@lab.command("task-flood")
@click.argument("site", default="demo")
@click.option("--for", "for_s", default=30.0, show_default=True)
@click.option("--per-s", default=60.0, show_default=True, help="Tasks a second in the flood.")
@click.option("--folder", type=click.Path(path_type=Path))
def task_flood(site: str, for_s: float, per_s: float, folder: Path | None) -> None:
    """Native submissions' latencies without and with a flood of tasks; one JSON object each."""
    from coveflow.lab import tasks

    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="coveflow-")))
        for rate in (0.0, per_s):
            where = folder / f"flood-{rate:g}"
            click.echo(json.dumps(driven(tasks.measure_flood(lab_file(site), where, for_s, rate))))


# --- a lab that stays ------------------------------------------------------------------


@lab.command()
@click.argument("site", default="demo")
@click.option("--folder", type=click.Path(path_type=Path), default="lab-run", show_default=True)
@click.option("--tuning", type=click.Path(path_type=Path, exists=True), help="For controllers.")
@click.option("--detach", is_flag=True, help="Return when it is up; `lab down` ends it.")
@click.option("--tes", is_flag=True, help="Serve the task execution API, with a token a team.")
def up(site: str, folder: Path, tuning: Path | None, detach: bool, tes: bool) -> None:
    """Start a lab and leave it running; prints its settings file."""
    path = lab_file(site)
    if detach:
        _detached(path, folder, tuning, tes)
        return
    driven(_up(path, folder, tuning, tes))


async def _up(path: Path, folder: Path, tuning: Path | None, tes: bool) -> None:
    cluster = Cluster(path, folder, tuning, tes="" if tes else None)
    try:
        await cluster.start()
        _where(folder)
        await asyncio.Event().wait()
    finally:
        await cluster.stop()
        (folder / "lab.json").unlink(missing_ok=True)


def _where(folder: Path) -> None:
    click.echo(f"settings: {folder / 'host-0.toml'}")
    found = running(folder)
    click.echo(f"users:    {' '.join(found['nodes'])}")
    if found.get("tes"):
        click.echo(f"tasks:    {' '.join(found['tes'])}")
        for name, token in found["tokens"].items():
            click.echo(f"token:    {name} {token}")
    click.echo(f"try:      coveflow submit --lab {folder} --class tally")
    click.echo(f"end:      coveflow lab down --folder {folder}")


def _detached(path: Path, folder: Path, tuning: Path | None, tes: bool) -> None:
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "lab.json").unlink(missing_ok=True)
    command = [
        sys.executable,
        "-m",
        "coveflow.cli",
        "lab",
        "up",
        str(path),
        "--folder",
        str(folder),
    ]
    if tuning is not None:
        command += ["--tuning", str(tuning)]
    if tes:
        command.append("--tes")
    with (folder / "up.log").open("ab") as log:
        process = subprocess.Popen(
            command, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True
        )
    ends = time.monotonic() + 30
    while not (folder / "lab.json").exists():
        if process.poll() is not None or time.monotonic() > ends:
            raise UserError(f"the lab did not come up; see {folder / 'up.log'}")
        time.sleep(0.1)
    _where(folder)


@lab.command()
@click.option("--folder", type=click.Path(path_type=Path), default="lab-run", show_default=True)
def down(folder: Path) -> None:
    """End a lab that `lab up` left running."""
    pid = running(folder)["pid"]
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, signal.SIGTERM)
    ends = time.monotonic() + 15
    while (folder / "lab.json").exists() and time.monotonic() < ends:
        time.sleep(0.1)
    click.echo("ended")
