"""Kills a trace recorder at random times while events are emitted, then verifies its trace."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from aiohttp import web

from coveflow import wire
from coveflow.daemon.tracing import Tracer
from coveflow.lab.cluster import _with_its_parent
from coveflow.lab.serve import listen
from coveflow.trace.files import Findings, read, verify

EVENTS_PER_S = 400.0  # events emitted a second
TERM_S = 20.0  # s of one leadership term
RETAINED_EVENTS = 200_000  # events kept by the tracer, enough that a stopped recorder misses none
KILL_DELAY_S = (0.4, 2.2)  # s from start to kill: before, during and after the recorder's startup
FINAL_RECORDING_S = 3.0  # s of uninterrupted recording at the end

SETTINGS = """host_name = "a"
area = "here"
front = "127.0.0.1:1"
cluster_listen = "{cluster}"
[services]
cloud = "127.0.0.1:1"
state = "127.0.0.1:1"
[params]
zones = ["here"]
[params.workers]
report_s = 1.0
lease_s = 10.0
gang_wait_s = 10.0
gang_peer_s = 2.0
cancel_s = 20.0
[params.state]
rps = 1.0
write_rps = 1.0
value_kb = 8.0
txn_ops = 8
[params.cloud]
rps = 1.0
"""


@dataclass
class KillResult:
    """Result of a run; `missing` counts events neither in the trace nor in a recorded gap."""

    kills: int = 0
    emitted: int = 0
    findings: Findings = field(default_factory=Findings)
    missing: int = 0
    differing: int = 0


def _fields(rng: random.Random) -> dict[str, Any]:
    return {
        "job": f"j-{rng.randrange(10**6)}", "task": rng.randrange(1000), "number": 1,
        "machine": f"n-{rng.randrange(500)}", "why": "x" * rng.randrange(40),
    }  # fmt: skip


def _write_settings(folder: Path, port: int) -> Path:
    folder.mkdir(parents=True, exist_ok=True)
    config = folder / "node.toml"
    config.write_text(SETTINGS.format(cluster=f"127.0.0.1:{port}"), encoding="utf-8")
    return config


async def kill_recorder(
    folder: Path, times: int, seed: int, on_kill: Callable[[int], None] = lambda n: None
) -> KillResult:
    """SIGKILL a recorder `times` times while a controller keeps emitting events."""
    rng = random.Random(seed)
    tracer = Tracer(RETAINED_EVENTS, time.monotonic, time.time, "one")
    told: dict[tuple[int, int], dict[str, Any]] = {}
    epoch = 0

    async def produce() -> None:
        nonlocal epoch
        while True:
            if epoch:
                tracer.end(epoch, "the next one leads")
                told[(epoch, tracer.last_number[epoch])] = {"why": "the next one leads"}
            epoch += 1
            tracer.begin(epoch)
            ends = time.monotonic() + TERM_S
            while time.monotonic() < ends:
                for _ in range(int(EVENTS_PER_S * 0.05)):
                    fields = _fields(rng)
                    tracer.emit(epoch, "placed", fields)
                    told[(epoch, tracer.last_number[epoch])] = fields
                await asyncio.sleep(0.05)

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        ask = wire.unpack(await request.read())
        answer = tracer.read(ask["epoch"], ask["after"], ask["most"])
        more = {"leader": "a", "leading": epoch, "view": epoch}
        return web.Response(body=wire.pack(answer | more))

    port, runner = await listen(handle, 0)
    config, trace = _write_settings(folder, port), folder / "trace"
    command = [sys.executable, "-m", "coveflow.cli", "trace", "record"]
    command += ["--config", str(config), "--out", str(trace)]

    async def start(*more: str) -> asyncio.subprocess.Process:
        quiet = asyncio.subprocess.DEVNULL
        return await asyncio.create_subprocess_exec(
            *command, *more, stdout=quiet, stderr=quiet, preexec_fn=_with_its_parent
        )

    result = KillResult()
    producing = asyncio.create_task(produce())
    try:
        for number in range(times):
            process = await start()
            await asyncio.sleep(rng.uniform(*KILL_DELAY_S))
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
            result.kills += 1
            on_kill(number + 1)
        producing.cancel()
        process = await start("--for", str(FINAL_RECORDING_S))
        await process.wait()
    finally:
        producing.cancel()
        await runner.cleanup()
    result.emitted = len(told)
    result.findings = verify(trace)
    recorded = {(e.epoch, e.number): e.fields for e in read(trace) if e.epoch}
    gaps = [(g["of"], g["first"], g["last"]) for g in result.findings.gaps]
    for key, fields in told.items():
        if key not in recorded:
            covered = any(
                key[0] == of and first <= key[1] and (last is None or key[1] <= last)
                for of, first, last in gaps
            )
            result.missing += not covered
        elif recorded[key] != fields:
            result.differing += 1
    return result
