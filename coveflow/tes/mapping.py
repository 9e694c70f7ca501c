"""A TES task as a native job, and a job's state as TES tells it. Pure."""

from __future__ import annotations

import hashlib
import math
from datetime import UTC, datetime
from typing import Any

from coveflow.core.model import Spec
from coveflow.tes.models import Refused, Resources, State, Task

URGENCIES = {"production": 3, "high": 2, "normal": 1, "low": 0}
CLASS = "tes"  # class of tasks whose client names none
EXPECTED_S = 60.0  # s; the first guess of a run time that no client gave, until histories know
CPUS, RAM_GB = 1, 1.0  # of a task whose client does not say
GANG_MOST = 1_000  # tasks of a gang
# What `resources.backend_parameters` may say; every value is text, as the schema has it.
PARAMETERS = {
    "team": "the team whose guarantee and limit apply; the token's own, if not given",
    "class": "class of jobs: its run times are learnt together, operators' rules name it",
    "urgency": "production, high, normal or low",
    "deadline_s": "s from submission until it should be complete",
    "expected_s": "s that it is expected to run",
    "checkpoint_s": "s of progress between checkpoints; 0: it never saves",
    "save_s": "s that it needs to save when stopped",
    "image_gb": "GB of its image",
    "machine_types": "allowed machine types, with commas between them",
    "accelerators": "accelerators it takes",
    "gang_size": "tasks that run it at the same time, each knowing its rank",
}


def job_of(
    task: Task, job_id: str, team: str, zones: list[str], image_gb: float
) -> tuple[Spec, list[str]]:
    """The job that runs a task, and notes on what of the task is only recorded.

    Raises Refused with a sentence that names the field.
    """
    asked = task.resources or Resources()
    given = dict(asked.backend_parameters or {})
    notes: list[str] = []
    for name in sorted(set(given) - set(PARAMETERS)):
        if asked.backend_parameters_strict:
            raise Refused(
                f"resources.backend_parameters: {name!r} is not known here, and they are strict;"
                f" known are {', '.join(PARAMETERS)}"
            )
        notes.append(f"backend parameter {name!r} is not known here and has no effect")
        del given[name]
    if given.get("team", team) != team:
        raise Refused("resources.backend_parameters.team is not the token's team", 403)
    if asked.disk_gb:
        notes.append("resources.disk_gb is recorded; machines do not reserve disk")
    zone = None
    if asked.zones:
        unknown = sorted(set(asked.zones) - set(zones))
        if unknown:
            raise Refused(f"resources.zones: {unknown[0]!r} is not one of {', '.join(zones)}")
        if len(set(asked.zones)) == 1:
            zone = asked.zones[0]
        elif set(asked.zones) != set(zones):
            raise Refused("resources.zones must name one zone, or all")
    gang = _whole(given, "gang_size", 1, 1, GANG_MOST)
    urgency = given.get("urgency", "normal")
    if urgency not in URGENCIES:
        raise Refused(_bad("urgency", urgency, f"one of {', '.join(URGENCIES)}"))
    types = given.get("machine_types")
    names = [name.strip() for name in types.split(",")] if types is not None else None
    if names is not None and not all(names):
        raise Refused(_bad("machine_types", types or "", "names with commas between them"))
    workload = given.get("class", CLASS)
    if not workload or len(workload) > 200:
        raise Refused(_bad("class", workload, "a name of 1 to 200 characters"))
    deadline = _number(given, "deadline_s", -1.0)
    return Spec(
        id=job_id,
        workload=workload,
        team=team,
        kind="gang" if gang > 1 else "array",
        priority=URGENCIES[urgency],
        tasks=gang,
        cpus=float(asked.cpu_cores or CPUS),
        accelerators=_number(given, "accelerators", 0.0),
        ram_gb=RAM_GB if asked.ram_gb is None else float(asked.ram_gb),
        image=_image(task),
        image_gb=_number(given, "image_gb", image_gb),
        types=names,
        zone=zone,
        one_zone=False,
        spread=False,
        spot=bool(asked.preemptible),
        expected_s=_number(given, "expected_s", EXPECTED_S) or EXPECTED_S,
        checkpoint_s=_number(given, "checkpoint_s", 0.0),
        save_s=_number(given, "save_s", 0.0),
        deadline_s=None if deadline < 0 else deadline,
    ), notes


def _bad(name: str, value: str, wanted: str) -> str:
    return f"resources.backend_parameters.{name} must be {wanted}, not {value[:100]!r}"


def _number(given: dict[str, str], name: str, default: float) -> float:
    if name not in given:
        return default
    try:
        value = float(given[name])
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0:
        raise Refused(_bad(name, given[name], "a finite number of at least 0"))
    return value


def _whole(given: dict[str, str], name: str, default: int, least: int, most: int) -> int:
    value = _number(given, name, float(default))
    if value != int(value) or not least <= value <= most:
        raise Refused(_bad(name, given[name], f"a whole number from {least} to {most}"))
    return int(value)


def _image(task: Task) -> str:
    """One name for all images that the executors need: a machine caches them together."""
    images = list(dict.fromkeys(executor.image for executor in task.executors))
    if len(images) == 1 and len(images[0]) <= 200:
        return images[0]
    return "images-" + hashlib.blake2b("\0".join(images).encode(), digest_size=16).hexdigest()


# --- states ------------------------------------------------------------------------------


def live_state(cancelled: bool, running: int, placed: int) -> State:
    """The state of a task whose job is not over."""
    if cancelled:
        return State.CANCELING
    if running:
        return State.RUNNING
    return State.INITIALIZING if placed else State.QUEUED


def final_state(record: dict[str, Any]) -> State:
    """The state of a task whose job is over; a function of the job's final record alone."""
    if record["status"] != "done":
        return State.SYSTEM_ERROR if record.get("failed") else State.CANCELED
    outcome = record.get("outcome") or {}
    if any("system" in row[2:] for row in outcome.values()):
        return State.SYSTEM_ERROR
    failed = any(row[0] != 0 for row in outcome.values())
    return State.EXECUTOR_ERROR if failed else State.COMPLETE


def timestamp(seconds: float) -> str:
    """RFC 3339 in UTC, as the schema wants times."""
    return (
        datetime.fromtimestamp(seconds, UTC)
        .isoformat(timespec="milliseconds")
        .replace("+00:00", "Z")
    )
