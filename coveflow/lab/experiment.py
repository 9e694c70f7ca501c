"""Runs a workload on its own lab, and experiments: the product of tunings, factors and seeds."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from coveflow import forms
from coveflow import settings as s
from coveflow.lab import faults as fl
from coveflow.lab import workload
from coveflow.lab.cluster import Cluster
from coveflow.lab.workload_run import WorkloadRun
from coveflow.trace.record import Recorder

TRACE_TUNING = "(coveflow (trace 50000))\n"  # used when no tuning file is given
SETTLE_S = 4.0  # s for every running machine to find the leader
FLUSH_S = 1.5  # s for the workers' last history rows and the recorder's last events


@dataclass
class Case:
    site: Path
    for_s: float
    until_s: float
    factor: float = 1.0
    seed: int | None = None
    faults: list[fl.Fault] = field(default_factory=list)
    tuning: Path | None = None
    traced: bool = False


async def run_case(
    case: Case, folder: Path, on_message: Callable[[str], None] = lambda text: None
) -> dict[str, Any]:
    """Start a lab, run the case and stop the lab; returns summary, jobs and broken rules."""
    tuning = _tuning(case, folder)
    cluster = Cluster(case.site, folder, tuning)
    if case.seed is not None:
        cluster.site.seed = case.seed
    jobs = workload.draw(cluster.site, case.for_s, case.factor)
    messages: list[str] = []

    def note(text: str) -> None:
        messages.append(text)
        on_message(text)

    workload_run = WorkloadRun(cluster, jobs, case.faults, on_message=note)
    on_message(f"{len(jobs)} jobs in {case.for_s:g} s on {sum(cluster.site.up.values())} machines")
    async with contextlib.AsyncExitStack() as stack:
        stack.push_async_callback(cluster.stop)
        await cluster.start()
        session = await stack.enter_async_context(aiohttp.ClientSession())
        recording = None
        if case.traced:
            settings = s.load(folder / "host-0.toml")
            recorder = Recorder(settings, folder / "trace", session)
            recording = asyncio.create_task(recorder.run())
        await asyncio.sleep(SETTLE_S)
        await workload_run.run(case.until_s)
        await asyncio.sleep(FLUSH_S)
        state = await cluster.ask(session, "/lab/state")
        store = await cluster.ask(session, "/state/lab/state")
        if recording is not None:
            recording.cancel()
            await asyncio.gather(recording, return_exceptions=True)
    broken = workload_run.broken_rules()
    rows = [
        {
            "job": x.spec.id, "class": x.spec.workload, "tasks": x.spec.tasks,
            "status": x.status, "submitted_s": x.due - workload_run.started_at, "took_s": x.took_s,
            "late": x.missed_deadline,
        }
        for x in workload_run.records.values()
    ]  # fmt: skip
    return workload_run.summary() | {
        "jobs": rows, "faults": messages, "paid": state["paid"], "puts": store["puts"],
        "broken": [{"rule": b.rule, "at": b.at, "text": b.text} for b in broken],
    }  # fmt: skip


def _tuning(case: Case, folder: Path) -> Path | None:
    """The controllers' tuning file: the given one, with tracing added where the case needs it."""
    folder.mkdir(parents=True, exist_ok=True)
    if not case.traced:
        return case.tuning
    path = folder / "tuning.scm"
    if case.tuning is None:
        path.write_text(TRACE_TUNING, encoding="utf-8")
        return path
    tuning = s.load_tuning(case.tuning)
    if tuning.trace:
        return case.tuning
    items = forms.read(case.tuning.read_text(encoding="utf-8"), str(case.tuning), "coveflow")
    path.write_text(forms.format_form(["coveflow", *items, ["trace", 50_000]]), encoding="utf-8")
    return path


@dataclass
class Matrix:
    """`(experiment (site S) (for 60) (seeds 1 2) (factor 1 2) (tuning NAME (cycle-s 2)))`"""

    site: str = "evening"
    for_s: float = 60.0
    until_s: float = 300.0
    seeds: list[int] = field(default_factory=lambda: [1])
    factors: list[float] = field(default_factory=lambda: [1.0])
    tunings: dict[str, str] = field(default_factory=dict)  # tuning form by name
    faults: list[fl.Fault] = field(default_factory=list)

    def cases(self) -> list[tuple[str, float, int]]:
        names = list(self.tunings) or ["default"]
        return list(itertools.product(names, self.factors, self.seeds))


def parse_matrix(text: str, origin: str) -> Matrix:
    """Parse an experiment file. Raises FormError, which names the invalid form."""
    found = Matrix()
    for item in forms.read(text, origin, "experiment"):
        key, words = forms.entry(item, origin)
        if key == "site":
            found.site = forms.word(key, words, origin)
        elif key in ("for", "until"):
            setattr(found, f"{key}_s", forms.number(key, words, origin, 1))
        elif key == "seeds":
            found.seeds = [int(forms.number(key, [word], origin, 0)) for word in words]
        elif key == "factor":
            found.factors = [forms.number(key, [word], origin, 0) for word in words]
        elif key == "tuning":
            name = forms.word(key, words[:1], origin)
            form = forms.format_form(["coveflow", *words[1:]])
            s.parse_tuning(form, f"{origin}: tuning {name}")
            found.tunings[name] = form
        elif key == "faults":
            found.faults = fl.parse(forms.format_form(["faults", *words]), origin)
        else:
            raise forms.FormError(f"{origin}: {key} is not part of an experiment")
    return found
