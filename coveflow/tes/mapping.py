"""Maps a TES task to a native job, and a job's state to a TES state. No I/O."""

from __future__ import annotations

import hashlib
import math
from datetime import UTC, datetime
from typing import Any

from coveflow.core.model import Spec
from coveflow.tes.models import RequestError, Resources, State, Task

URGENCIES = {"production": 3, "high": 2, "normal": 1, "low": 0}
DEFAULT_CLASS = "tes"  # default class
DEFAULT_EXPECTED_S = (
    60.0  # default expected run time in s, used until the class has a run-time history
)
DEFAULT_CPUS, DEFAULT_RAM_GB = 1, 1.0  # default resources of a task
GANG_MAX = 1_000  # largest gang, in tasks
# Keys of `resources.backend_parameters`; every value is text, as the schema requires.
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


def map_to_job(
    task: Task, job_id: str, team: str, zones: list[str], image_gb: float
) -> tuple[Spec, list[str]]:
    """Return the job that runs a task, and notes on fields that have no effect.

    Raises RequestError with a message that names the field.
    """
    asked = task.resources or Resources()
    given = dict(asked.backend_parameters or {})
    notes: list[str] = []
    for name in sorted(set(given) - set(PARAMETERS)):
        if asked.backend_parameters_strict:
            raise RequestError(
                f"resources.backend_parameters: {name!r} is not known here, and they are strict;"
                f" known are {', '.join(PARAMETERS)}"
            )
        notes.append(f"backend parameter {name!r} is not known here and has no effect")
        del given[name]
    if given.get("team", team) != team:
        raise RequestError("resources.backend_parameters.team is not the token's team", 403)
    if asked.disk_gb:
        notes.append("resources.disk_gb is recorded; machines do not reserve disk")
    zone = None
    if asked.zones:
        unknown = sorted(set(asked.zones) - set(zones))
        if unknown:
            raise RequestError(f"resources.zones: {unknown[0]!r} is not one of {', '.join(zones)}")
        if len(set(asked.zones)) == 1:
            zone = asked.zones[0]
        elif set(asked.zones) != set(zones):
            raise RequestError("resources.zones must name one zone, or all")
    gang = _integer_parameter(given, "gang_size", 1, 1, GANG_MAX)
    urgency = given.get("urgency", "normal")
    if urgency not in URGENCIES:
        raise RequestError(_parameter_error("urgency", urgency, f"one of {', '.join(URGENCIES)}"))
    types = given.get("machine_types")
    names = [name.strip() for name in types.split(",")] if types is not None else None
    if names is not None and not all(names):
        raise RequestError(
            _parameter_error("machine_types", types or "", "names with commas between them")
        )
    workload = given.get("class", DEFAULT_CLASS)
    if not workload or len(workload) > 200:
        raise RequestError(_parameter_error("class", workload, "a name of 1 to 200 characters"))
    deadline = _number_parameter(given, "deadline_s", -1.0)
    return Spec(
        id=job_id,
        workload=workload,
        team=team,
        kind="gang" if gang > 1 else "array",
        priority=URGENCIES[urgency],
        tasks=gang,
        cpus=float(asked.cpu_cores or DEFAULT_CPUS),
        accelerators=_number_parameter(given, "accelerators", 0.0),
        ram_gb=DEFAULT_RAM_GB if asked.ram_gb is None else float(asked.ram_gb),
        image=_image_name(task),
        image_gb=_number_parameter(given, "image_gb", image_gb),
        types=names,
        zone=zone,
        one_zone=False,
        spread=False,
        spot=bool(asked.preemptible),
        expected_s=_number_parameter(given, "expected_s", DEFAULT_EXPECTED_S) or DEFAULT_EXPECTED_S,
        checkpoint_s=_number_parameter(given, "checkpoint_s", 0.0),
        save_s=_number_parameter(given, "save_s", 0.0),
        deadline_s=None if deadline < 0 else deadline,
    ), notes


def _parameter_error(name: str, value: str, wanted: str) -> str:
    return f"resources.backend_parameters.{name} must be {wanted}, not {value[:100]!r}"


def _number_parameter(given: dict[str, str], name: str, default: float) -> float:
    if name not in given:
        return default
    try:
        value = float(given[name])
    except ValueError:
        value = math.nan
    if not math.isfinite(value) or value < 0:
        raise RequestError(_parameter_error(name, given[name], "a finite number of at least 0"))
    return value


def _integer_parameter(
    given: dict[str, str], name: str, default: int, least: int, most: int
) -> int:
    value = _number_parameter(given, name, float(default))
    if value != int(value) or not least <= value <= most:
        raise RequestError(
            _parameter_error(name, given[name], f"a whole number from {least} to {most}")
        )
    return int(value)


def _image_name(task: Task) -> str:
    """Return one name for all images of the executors, as a machine caches them together."""
    images = list(dict.fromkeys(executor.image for executor in task.executors))
    if len(images) == 1 and len(images[0]) <= 200:
        return images[0]
    return "images-" + hashlib.blake2b("\0".join(images).encode(), digest_size=16).hexdigest()


# --- states ------------------------------------------------------------------------------


def unfinished_state(cancelled: bool, running: int, placed: int) -> State:
    """Return the state of a task whose job has not finished."""
    if cancelled:
        return State.CANCELING
    if running:
        return State.RUNNING
    return State.INITIALIZING if placed else State.QUEUED


def final_state(record: dict[str, Any]) -> State:
    """Return the state of a finished task; it depends on the job's final record only."""
    if record["status"] != "done":
        return State.SYSTEM_ERROR if record.get("failed") else State.CANCELED
    outcome = record.get("outcome") or {}
    if any("system" in row[2:] for row in outcome.values()):
        return State.SYSTEM_ERROR
    failed = any(row[0] != 0 for row in outcome.values())
    return State.EXECUTOR_ERROR if failed else State.COMPLETE


def timestamp(seconds: float) -> str:
    """Format a Unix time as RFC 3339 in UTC, as the schema requires."""
    return (
        datetime.fromtimestamp(seconds, UTC)
        .isoformat(timespec="milliseconds")
        .replace("+00:00", "Z")
    )
