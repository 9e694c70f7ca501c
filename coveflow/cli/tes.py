"""`coveflow tes`: client commands for the task execution API, and the making of tokens."""

from __future__ import annotations

import asyncio
import json
import sys
import uuid
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import aiohttp
import click
from rich.console import Console
from rich.table import Table

from coveflow.cli.errors import UserError
from coveflow.cli.running_lab import read_running_lab
from coveflow.client import RequestRejected, RetriesExhausted
from coveflow.taskclient import TaskClient

COLORS = {"COMPLETE": "green", "RUNNING": "cyan", "EXECUTOR_ERROR": "red", "SYSTEM_ERROR": "red"}


@click.group()
def tes() -> None:
    """Tasks by the GA4GH task execution API."""


def task_api_options(command: Callable[..., Any]) -> Callable[..., Any]:
    for option in (
        click.option("--json", "as_json", is_flag=True, help="Print JSON."),
        click.option(
            "--team", help="With --lab: use this team's token; default: the first team's."
        ),
        click.option("--lab", type=click.Path(path_type=Path), help="Folder of a running lab."),
        click.option("--token", envvar="COVEFLOW_TOKEN", help="NAME.SECRET."),
        click.option("--at", envvar="COVEFLOW_TES", help="Nodes, http://HOST:PORT[,...]."),
    ):
        command = option(command)
    return command


def run_task_client(
    at: str | None, token: str | None, lab: Path | None, team: str | None,
    work: Callable[[TaskClient], Awaitable[Any]],
) -> Any:  # fmt: skip
    """Run `work` with a client and return its result; a rejected request raises UserError."""
    if lab is not None:
        found = read_running_lab(lab)
        if not found.get("tes"):
            raise UserError(
                f"the lab in {lab} does not serve the task API; start it with: lab up --tes"
            )
        tokens = found["tokens"]
        if team is not None and team not in tokens:
            raise UserError(f"--team {team}: the lab has tokens for {', '.join(tokens)}")
        urls, token = found["tes"], tokens[team or next(iter(tokens))]
    elif at and token:
        urls = [part.strip().rstrip("/") for part in at.split(",")]
    else:
        raise UserError("no node given: use --at and --token (or COVEFLOW_TES and COVEFLOW_TOKEN)")

    async def run() -> Any:
        async with aiohttp.ClientSession() as session:
            return await work(TaskClient(session, urls, token or ""))

    try:
        return asyncio.run(run())
    except (RequestRejected, RetriesExhausted) as error:
        raise UserError(str(error)) from error


@tes.command()
@click.argument("file", type=click.File("rb"))
@click.option("--key", help="Idempotency-Key; default: a random one.")
@click.option("--wait", is_flag=True, help="Wait until the task is over; status 1 unless COMPLETE.")
@task_api_options
def submit(
    file: Any, key: str | None, wait: bool, at: str | None, token: str | None, lab: Path | None,
    team: str | None, as_json: bool,
) -> None:  # fmt: skip
    """Submit the task in FILE (JSON; - for standard input)."""
    try:
        task = json.loads(file.read())
    except ValueError as error:
        raise UserError(f"{file.name}: not JSON: {error}") from error
    key = key or uuid.uuid4().hex

    async def work(client: TaskClient) -> tuple[str, str]:
        name = await client.submit(task, key)
        return name, await client.wait(name) if wait else ""

    name, state = run_task_client(at, token, lab, team, work)
    if as_json:
        click.echo(json.dumps({"id": name} | ({"state": state} if state else {})))
    else:
        click.echo(f"{name} {state}".rstrip())
    if wait and state != "COMPLETE":
        sys.exit(1)


@tes.command()
@click.argument("task")
@click.option("--view", type=click.Choice(["MINIMAL", "BASIC", "FULL"]), default="FULL")
@task_api_options
def show(
    task: str, view: str, at: str | None, token: str | None, lab: Path | None, team: str | None,
    as_json: bool,
) -> None:  # fmt: skip
    """Show a task, as JSON."""
    found = run_task_client(at, token, lab, team, lambda client: client.get(task, view))
    click.echo(json.dumps(found, indent=None if as_json else 2))


@tes.command()
@click.argument("task")
@task_api_options
def wait(
    task: str, at: str | None, token: str | None, lab: Path | None, team: str | None,
    as_json: bool,
) -> None:  # fmt: skip
    """Wait until a task is over; status 1 unless COMPLETE."""
    state = run_task_client(at, token, lab, team, lambda client: client.wait(task))
    click.echo(json.dumps({"id": task, "state": state}) if as_json else state)
    sys.exit(0 if state == "COMPLETE" else 1)


@tes.command()
@click.argument("task")
@task_api_options
def cancel(
    task: str, at: str | None, token: str | None, lab: Path | None, team: str | None,
    as_json: bool,
) -> None:  # fmt: skip
    """Cancel a task; one that is over stays as it is."""
    run_task_client(at, token, lab, team, lambda client: client.cancel(task))
    state = run_task_client(at, token, lab, team, lambda client: client.get(task))["state"]
    click.echo(json.dumps({"id": task, "state": state}) if as_json else f"{task} {state}")


@tes.command("list")
@click.option("--state", help="Only tasks in this state.")
@click.option("--prefix", default="", help="Only tasks whose name has this prefix.")
@click.option("--tag", "tags", multiple=True, help="KEY or KEY=VALUE; if repeated, all must match.")
@click.option("--most", default=50, show_default=True, help="Tasks shown.")
@task_api_options
def listing(
    state: str | None, prefix: str, tags: tuple[str, ...], most: int, at: str | None,
    token: str | None, lab: Path | None, team: str | None, as_json: bool,
) -> None:  # fmt: skip
    """List tasks, newest first."""
    query = [("view", "BASIC")]
    query += [("state", state)] if state else []
    query += [("name_prefix", prefix)] if prefix else []
    for tag in tags:
        key, _, value = tag.partition("=")
        query += [("tag_key", key), ("tag_value", value)]

    async def work(client: TaskClient) -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = []
        async for task in client.list(query, min(most, 256)):
            found.append(task)
            if len(found) >= most:
                break
        return found

    rows = run_task_client(at, token, lab, team, work)
    if as_json:
        for row in rows:
            click.echo(json.dumps(row))
        return
    table = Table(box=None, header_style="bold", pad_edge=False)
    for name in ("task", "state", "name", "created", "tags"):
        table.add_column(name)
    for row in rows:
        color = COLORS.get(row["state"], "")
        shown = f"[{color}]{row['state']}[/]" if color else row["state"]
        tagged = " ".join(f"{k}={v}" for k, v in row.get("tags", {}).items())
        table.add_row(row["id"], shown, row.get("name", ""), row["creation_time"], tagged)
    Console().print(table)


@tes.command()
@click.argument("name")
@click.option(
    "--team", default="", help="The team whose tasks it covers; not needed for read-all alone."
)
@click.option(
    "--right", "rights", multiple=True, default=("submit", "read", "cancel"), show_default=True,
    type=click.Choice(["submit", "read", "read-all", "cancel"]), help="May be repeated.",
)  # fmt: skip
@click.option("--json", "as_json", is_flag=True)
def token(name: str, team: str, rights: tuple[str, ...], as_json: bool) -> None:
    """Make a token for the client NAME; prints its secret and its entry for the tokens file."""
    try:
        from coveflow.tes import access
    except ModuleNotFoundError as error:
        raise UserError(
            "tokens need an extra package: python -m pip install 'coveflow[tes]'"
        ) from error
    if not access.TOKEN_NAME.fullmatch(name):
        raise UserError(f"{name!r} is not a valid name: use up to 64 letters, digits, - and _")
    if not team and set(rights) - {"read-all"}:
        raise UserError("these rights need --team")
    secret, hashed = access.make_token(name)
    of = f" (team {team})" if team else ""
    entry = f'(token {name}{of} (rights {" ".join(rights)}) (hash "{hashed}"))'
    if as_json:
        click.echo(json.dumps({"token": secret, "entry": entry}))
    else:
        click.echo(f"give to the client, it is not kept anywhere: {secret}")
        click.echo(f"put into the tokens' file:\n  {entry}")
