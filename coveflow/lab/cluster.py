"""Runs a lab as processes on this machine: the simulated services and the real controllers.

One process is the state service, one the fleet with its cloud, and each controller has its own. A
controller that exits is restarted; `stop` ends every process.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import shutil
import signal
import socket
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp
import msgspec

from coveflow import forms, wire
from coveflow.core.model import Spec
from coveflow.lab import site as sites
from coveflow.lab.check import Checker, Violation
from coveflow.lab.runner import kill_with_parent

LOCAL = "127.0.0.1"
READY_TIMEOUT_S = 20.0  # s within which all controllers must be healthy
PORT_RANGE = (10_000, 32_000)  # below the kernel's range of ephemeral ports
clock = time.monotonic


class LabError(Exception):
    """The lab could not be started or a request to it failed; the text says where to look."""


def free_ports(count: int) -> list[int]:
    """Loopback ports without a listener, below the kernel's range of ephemeral ports.

    From the ephemeral range, an outgoing connection could take a port between the check and its
    use. The choice is random, since labs that start at the same time would pick the same ports.
    """
    rng = random.Random()  # not seeded by the site: two labs of one site need different ports
    found: list[int] = []
    while len(found) < count:
        port = rng.randrange(*PORT_RANGE)
        with contextlib.closing(socket.socket()) as s, contextlib.suppress(OSError):
            s.bind((LOCAL, port))
            if port not in found:
                found.append(port)
    return found


@dataclass
class ChildProcess:
    name: str
    command: list[str]
    log: Path
    process: asyncio.subprocess.Process | None = None
    supervisor: asyncio.Task[None] | None = None


@dataclass
class Cluster:
    """Ports, settings and processes of one lab, kept in its own folder."""

    site_file: Path
    folder: Path
    tuning: Path | None = None
    log_level: str = "info"
    tes: str | None = None  # further forms of `(tes ...)`; None: the API is not served
    finished_tasks: int = 0  # finished tasks of that API that exist when the lab starts
    tokens: dict[str, str] = field(default_factory=dict)  # API tokens by team, and of `auditor`
    site: sites.Site = field(init=False)
    nodes: dict[str, dict[str, Any]] = field(default_factory=dict)
    children: dict[str, ChildProcess] = field(default_factory=dict)
    plan: dict[str, Any] = field(default_factory=dict)
    restarts: int = 0
    closing: bool = False

    def __post_init__(self) -> None:
        self.site = sites.load(self.site_file)

    # --- files -------------------------------------------------------------------------

    def _write_files(self) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        names = [f"host-{i}" for i in range(self.site.controllers)]
        zones = self.site.zones
        pairs = list(itertools.permutations(names, 2))
        ports = iter(free_ports(2 + 6 * len(names) + len(pairs) + len(zones) * len(names)))
        cloud, lab = next(ports), next(ports)
        links: list[tuple[str, int, int]] = []

        def link(name: str, target: int) -> int:
            port = next(ports)
            links.append((name, port, target))
            return port

        self.plan = {"cloud": cloud, "lab": lab, "nodes": names, "state": {}}
        for i, name in enumerate(names):
            state = next(ports)
            self.plan["state"][name] = state
            self.nodes[name] = {
                "zone": zones[i % len(zones)], "front": next(ports), "cluster": next(ports),
                "state": link(f"{name}->state", state), "cloud": link(f"{name}->cloud", cloud),
                "tes": next(ports),
            }  # fmt: skip
        peers = {
            (a, b): link(f"{a}->{b}", self.nodes[b]["cluster"]) for a, b in pairs
        }  # fmt: skip
        for zone in zones:
            for name in names:
                link(f"{zone}->{name}", self.nodes[name]["front"])
        history = self.folder / "history-fleet.jsonl"
        history.unlink(missing_ok=True)
        if self.site_file.resolve() != (self.folder / "lab.scm").resolve():
            shutil.copyfile(self.site_file, self.folder / "lab.scm")
        self.plan |= {
            "links": links, "history": str(history), "site": str(self.folder / "lab.scm"),
            "tasks": str(self.folder / "tasks"), "filled": self.finished_tasks,
        }  # fmt: skip
        (self.folder / "plan.cbor").write_bytes(wire.pack(self.plan))
        for name in names:
            text = self._settings(name, peers)
            (self.folder / f"{name}.toml").write_text(text, encoding="utf-8")
        if self.tes is not None:
            self._enable_task_api(self.tes)

    def _enable_task_api(self, options: str) -> None:
        """Write the token file and a tuning file that enables the task execution API."""
        from coveflow.tes import access  # optional dependency, needed for the API only

        rows = []
        for name in [team.name for team in self.site.teams]:
            self.tokens[name], hashed = access.make_token(name)
            rights = "(rights submit read cancel)"
            rows.append(f'(token {name} (team {name}) {rights} (hash "{hashed}"))')
        self.tokens["auditor"], hashed = access.make_token("auditor")
        rows.append(f'(token auditor (rights read-all) (hash "{hashed}"))')
        (self.folder / "tokens.scm").write_text("(tokens " + "\n".join(rows) + ")\n")
        listen = " ".join(f'({n} "{LOCAL}:{node["tes"]}")' for n, node in self.nodes.items())
        items = []
        if self.tuning is not None:
            text = self.tuning.read_text(encoding="utf-8")
            items = [
                forms.format_form(item) for item in forms.read(text, str(self.tuning), "coveflow")
            ]
        items.append(f"(tes (listen {listen}) (tokens tokens.scm) {options})")
        self.tuning = self.folder / "tuning.scm"
        self.tuning.write_text("(coveflow " + "\n".join(items) + ")\n", encoding="utf-8")

    def _settings(self, name: str, peers: dict[tuple[str, str], int]) -> str:
        node, site = self.nodes[name], self.site
        lines = [
            f'host_name = "{name}"',
            f'area = "{node["zone"]}"',
            f'front = "{LOCAL}:{node["front"]}"',
            f'cluster_listen = "{LOCAL}:{node["cluster"]}"',
            *(
                f'[[members]]\nhost_name = "{b}"\narea = "{self.nodes[b]["zone"]}"\n'
                f'address = "{LOCAL}:{port}"'
                for (a, b), port in peers.items()
                if a == name
            ),
            f'[services]\ncloud = "{LOCAL}:{node["cloud"]}"\nstate = "{LOCAL}:{node["state"]}"',
            f"[params]\nsize = {site.controllers}\nzones = {json.dumps(site.zones)}",
        ]
        for team in site.teams:
            row = msgspec.to_builtins(team)
            lines += ["[[params.teams]]", *(f"{k} = {json.dumps(v)}" for k, v in row.items())]
        for row in site.objectives:
            lines += ["[[params.objectives]]", *(f"{k} = {json.dumps(v)}" for k, v in row.items())]
        for part in ("workers", "state", "cloud"):
            values = {k.replace("-", "_"): v for k, v in getattr(site, part).items()}
            if part == "state":
                values["txn_ops"] = int(values["txn_ops"])
            lines += [f"[params.{part}]", *(f"{k} = {v}" for k, v in values.items())]
        return "\n".join(lines) + "\n"

    # --- processes ---------------------------------------------------------------------

    async def start(self) -> None:
        """Start all processes and wait until all controllers are healthy; LabError on timeout."""
        self._write_files()
        plan = str(self.folder / "plan.cbor")
        for role in ("state", "fleet"):
            await self._launch(role, [sys.executable, "-m", "coveflow.lab.serve", role, plan])
        for name in self.nodes:
            command = [sys.executable, "-m", "coveflow"]
            if self.tuning is not None:
                command += ["--tuning", str(self.tuning)]
            command += ["--config", str(self.folder / f"{name}.toml")]
            await self._launch(name, command)
        await self._wait_until_healthy()
        (self.folder / "lab.json").write_text(
            json.dumps(
                {
                    "nodes": self.front_addresses(),
                    "lab": self.plan["lab"],
                    "pid": os.getpid(),
                    "tes": self.task_urls(),
                    "tokens": self.tokens,
                }
            )
        )

    async def _launch(self, name: str, command: list[str]) -> None:
        child = self.children[name] = ChildProcess(name, command, self.folder / f"{name}.log")
        await self._run(child)
        child.supervisor = asyncio.create_task(self._supervise(child))

    async def _run(self, child: ChildProcess) -> None:
        with child.log.open("ab") as log:
            child.process = await asyncio.create_subprocess_exec(
                *child.command,
                stdout=log,
                stderr=log,
                stdin=asyncio.subprocess.DEVNULL,
                env=os.environ | {"LOG_LEVEL": self.log_level},
                preexec_fn=kill_with_parent,
            )

    async def _supervise(self, child: ChildProcess) -> None:
        """Restart an exited controller after the site's delay; simulated services stay down."""
        while True:
            assert child.process is not None
            await child.process.wait()
            if self.closing or child.name not in self.nodes:
                return
            self.restarts += 1
            await asyncio.sleep(self.site.restart_s)
            await self._run(child)

    async def _wait_until_healthy(self) -> None:
        deadline = clock() + READY_TIMEOUT_S
        async with aiohttp.ClientSession() as session:
            for name, node in self.nodes.items():
                while not await _is_healthy(session, f"{LOCAL}:{node['front']}"):
                    if clock() > deadline:
                        log = self.folder / f"{name}.log"
                        raise LabError(f"{name} is not up after {READY_TIMEOUT_S:g} s; see {log}")
                    await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """Kill every process and wait until all have exited."""
        self.closing = True
        for child in self.children.values():
            if child.supervisor is not None:
                child.supervisor.cancel()
            if child.process is not None and child.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    child.process.kill()
        for child in self.children.values():
            if child.process is not None:
                await child.process.wait()

    # --- requests ----------------------------------------------------------------------

    def front_addresses(self) -> list[str]:
        return [f"{LOCAL}:{node['front']}" for node in self.nodes.values()]

    def task_urls(self) -> list[str]:
        """URLs of the task execution API; empty if it is not served."""
        if self.tes is None:
            return []
        return [f"http://{LOCAL}:{node['tes']}" for node in self.nodes.values()]

    def signal_node(self, name: str, signal_number: signal.Signals) -> None:
        process = self.children[name].process
        if process is not None and process.returncode is None:
            process.send_signal(signal_number)

    async def leader(self, session: aiohttp.ClientSession) -> str | None:
        """The first controller that answers a ping on its cluster address as leader."""
        for name, node in self.nodes.items():
            with contextlib.suppress(aiohttp.ClientError, TimeoutError, OSError, KeyError):
                async with session.post(
                    f"http://{LOCAL}:{node['cluster']}/ping",
                    data=wire.pack({}),
                    timeout=aiohttp.ClientTimeout(total=0.5),
                ) as response:
                    if wire.unpack(await response.read())["leading"]:
                        return name
        return None

    async def ask(self, session: aiohttp.ClientSession, path: str, body: Any = None) -> Any:
        """Send a request to the fleet, or for a path `/state...` to the state service."""
        port = self.plan["lab"]
        if path.startswith("/state"):
            path, port = path[len("/state") :], next(iter(self.plan["state"].values()))
        method = "POST" if body is not None else "GET"
        async with session.request(
            method, f"http://{LOCAL}:{port}{path}", data=None if body is None else wire.pack(body)
        ) as response:
            if response.status != 200:
                raise LabError(f"{path}: {response.status}")
            data = await response.read()
            return wire.unpack(data) if data else None

    async def upload(self, session: aiohttp.ClientSession, spec: Spec) -> None:
        await self.ask(session, "/lab/upload", {"spec": msgspec.to_builtins(spec)})

    def history(self, extra: list[dict[str, Any]]) -> list[dict[str, Any]]:
        """The workers' history rows and the given rows of the users, sorted by time."""
        path = self.folder / "history-fleet.jsonl"
        rows = list(extra)
        if path.exists():
            with path.open(encoding="utf-8") as lines:
                rows += [json.loads(line) for line in lines if line.endswith("\n")]
        for row in rows:
            if isinstance(row.get("spec"), dict):
                row["spec"] = msgspec.convert(row["spec"], Spec)
        return sorted(rows, key=lambda row: row["at"])

    def check(self, rows: list[dict[str, Any]]) -> list[Violation]:
        return Checker(self.site.teams, self.site.workers["cancel-s"]).check_history(rows)


def check_folder(folder: Path) -> list[Violation]:
    """Check the history in a lab's folder; returns broken rules. Raises LabError without one."""
    rows: list[dict[str, Any]] = []
    try:
        site = sites.load(folder / "lab.scm")
        for name in ("history-fleet.jsonl", "history-users.jsonl"):
            with (folder / name).open(encoding="utf-8") as lines:
                rows += [json.loads(line) for line in lines if line.endswith("\n")]
    except (OSError, ValueError) as error:
        raise LabError(f"{folder}: no whole history of a lab there: {error}") from error
    for row in rows:
        if "spec" in row:
            row["spec"] = msgspec.convert(row["spec"], Spec)
    return Checker(site.teams, site.workers["cancel-s"]).check_history(rows)


async def _is_healthy(session: aiohttp.ClientSession, node: str) -> bool:
    try:
        async with session.get(
            f"http://{node}{wire.HEALTH_PATH}", timeout=aiohttp.ClientTimeout(total=1.0)
        ) as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False
