"""Commands for users and operators: `coveflow submit`, `status`, `cancel`, `held`, `machine`."""

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
from coveflow.cli.running_lab import read_running_lab
from coveflow.client import Client, RequestRejected, RetriesExhausted
from coveflow.daemon.operators import DRAIN, HELD, RELEASE

PATH = click.Path(path_type=Path)
POLL_INTERVAL_S = 1.0  # s between polls with --wait


def controller_addresses(at: str | None, lab: Path | None) -> list[str]:
    """Addresses at which controllers serve users: those given, or those in the lab's folder."""
    if at:
        return [part.strip() for part in at.split(",")]
    if lab is not None:
        return read_running_lab(lab)["nodes"]
    raise UserError("no controller given: use --at HOST:PORT (or COVEFLOW_AT), or --lab FOLDER")


def cluster_options(command: Callable[..., Any]) -> Callable[..., Any]:
    command = click.option("--lab", type=PATH, help="Folder of a running lab.")(command)
    return click.option(
        "--at", envvar="COVEFLOW_AT", help="Controllers, HOST:PORT[,HOST:PORT]."
    )(command)  # fmt: skip


def run_client(
    nodes: list[str], work: Callable[[Client, aiohttp.ClientSession], Awaitable[Any]]
) -> Any:
    async def run() -> Any:
        async with aiohttp.ClientSession() as session:
            return await work(Client(session, nodes), session)

    try:
        return asyncio.run(run())
    except (RequestRejected, RetriesExhausted) as error:
        raise UserError(str(error)) from error


def print_status(answer: dict[str, Any], as_json: bool) -> None:
    if as_json:
        click.echo(json.dumps(answer))
        return
    done = f", {answer['done']} tasks done" if "done" in answer else ""
    running = f", {answer['running']} running" if answer.get("running") else ""
    click.echo(f"{answer['id']}: {answer['status']}{done}{running}")


@click.command()
@cluster_options
@click.option("--class", "name", help="With --lab: a job drawn from this class of its file.")
@click.option("--file", "path", type=PATH, help="The job as JSON, with the protocol's fields.")
@click.option("--wait", is_flag=True, help="Poll until it is over.")
@click.option("--json", "as_json", is_flag=True)
def submit(
    at: str | None, lab: Path | None, name: str | None, path: Path | None, wait: bool,
    as_json: bool,
) -> None:  # fmt: skip
    """Submit a job, from a JSON file or, on a lab, drawn from a class."""
    nodes = controller_addresses(at, lab)
    if (name is None) == (path is None):
        raise UserError("give one job: either --file JOB.json, or --class NAME with --lab")
    if path is not None:
        spec = _read_job(path)
    elif lab is not None:
        spec = _draw_job(lab, name or "")
    else:
        raise UserError("--class draws a job from a lab's file: also give --lab FOLDER")

    async def work(client: Client, session: aiohttp.ClientSession) -> dict[str, Any]:
        if lab is not None:
            import msgspec

            port = read_running_lab(lab)["lab"]
            body = wire.pack({"spec": msgspec.to_builtins(spec)})
            async with session.post(f"http://127.0.0.1:{port}/lab/upload", data=body):
                pass
        answer = await client.submit(spec)
        while wait and answer["status"] not in ("done", "cancelled"):
            await asyncio.sleep(POLL_INTERVAL_S)
            answer = await client.poll(spec.id) or answer
        return answer

    print_status(run_client(nodes, work), as_json)


def _read_job(path: Path):
    try:
        return wire.read_submission(wire.pack(json.loads(path.read_text(encoding="utf-8"))))
    except OSError as error:
        raise UserError(f"{path}: {error.strerror}") from error
    except (ValueError, wire.Malformed) as error:
        raise UserError(f"{path}: field {error}") from error


def _draw_job(lab: Path, name: str):
    from coveflow.lab import site as sites
    from coveflow.lab import workload

    site = sites.load(lab / "lab.scm")
    indexes = {kind.name: i for i, kind in enumerate(site.classes)}
    if name not in indexes:
        raise UserError(f"{name}: no such class; the lab has {', '.join(indexes)}")
    index, number = indexes[name], time.time_ns() // 1_000_000 % 10**12
    job_id = f"j-9{index:02d}{number}"
    run_times = workload.run_times(site)
    return workload.job(site, site.classes[index], index, number, job_id, run_times)


@click.command()
@cluster_options
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
                raise RetriesExhausted(f"{job}: no answer; check that a controller is running")
            await asyncio.sleep(POLL_INTERVAL_S)

    print_status(run_client(controller_addresses(at, lab), work), as_json)


@click.command()
@cluster_options
@click.argument("job")
@click.option("--json", "as_json", is_flag=True)
def cancel(at: str | None, lab: Path | None, job: str, as_json: bool) -> None:
    """Cancel a job."""
    print_status(
        run_client(controller_addresses(at, lab), lambda client, session: client.cancel(job)),
        as_json,
    )


@click.group()
def held() -> None:
    """Tasks of classes that may not be repeated, which wait for an operator's decision."""


CONFIG = click.option(
    "--config", type=PATH, required=True, help="Settings of any controller (TOML)."
)


def _ask_leader(config: Path, path: str, body: dict[str, Any]) -> dict[str, Any]:
    """Send the request to the controllers in turn until the leader answers."""
    settings = s.load(config)
    addresses = {m.name: m.address for m in settings.members}
    addresses[settings.name] = settings.cluster_listen

    async def run() -> dict[str, Any]:
        reason = "no controller answered"
        async with aiohttp.ClientSession() as session:
            for name, address in addresses.items():
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
                        reason = f"{name} names {answer.get('reports_to') or 'nobody'} as leader"
                except (aiohttp.ClientError, TimeoutError, OSError, wire.Malformed):
                    continue
        raise UserError(f"{reason}; check that a leader is running")

    return asyncio.run(run())


@held.command("list")
@CONFIG
@click.option("--json", "as_json", is_flag=True)
def held_list(config: Path, as_json: bool) -> None:
    """List the jobs that have held tasks."""
    rows = _ask_leader(config, HELD, {})["held"]
    if as_json:
        click.echo(json.dumps(rows))
        return
    for row in rows:
        tasks = ", ".join(str(t) for t in row["held"]) or "none"
        given_up = (
            f"; given up: {', '.join(str(t) for t in row['given_up'])}" if row["given_up"] else ""
        )
        click.echo(
            f"{row['job']} ({row['class']}): {row['done']} of {row['tasks']} done,"
            f" held: {tasks}{given_up}"
        )
    if not rows:
        click.echo("nothing is held")


def _release(config: Path, job: str, task: tuple[int, ...], again: bool) -> None:
    body = {"job": job, "again": again, "tasks": list(task) or None}
    answer = _ask_leader(config, RELEASE, body)
    outcome = "runs again" if again else "is given up"
    click.echo(f"{job}: {', '.join(str(t) for t in answer['tasks'])} {outcome}")


@held.command()
@CONFIG
@click.argument("job")
@click.option("--task", type=int, multiple=True, help="Only these; default: all held ones.")
def again(config: Path, job: str, task: tuple[int, ...]) -> None:
    """Run held tasks again; use it only where a second run is known to do no harm."""
    _release(config, job, task, True)


@held.command("give-up")
@CONFIG
@click.argument("job")
@click.option("--task", type=int, multiple=True, help="Only these; default: all held ones.")
@click.confirmation_option(
    prompt="Such tasks never run; the job stays queued until cancelled. Go on?"
)
def give_up(config: Path, job: str, task: tuple[int, ...]) -> None:
    """Give held tasks up permanently; the job stays queued until its user cancels it."""
    _release(config, job, task, False)


@click.group()
def machine() -> None:
    """Drain a machine, or let it take work again."""


def _set_draining(config: Path, name: str, on: bool) -> None:
    _ask_leader(config, DRAIN, {"machine": name, "on": on})
    click.echo(f"{name} {'drains: it takes no more work' if on else 'takes work again'}")


@machine.command()
@CONFIG
@click.argument("name")
def drain(config: Path, name: str) -> None:
    """Give a machine no more work and return it to the cloud once it is empty.

    Tasks that can save their state move to other machines, the others end there.
    """
    _set_draining(config, name, True)


@machine.command()
@CONFIG
@click.argument("name")
def resume(config: Path, name: str) -> None:
    """Let a draining machine take work again."""
    _set_draining(config, name, False)
