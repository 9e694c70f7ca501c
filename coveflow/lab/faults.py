"""Injects faults into a lab at given times, read from S-expressions.

(faults
  (at 12 kill leader)                     ; a controller: leader, host-1 or all
  (at 15 pause host-1 (for 5))            ; SIGSTOP, SIGCONT after 5 s
  (at 20 cut north south (for 10) (mode hold))   ; hold, reset or refuse
  (at 30 outage state (for 5))            ; or cloud
  (at 30 slow state (by 0.3) (for 5))     ; late: requests applied late and not answered
  (at 30 refuse host-1 (for 5))           ; the state service refuses this host
  (at 40 machines kill (count 2))         ; hang, sick, slow, take
  (at 50 drain busiest))                  ; an operator drains a machine
"""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import aiohttp

from coveflow import forms, wire
from coveflow.daemon.operators import DRAIN, HELD, RELEASE
from coveflow.lab.cluster import LOCAL, Cluster

KINDS = ("kill", "pause", "cut", "outage", "slow", "late", "refuse", "machines", "drain", "release")
MACHINE_FAULTS = ("kill", "hang", "sick", "slow", "take")
MODES = ("hold", "reset", "refuse")
# Defaults of the options other than `for` and `mode`; `by` and `notice` in s.
DEFAULT_OPTIONS = {"by": 0.3, "count": 1.0, "factor": 2.0, "notice": 0.0}


@dataclass(frozen=True)
class Fault:
    at: float
    kind: str
    targets: tuple[str, ...]
    for_s: float = 5.0
    mode: str = "hold"
    options: dict[str, float] = field(default_factory=dict)

    def __str__(self) -> str:
        return " ".join([self.kind, *self.targets])


def load(path: Path) -> list[Fault]:
    try:
        return parse(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise forms.FormError(f"{path}: {getattr(error, 'strerror', None) or error}") from error


def parse(text: str, origin: str) -> list[Fault]:
    """Faults sorted by time. Raises FormError, which names the invalid form."""
    found = [_parse_fault(item, origin) for item in forms.read(text, origin, "faults")]
    return sorted(found, key=lambda fault: fault.at)


def _parse_fault(item: Any, origin: str) -> Fault:
    shown = forms.format_form(item)
    if not isinstance(item, list) or len(item) < 4 or item[0] != "at":
        raise forms.FormError(f"{origin}: {shown} is not (at SECONDS KIND WHO (for S) ...)")
    at = forms.number("at", [item[1]], origin, 0)
    kind = forms.word("at", [item[2]], f"{origin}: {shown}", KINDS)
    targets = tuple(word for word in item[3:] if isinstance(word, str))
    table = forms.table([form for form in item[3:] if not isinstance(form, str)], origin)
    needed = 2 if kind == "cut" else 1
    if len(targets) != needed:
        raise forms.FormError(f"{origin}: {shown}: {kind} takes {needed} name(s)")
    if kind == "machines":
        forms.word("machines", [targets[0]], f"{origin}: {shown}", MACHINE_FAULTS)
    options = dict(DEFAULT_OPTIONS)
    for_s, mode = 5.0, "hold"
    for key, words in table.items():
        if key == "for":
            for_s = forms.number(key, words, origin, 0)
        elif key == "mode":
            mode = forms.word(key, words, f"{origin}: {shown}", MODES)
        elif key in options:
            options[key] = forms.number(key, words, origin, 0)
        else:
            raise forms.FormError(f"{origin}: {shown}: {key} is not an option")
    return Fault(at, kind, targets, for_s, mode, options)


def link_ends(cluster: Cluster, name: str) -> set[str]:
    """The link endpoints that a name in a `cut` stands for."""
    nodes, zones = cluster.nodes, cluster.site.zones
    if name in zones:
        return {name} | {n for n, node in nodes.items() if node["zone"] == name}
    groups = {"nodes": set(nodes), "workers": set(zones), "all": {*nodes, *zones}}
    if name in groups:
        return groups[name]
    if name in nodes or name in ("state", "cloud"):
        return {name}
    raise forms.FormError(f"cut: {name} is no node, zone, nodes, workers, state or cloud")


def links_between(cluster: Cluster, a: str, b: str) -> list[str]:
    ends_a, ends_b = link_ends(cluster, a), link_ends(cluster, b)
    found = []
    for name, _, _ in cluster.plan["links"]:
        src, _, dst = name.partition("->")
        if (src in ends_a and dst in ends_b) or (src in ends_b and dst in ends_a):
            found.append(name)
    return found


async def _drain(cluster: Cluster, session: aiohttp.ClientSession, target: str) -> str:
    if target == "busiest":
        machines = (await cluster.ask(session, "/lab/state"))["machines"]
        target = max(machines, key=lambda m: sum(t[2] == "running" for t in m["tasks"]))["name"]
    answer = await _operator_request(cluster, session, DRAIN, {"machine": target, "on": True})
    return f"drain {target}" + ("" if answer is not None else ": not answered")


async def _release(cluster: Cluster, session: aiohttp.ClientSession) -> str:
    answer = await _operator_request(cluster, session, HELD, {})
    jobs = [row["job"] for row in (answer or {"held": []})["held"] if row["held"]]
    for job in jobs:
        await _operator_request(cluster, session, RELEASE, {"job": job, "again": True})
    return f"release {', '.join(jobs) or 'nothing'}"


async def _operator_request(
    cluster: Cluster, session: aiohttp.ClientSession, path: str, body: dict[str, Any]
) -> dict[str, Any] | None:
    """Send an operator's request to the leader; None without a leader or if it is rejected."""
    leader = await cluster.leader(session)
    if leader is None:
        return None
    url = f"http://{LOCAL}:{cluster.nodes[leader]['cluster']}{path}"
    async with session.post(url, data=wire.pack(body)) as response:
        return wire.unpack(await response.read()) if response.status == 200 else None


async def apply_fault(cluster: Cluster, session: aiohttp.ClientSession, fault: Fault) -> str:
    """Apply the fault; returns a description of what was done."""
    target = fault.targets[0]
    if fault.kind in ("kill", "pause"):
        if target == "leader":
            target = await cluster.leader(session) or next(iter(cluster.nodes))
        chosen = list(cluster.nodes) if target == "all" else [target]
        for name in chosen:
            if fault.kind == "kill":
                cluster.signal_node(name, signal.SIGKILL)
            else:
                cluster.signal_node(name, signal.SIGSTOP)
                asyncio.get_running_loop().call_later(
                    fault.for_s, cluster.signal_node, name, signal.SIGCONT
                )
        return f"{fault.kind} {', '.join(chosen)}"
    if fault.kind == "drain":
        return await _drain(cluster, session, target)
    if fault.kind == "release":
        return await _release(cluster, session)
    request: dict[str, Any] = {"for_s": fault.for_s, "by_s": fault.options["by"]}
    if fault.kind == "cut":
        request |= {
            "kind": "cut",
            "links": links_between(cluster, *fault.targets),
            "mode": fault.mode,
        }
    elif fault.kind == "machines":
        request |= {
            "kind": target,
            "count": fault.options["count"],
            "factor": fault.options["factor"],
            "notice_s": fault.options["notice"],
        }
    elif fault.kind == "outage" and target == "cloud":
        request |= {"kind": "cloud-outage"}
    else:
        request |= {"kind": fault.kind, "who": target}
        await cluster.ask(session, "/state/lab/fault", request)
        return str(fault)
    await cluster.ask(session, "/lab/fault", request)
    return str(fault)
