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
from coveflow.cli.modelcheck import model_check
from coveflow.cli.running_lab import read_running_lab
from coveflow.cli.scale import scale
from coveflow.cli.timeline import suspect, timeline
from coveflow.cli.worlds import worlds
from coveflow.lab import faults as fl
from coveflow.lab import site as sites
from coveflow.lab import workload
from coveflow.lab.cluster import Cluster, LabError
from coveflow.lab.workload_run import WorkloadRun

SITES = Path(sites.__file__).parent / "sites"
LAB_START_ATTEMPTS = 3  # attempts to start a lab before it is reported as failed
DEMO_ARRIVALS_S = 26.0  # s during which the demo's jobs arrive
DEMO_KILL_S = 13.0  # s into the demo at which its leader is killed
DEMO_MAX_S = 52.0  # s after which the demo stops waiting for unfinished jobs


def lab_file(name: str) -> Path:
    """The path of a lab file, given as a path or as the name of a site in the package."""
    path = Path(name)
    if path.is_file():
        return path
    bundled = SITES / f"{name}.scm"
    if bundled.exists():
        return bundled
    known = ", ".join(sorted(p.stem for p in SITES.glob("*.scm")))
    raise UserError(f"{name}: no such lab file; give a path or one of: {known}")


def run_until_signal(work: Coroutine[Any, Any, Any]) -> Any:
    """Run the coroutine; SIGINT and SIGTERM cancel it, so that it can stop its processes."""

    async def run() -> Any:
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
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
@click.option("--folder", type=click.Path(path_type=Path), help="Where to keep logs and history.")
@click.option("--seed", type=int, default=7, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON object at the end.")
def demo(folder: Path | None, seed: int, as_json: bool) -> None:
    """Run a small workload in under a minute; the leader is killed in the middle."""
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="coveflow-")))
        good = run_until_signal(_run_demo(folder, seed, as_json))
    sys.exit(0 if good else 1)


async def _run_demo(folder: Path, seed: int, as_json: bool) -> bool:
    console = Console(stderr=as_json)
    cluster = Cluster(lab_file("demo"), folder)
    cluster.site.seed = seed
    faults = [fl.Fault(DEMO_KILL_S, "kill", ("leader",))]
    fault_messages: list[str] = []
    workload_run = WorkloadRun(
        cluster,
        workload.draw(cluster.site, DEMO_ARRIVALS_S),
        faults,
        on_message=fault_messages.append,
    )
    machines = sum(cluster.site.up.values())
    console.print(
        f"[bold]coveflow lab demo[/]: {cluster.site.controllers} controllers, {machines} machines,"
        f" {len(workload_run.jobs)} jobs; its leader is killed after {DEMO_KILL_S:g} s"
    )
    try:
        await cluster.start()
        with Live(console=console, refresh_per_second=4, transient=True) as live:
            show = asyncio.create_task(_update_display(live, cluster, workload_run, fault_messages))
            await workload_run.run(DEMO_MAX_S)
            show.cancel()
        await asyncio.sleep(0.3)  # for the workers' last history rows
        import aiohttp

        async with aiohttp.ClientSession() as session:
            state = await cluster.ask(session, "/lab/state")
    finally:
        await cluster.stop()
    broken = workload_run.broken_rules()
    if as_json:
        print(json.dumps(demo_report(workload_run, broken, state, fault_messages)))
    else:
        console.print(jobs_table(workload_run))
        for text in fault_messages:
            console.print(f"[yellow]fault[/] {text}")
        _print_summary(console, workload_run, broken, state["paid"])
    unfinished = [
        record
        for record in workload_run.records.values()
        if record.status not in ("done", "cancelled")
    ]
    return not broken and not unfinished


def demo_report(
    workload_run: WorkloadRun, broken: list, state: dict[str, Any], fault_messages: list[str]
) -> dict:
    jobs = [
        {
            "job": record.spec.id, "class": record.spec.workload, "tasks": record.spec.tasks,
            "status": record.status, "submitted_s": round(record.due - workload_run.started_at, 3),
            "took_s": None if record.took_s is None else round(record.took_s, 3),
            "late": record.missed_deadline,
        }
        for record in workload_run.records.values()
    ]  # fmt: skip
    rules = [{"rule": b.rule, "at": b.at, "text": b.text} for b in broken]
    return workload_run.summary() | {
        "jobs": jobs, "broken": rules, "faults": fault_messages, "paid": state["paid"],
    }  # fmt: skip


def jobs_table(workload_run: WorkloadRun, newest: int | None = None) -> Table:
    table = Table(box=None, header_style="bold", pad_edge=False)
    columns = ("job", "class", "tasks", "submitted", "state", "done", "took", "deadline")
    for name in columns:
        right = name in ("tasks", "submitted", "done", "took", "deadline")
        table.add_column(name, justify="right" if right else "left")
    courses = list(workload_run.records.values())
    if newest is not None:
        courses.sort(key=lambda record: (record.finished is not None, -record.due))
        courses = courses[:newest]
    for record in sorted(courses, key=lambda record: record.due):
        deadline = "" if record.spec.deadline_s is None else f"{record.spec.deadline_s:.1f} s"
        took = "" if record.took_s is None else f"{record.took_s:.1f} s"
        style = {"done": "green", "running": "cyan", "refused": "red"}.get(record.status, "")
        if record.missed_deadline:
            took = f"[red]{took} late[/]"
        done = record.spec.tasks if record.status == "done" else record.done
        table.add_row(
            record.spec.id, record.spec.workload, str(record.spec.tasks),
            f"{record.due - workload_run.started_at:.1f} s",
            f"[{style}]{record.status}[/]" if style else record.status, str(done), took, deadline,
        )  # fmt: skip
    return table


async def _update_display(
    live: Live, cluster: Cluster, workload_run: WorkloadRun, fault_messages: list[str]
) -> None:
    import aiohttp

    async with aiohttp.ClientSession() as session:
        while True:
            with contextlib.suppress(LabError, aiohttp.ClientError, OSError, TimeoutError):
                state = await cluster.ask(session, "/lab/state")
                leader = await cluster.leader(session)
                live.update(_render_display(cluster, workload_run, fault_messages, state, leader))
            await asyncio.sleep(0.25)


def _render_display(
    cluster: Cluster,
    workload_run: WorkloadRun,
    fault_messages: list[str],
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
    now = time.monotonic() - workload_run.started_at
    over = sum(record.finished is not None for record in workload_run.records.values())
    head = Text(f"{now:5.1f} s   {over} of {len(workload_run.jobs)} jobs over   ") + nodes
    if fault_messages:
        head += Text(f"   {fault_messages[-1]}", style="yellow")
    return Group(
        head, Panel(jobs_table(workload_run, 14), title="jobs"), Panel(fleet, title="fleet")
    )


def _print_summary(console: Console, workload_run: WorkloadRun, broken: list, paid: float) -> None:
    for name, row in workload_run.summary()["classes"].items():
        in_time = "" if row["in_time"] is None else f", {row['in_time']:.0%} by the deadline"
        median = "" if row["median_s"] is None else f", median {row['median_s']:.1f} s"
        console.print(f"{name}: {row['done']} of {row['jobs']} jobs done{in_time}{median}")
    ms = workload_run.latencies_ms()
    if ms:
        console.print(f"submissions: p50 {ms['p50']:.0f} ms, p99 {ms['p99']:.0f} ms from when due")
    console.print(f"money: {paid:.4f} at the lab's prices")
    for b in broken:
        console.print(
            f"[bold red]broken rule[/] {b.rule} at {b.at - workload_run.started_at:.1f} s: {b.text}"
        )
    if not broken:
        console.print("[bold green]no rule was broken[/]")


@lab.command()
@click.argument("site", default="evening")
@click.option("--for", "for_s", default=120.0, show_default=True, help="Seconds of arrivals.")
@click.option(
    "--until", "until_s", type=float, help="Seconds after which jobs are no longer waited for."
)
@click.option("--factor", default=1.0, show_default=True, help="Multiplies the classes' rates.")
@click.option("--seed", type=int, help="Used instead of the site's seed.")
@click.option("--faults", "script", type=click.Path(path_type=Path), help="A fault script.")
@click.option(
    "--tuning", type=click.Path(path_type=Path, exists=True), help="Tuning for the controllers."
)
@click.option(
    "--folder", type=click.Path(path_type=Path), help="Where to keep logs, history and trace."
)
@click.option("--trace", "traced", is_flag=True, help="Record a trace into FOLDER/trace.")
@click.option("--json", "as_json", is_flag=True)
def load(
    site: str, for_s: float, until_s: float | None, factor: float, seed: int | None,
    script: Path | None, tuning: Path | None, folder: Path | None, traced: bool, as_json: bool,
) -> None:  # fmt: skip
    """Run open-loop submissions on a new lab: latencies, finish times, broken rules."""
    if traced and folder is None:
        raise UserError("--trace needs --folder, in which the trace is kept")
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="coveflow-")))
        from coveflow.lab.experiment import Case, run_case

        case = Case(
            lab_file(site), for_s, until_s or for_s * 4 + 60, factor, seed,
            fl.load(script) if script else [], tuning, traced,
        )  # fmt: skip
        console = Console(stderr=True)
        found = run_until_signal(run_case(case, folder, on_message=console.print))
    click.echo(json.dumps(found) if as_json else _format_load(found))
    sys.exit(1 if found["broken"] else 0)


def _format_load(found: dict[str, Any]) -> str:
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
    """Run a matrix of settings, rates and seeds; writes Parquet and an HTML page."""
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
            found = run_until_signal(ex.run_case(played, folder))
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
    """Check the history that a lab left in FOLDER; prints each broken rule of the protocol."""
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
    """Kill a trace's recorder at random moments, then check the trace; takes some minutes."""
    from rich.progress import Progress

    from coveflow.lab.recorder_kills import kill_recorder

    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="coveflow-")))
        progress = stack.enter_context(Progress(console=Console(stderr=True)))
        bar = progress.add_task("kills", total=times)
        found = run_until_signal(
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
@click.option("--seeds", default=1, show_default=True, help="Labs, each with its own faults.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--tasks", "count", default=20, show_default=True, help="Tasks per lab.")
@click.option("--at-once", default=4, show_default=True, help="Labs that run at the same time.")
@click.option("--folder", type=click.Path(path_type=Path), help="Where to keep logs and histories.")
@click.option("--json", "as_json", is_flag=True, help="One JSON object per seed.")
def tasks_history(
    site: str, seeds: int, first: int, count: int, at_once: int, folder: Path | None,
    as_json: bool,
) -> None:  # fmt: skip
    """Check the task execution API under faults: one final state per task, on all nodes."""
    from dataclasses import asdict

    from rich.progress import Progress

    from coveflow.lab import tasks

    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="coveflow-")))
        progress = stack.enter_context(Progress(console=Console(stderr=True)))
        bar = progress.add_task("seeds", total=seeds)
        slots = asyncio.Semaphore(at_once)

        async def run_seed(seed: int) -> tasks.HistoryResult:
            async with slots:
                for attempt in range(LAB_START_ATTEMPTS):
                    lab_folder = folder / f"seed-{seed}-{attempt}"
                    try:
                        found = await tasks.run_history(lab_file(site), lab_folder, seed, count)
                        break
                    except LabError as error:
                        # Labs that start at the same time may take each other's ports.
                        found = tasks.HistoryResult(seed, wrong=[f"the lab did not start: {error}"])
                progress.advance(bar)
                return found

        async def run_all() -> list[tasks.HistoryResult]:
            return await asyncio.gather(*(run_seed(seed) for seed in range(first, first + seeds)))

        found = run_until_signal(run_all())
    if as_json:
        for row in found:
            click.echo(json.dumps(asdict(row)))
    for row in found:
        for text in row.wrong:
            click.echo(f"seed {row.seed}: {text}", err=as_json)
    states = {state: sum(r.ends.get(state, 0) for r in found) for r in found for state in r.ends}
    click.echo(
        f"{seeds} seeds, {sum(len(r.faults) for r in found)} faults,"
        f" {sum(r.tasks for r in found)} tasks, {sum(r.answers for r in found)} answers;"
        f" ends {states}; {sum(len(r.wrong) for r in found)} wrong",
        err=as_json,
    )
    sys.exit(1 if any(r.wrong for r in found) else 0)


@lab.command("task-load")
@click.argument("site", default="demo")
@click.option("--known", "counts", multiple=True, type=int, default=(1000, 20000, 200000),
              show_default=True, help="Tasks that the service already has.")  # fmt: skip
@click.option("--for", "for_s", default=20.0, show_default=True)
@click.option("--submit", default=5.0, show_default=True, help="Submissions per second.")
@click.option("--get", default=20.0, show_default=True)
@click.option("--list", "listing", default=10.0, show_default=True)
@click.option("--folder", type=click.Path(path_type=Path))
def task_load(
    site: str, counts: tuple[int, ...], for_s: float, submit: float, get: float, listing: float,
    folder: Path | None,
) -> None:  # fmt: skip
    """Measure the task execution API's latencies by number of known tasks, as JSON objects."""
    from coveflow.lab import tasks

    rates = {"submit": submit, "get": get, "list": listing}
    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="coveflow-")))
        for known in counts:
            lab_folder = folder / f"known-{known}"
            work = tasks.measure_latencies(lab_file(site), lab_folder, known, for_s, rates)
            click.echo(json.dumps(run_until_signal(work)))


@lab.command("task-flood")
@click.argument("site", default="demo")
@click.option("--for", "for_s", default=30.0, show_default=True)
@click.option("--per-s", default=60.0, show_default=True, help="Tasks per second in the flood.")
@click.option("--folder", type=click.Path(path_type=Path))
def task_flood(site: str, for_s: float, per_s: float, folder: Path | None) -> None:
    """Measure native submissions' latencies without and with a flood of tasks, as JSON."""
    from coveflow.lab import tasks

    with contextlib.ExitStack() as stack:
        if folder is None:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory(prefix="coveflow-")))
        for rate in (0.0, per_s):
            lab_folder = folder / f"flood-{rate:g}"
            click.echo(
                json.dumps(
                    run_until_signal(tasks.measure_flood(lab_file(site), lab_folder, for_s, rate))
                )
            )


# --- labs that stay up -----------------------------------------------------------------


@lab.command()
@click.argument("site", default="demo")
@click.option("--folder", type=click.Path(path_type=Path), default="lab-run", show_default=True)
@click.option(
    "--tuning", type=click.Path(path_type=Path, exists=True), help="Tuning for the controllers."
)
@click.option("--detach", is_flag=True, help="Return when the lab is up; `lab down` stops it.")
@click.option("--tes", is_flag=True, help="Serve the task execution API, with one token per team.")
def up(site: str, folder: Path, tuning: Path | None, detach: bool, tes: bool) -> None:
    """Start a lab and leave it running; prints its settings file."""
    path = lab_file(site)
    if detach:
        _start_detached(path, folder, tuning, tes)
        return
    run_until_signal(_run_lab(path, folder, tuning, tes))


async def _run_lab(path: Path, folder: Path, tuning: Path | None, tes: bool) -> None:
    cluster = Cluster(path, folder, tuning, tes="" if tes else None)
    try:
        await cluster.start()
        _print_addresses(folder)
        await asyncio.Event().wait()
    finally:
        await cluster.stop()
        (folder / "lab.json").unlink(missing_ok=True)


def _print_addresses(folder: Path) -> None:
    click.echo(f"settings: {folder / 'host-0.toml'}")
    found = read_running_lab(folder)
    click.echo(f"users:    {' '.join(found['nodes'])}")
    if found.get("tes"):
        click.echo(f"tasks:    {' '.join(found['tes'])}")
        for name, token in found["tokens"].items():
            click.echo(f"token:    {name} {token}")
    click.echo(f"try:      coveflow submit --lab {folder} --class tally")
    click.echo(f"end:      coveflow lab down --folder {folder}")


def _start_detached(path: Path, folder: Path, tuning: Path | None, tes: bool) -> None:
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
    deadline = time.monotonic() + 30
    while not (folder / "lab.json").exists():
        if process.poll() is not None or time.monotonic() > deadline:
            raise UserError(f"the lab did not start; see {folder / 'up.log'}")
        time.sleep(0.1)
    _print_addresses(folder)


@lab.command()
@click.option("--folder", type=click.Path(path_type=Path), default="lab-run", show_default=True)
def down(folder: Path) -> None:
    """Stop a lab that `lab up` left running."""
    pid = read_running_lab(folder)["pid"]
    with contextlib.suppress(ProcessLookupError):
        os.kill(pid, signal.SIGTERM)
    deadline = time.monotonic() + 15
    while (folder / "lab.json").exists() and time.monotonic() < deadline:
        time.sleep(0.1)
    click.echo("ended")
