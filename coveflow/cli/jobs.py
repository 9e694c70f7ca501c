"""`coveflow submit`, `status`, `cancel` and `held`: what users and operators ask of a cluster."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import click

from coveflow import settings as s
from coveflow import wire
from coveflow.cli.errors import UserError
from coveflow.cli.labs import running
from coveflow.client import Client, RequestRejected, RetriesExhausted
from coveflow.daemon.operators import DRAIN, HELD, RELEASE

FOLDER = click.Path(path_type=Path)
WAIT_S = 1.0  # s between two polls with --wait


def targets(at: str | None, lab: Path | None) -> list[str]:
    """Users' addresses of the controllers, as given or as the lab's folder names them."""
    if at:
        return [part.strip() for part in at.split(",")]
    if lab is not None:
        return running(lab)["nodes"]
    raise UserError("where? give --at HOST:PORT (or COVEFLOW_AT), or --lab FOLDER")


def where(command: Callable[..., Any]) -> Callable[..., Any]:
    command = click.option("--lab", type=FOLDER, help="Folder of a running lab.")(command)
    return click.option(
        "--at", envvar="COVEFLOW_AT", help="Controllers, HOST:PORT[,HOST:PORT]."
    )(command)  # fmt: skip


def ask(nodes: list[str], work: Callable[[Client, aiohttp.ClientSession], Awaitable[Any]]) -> Any:
    async def run() -> Any:
        async with aiohttp.ClientSession() as session:
            return await work(Client(session, nodes), session)

    try:
        return asyncio.run(run())
    except (RequestRejected, RetriesExhausted) as error:
        raise UserError(str(error)) from error


def show(answer: dict[str, Any], as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(answer))
        return
    done = f", {answer['done']} tasks done" if "done" in answer else ""
    running = f", {answer['running']} running" if answer.get("running") else ""
    click.echo(f"{answer['id']}: {answer['status']}{done}{running}")


@click.command()
@where
@click.option("--class", "name", help="With --lab: a job drawn from this class of its file.")
@click.option("--file", "path", type=FOLDER, help="The job's fields as JSON, as the protocol has.")
@click.option("--wait", is_flag=True, help="Poll until it is over.")
@click.option("--json", "as_json", is_flag=True)
def submit(
    at: str | None, lab: Path | None, name: str | None, path: Path | None, wait: bool,
    as_json: bool,
) -> None:  # fmt: skip
    """Submit a job, from a JSON file or, on a lab, drawn from a class."""
    nodes = targets(at, lab)
    if (name is None) == (path is None):
        raise UserError("which job? give either --file JOB.json or --class NAME with --lab")
    if path is not None:
        spec = _from_file(path)
    elif lab is not None:
        spec = _drawn(lab, name or "")
    else:
        raise UserError("--class draws from a lab's file: give --lab FOLDER")

    async def work(client: Client, session: aiohttp.ClientSession) -> dict[str, Any]:
        if lab is not None:
            import msgspec

            port = running(lab)["lab"]
            body = wire.pack({"spec": msgspec.to_builtins(spec)})
            async with session.post(f"http://127.0.0.1:{port}/lab/upload", data=body):
                pass
        answer = await client.submit(spec)
        while wait and answer["status"] not in ("done", "cancelled"):
            await asyncio.sleep(WAIT_S)
            answer = await client.poll(spec.id) or answer
        return answer

    show(ask(nodes, work), as_json)


def _from_file(path: Path):
    try:
        return wire.read_submission(wire.pack(json.loads(path.read_text(encoding="utf-8"))))
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error
    except (ValueError, wire.Malformed) as error:
        raise UserError(f"{path}: field {error}") from error


def _drawn(lab: Path, name: str):
    from coveflow.lab import site as sites
    from coveflow.lab import workload

    site = sites.load(lab / "lab.scm")
    kinds = {kind.name: i for i, kind in enumerate(site.classes)}
    if name not in kinds:
        raise UserError(f"{name}: no such class; the lab has {', '.join(kinds)}")
    index, number = kinds[name], time.time_ns() // 1_000_000 % 10**12
    job = f"j-9{index:02d}{number}"
    lengths = workload.run_times(site)
    return workload.job(site, site.classes[index], index, number, job, lengths)


@click.command()
@where
@click.argument("job")
@click.option("--wait", is_flag=True, help="Poll until it is over.")
@click.option("--json", "as_json", is_flag=True)
def status(at: str | None, lab: Path | None, job: str, wait: bool, as_json: bool) -> None:
    """Show a job's state."""

    async def work(client: Client, session: aiohttp.ClientSession) -> dict[str, Any]:
        failed = 0
        while True:
            answer = await client.poll(job)
            if answer is not None and (not wait or answer["status"] in ("done", "cancelled")):
                return answer
            failed = failed + 1 if answer is None else 0
            if failed > 30:
                raise RetriesExhausted(f"{job}: no answer; is a controller up?")
            await asyncio.sleep(WAIT_S)

    show(ask(targets(at, lab), work), as_json)


@click.command()
@where
@click.argument("job")
@click.option("--json", "as_json", is_flag=True)
def cancel(at: str | None, lab: Path | None, job: str, as_json: bool) -> None:
    """Cancel a job."""
    show(ask(targets(at, lab), lambda client, session: client.cancel(job)), as_json)


@click.group()
def held() -> None:
    """Tasks of classes that allow no repeat, which wait for an operator's word."""


CONFIG = click.option(
    "--config", type=FOLDER, required=True, help="Settings of any controller (TOML)."
)


def _leader(config: Path, path: str, body: dict[str, Any]) -> dict[str, Any]:
    """Ask the controllers in turn until the one that leads answers."""
    settings = s.load(config)
    named = {m.name: m.address for m in settings.members}
    named[settings.name] = settings.cluster_listen

    async def run() -> dict[str, Any]:
        why = "no controller answered"
        async with aiohttp.ClientSession() as session:
            for name, address in named.items():
                try:
                    async with session.post(
                        f"http://{address}{path}",
                        data=wire.pack(body),
                        timeout=aiohttp.ClientTimeout(total=8.0),
                    ) as response:
                        answer = wire.unpack(await response.read())
                        if response.status == 200:
                            return answer
                        if response.status != 421:
                            raise UserError(str(answer.get("error", response.status)))
                        why = f"{name} says that {answer.get('reports_to') or 'nobody'} leads"
                except (aiohttp.ClientError, TimeoutError, OSError, wire.Malformed):
                    continue
        raise UserError(f"{why}; is a leader up?")

    return asyncio.run(run())


@held.command("list")
@CONFIG
@click.option("--json", "as_json", is_flag=True)
def held_list(config: Path, as_json: bool) -> None:
    """Show which jobs hold tasks."""
    rows = _leader(config, HELD, {})["held"]
    if as_json:
        click.echo(json.dumps(rows))
        return
    for row in rows:
        tasks = ", ".join(str(t) for t in row["held"]) or "none"
        gone = (
            f"; given up: {', '.join(str(t) for t in row['given_up'])}" if row["given_up"] else ""
        )
        click.echo(
            f"{row['job']} ({row['class']}): {row['done']} of {row['tasks']} done,"
            f" held: {tasks}{gone}"
        )
    if not rows:
        click.echo("nothing is held")


def _release(config: Path, job: str, task: tuple[int, ...], again: bool) -> None:
    word = {"job": job, "again": again, "tasks": list(task) or None}
    answer = _leader(config, RELEASE, word)
    done = "runs again" if again else "is given up"
    click.echo(f"{job}: {', '.join(str(t) for t in answer['tasks'])} {done}")


@held.command()
@CONFIG
@click.argument("job")
@click.option("--task", type=int, multiple=True, help="Only these; default: all held ones.")
def again(config: Path, job: str, task: tuple[int, ...]) -> None:
    """Let held tasks run again: you know that a second run does no harm."""
    _release(config, job, task, True)


@held.command("give-up")
@CONFIG
@click.argument("job")
@click.option("--task", type=int, multiple=True, help="Only these; default: all held ones.")
@click.confirmation_option(
    prompt="Such tasks never run; the job stays queued until cancelled. Go on?"
)
def give_up(config: Path, job: str, task: tuple[int, ...]) -> None:
    """Give held tasks up for good; the job's user sees it queued until they cancel it."""
    _release(config, job, task, False)


@click.group()
def machine() -> None:
    """Drain a machine, or let it take work again."""


def _drain(config: Path, name: str, on: bool) -> None:
    _leader(config, DRAIN, {"machine": name, "on": on})
    click.echo(f"{name} {'drains: it takes no more work' if on else 'takes work again'}")


@machine.command()
@CONFIG
@click.argument("name")
def drain(config: Path, name: str) -> None:
    """No more work; what can save moves, the rest ends there; then the machine goes back."""
    _drain(config, name, True)


@machine.command()
@CONFIG
@click.argument("name")
def resume(config: Path, name: str) -> None:
    """Let a draining machine take work again."""
    _drain(config, name, False)
