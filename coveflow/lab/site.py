"""Parser of lab files: zones, limits, machine types, capacity, teams and job classes.

An example of the format:

(lab (seed 1) (zones north south) (controllers 3)
  (workers (report-s 0.5) (lease-s 4) (gang-wait-s 15) (gang-peer-s 3) (cancel-s 15))
  (state (rps 300) (write-rps 120) (value-kb 16) (txn-ops 32))
  (cloud (rps 10) (list-lag-s 1))
  (type small (cpus 8) (ram-gb 32) (cache-gb 60) (fetch-gb-per-s 2) (price 0.4)
    (spot-price 0.1) (boot-s 3) (accelerators 0))
  (capacity small north (ordinary 4) (spot 4) (up 3))
  (team blue (cpus 16) (cpus-max 96))
  (class tally (team blue) (shape array) ...)
  (image shell "/bin/sh")               ; prepended to the command of a task document's executors
  (objective deadline tally (share 0.9)))
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from coveflow import forms
from coveflow.core.model import Flavor
from coveflow.lab.worker import Limits
from coveflow.settings import Team
from coveflow.wire import KINDS, PRIORITIES

WORKER_KEYS = ("report-s", "lease-s", "gang-wait-s", "gang-peer-s", "cancel-s")
STATE_KEYS = ("rps", "write-rps", "value-kb", "txn-ops")
CLOUD_KEYS = ("rps", "list-lag-s")


@dataclass(frozen=True)
class JobClass:
    """Arrival rate, size and run time of one class of jobs. Times are in seconds."""

    name: str
    team: str
    shape: str = "array"
    priority: int = 1
    tasks: tuple[float, float, float] = (4, 8, 16)  # median, 95th percentile, maximum
    run_s: tuple[float, float, float] = (5, 10, 20)  # the same, for the run time of one task
    cpus: float = 1.0
    accelerators: float = 0.0
    ram_gb: float = 1.0
    images: int = 2
    image_gb: float = 0.5
    types: tuple[str, ...] = ()
    one_zone: bool = False
    spread: bool = False
    spot: bool = True
    checkpoint_s: float = 0.0
    save_s: float = 0.0
    deadline: tuple[float, float] | None = None  # factor of the estimate, and seconds added to it
    estimate_error: float = 0.3  # sigma of the users' run time estimates (lognormal)
    per_minute: float = 0.0
    initial: int = 0
    repeat: bool = True


@dataclass
class Site:
    """The contents of one lab file."""

    seed: int = 1
    controllers: int = 3
    zones: list[str] = field(default_factory=lambda: ["north", "south"])
    workers: dict[str, float] = field(default_factory=dict)
    state: dict[str, float] = field(default_factory=dict)
    cloud: dict[str, float] = field(default_factory=dict)
    flavors: list[Flavor] = field(default_factory=list)
    capacity: dict[tuple[str, str, bool], int] = field(default_factory=dict)
    up: dict[tuple[str, str, bool], int] = field(default_factory=dict)
    teams: list[Team] = field(default_factory=list)
    classes: list[JobClass] = field(default_factory=list)
    objectives: list[dict[str, Any]] = field(default_factory=list)
    images: dict[str, str] = field(default_factory=dict)  # program that replaces each image
    restart_s: float = 2.0  # delay before an exited controller is restarted

    @property
    def limits(self) -> Limits:
        return Limits(**{key.replace("-", "_"): self.workers[key] for key in WORKER_KEYS})


def load(path: Path) -> Site:
    """Read a lab file. Raises FormError, which names the file and the form."""
    try:
        return parse(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise forms.FormError(f"{path}: {getattr(error, 'strerror', None) or error}") from error


def parse(text: str, origin: str) -> Site:
    site = Site()
    for item in forms.read(text, origin, "lab"):
        key, values = forms.entry(item, origin)
        at = f"{origin}: {key}"
        match key:
            case "seed" | "controllers":
                setattr(site, key, int(forms.number(key, values, origin, 0)))
            case "restart-s":
                site.restart_s = forms.number(key, values, origin, 0)
            case "zones":
                site.zones = [forms.word(key, [value], origin) for value in values]
            case "workers":
                site.workers = _numbers(values, WORKER_KEYS, at)
            case "state":
                site.state = _numbers(values, STATE_KEYS, at)
            case "cloud":
                site.cloud = _numbers(values, CLOUD_KEYS, at)
            case "type":
                site.flavors.append(_type(values, site.zones, at))
            case "capacity":
                _capacity(site, values, at)
            case "team":
                site.teams.append(_team(values, at))
            case "class":
                site.classes.append(job_class(values, at))
            case "image":
                if len(values) != 2:
                    raise forms.FormError(f"{at}: (image NAME PATH)")
                name, path = (forms.word(key, [value], origin) for value in values)
                site.images[name] = path
            case "objective":
                site.objectives.append(_objective(values, at))
            case _:
                raise forms.FormError(f"{origin}: {key} is not a form of a lab file")
    for part in ("workers", "state", "cloud", "flavors", "capacity", "teams"):
        if not getattr(site, part):
            raise forms.FormError(f"{origin}: ({part.rstrip('s')} ...) is missing")
    known = {f.name for f in site.flavors}
    for name, zone, _ in site.capacity:
        if name not in known or zone not in site.zones:
            raise forms.FormError(f"{origin}: capacity names {name} in {zone}, which is unknown")
    return site


def _numbers(values: list[Any], keys: tuple[str, ...], origin: str) -> dict[str, float]:
    table = forms.table(values, origin)
    unknown = sorted(set(table) - set(keys))
    missing = [key for key in keys if key not in table]
    if unknown:
        raise forms.FormError(f"{origin}: {unknown[0]} is not one of {', '.join(keys)}")
    if missing:
        raise forms.FormError(f"{origin}: ({missing[0]} NUMBER) is missing")
    return {key: forms.number(key, table[key], origin, 0) for key in keys}


def _name_and_table(values: list[Any], origin: str) -> tuple[str, dict[str, list[Any]]]:
    if not values or not isinstance(values[0], str):
        raise forms.FormError(f"{origin}: a name is missing")
    return values[0], forms.table(values[1:], f"{origin} {values[0]}")


def _type(values: list[Any], zones: list[str], origin: str) -> Flavor:
    name, table = _name_and_table(values, origin)
    keys = (
        "cpus", "ram-gb", "cache-gb", "fetch-gb-per-s", "price", "spot-price", "boot-s",
        "accelerators",
    )  # fmt: skip
    defaults = {"accelerators": [0], "cache-gb": [50], "fetch-gb-per-s": [1]}
    rows = [[key, *value] for key, value in (defaults | table).items()]
    found = _numbers(rows, keys, f"{origin} {name}")
    fields = {key.replace("-", "_"): value for key, value in found.items()}
    return Flavor(name=name, zones=list(zones), **fields)


def _capacity(site: Site, values: list[Any], origin: str) -> None:
    if len(values) < 3 or not all(isinstance(value, str) for value in values[:2]):
        raise forms.FormError(f"{origin}: (capacity TYPE ZONE (ordinary 4) (spot 2) (up 2))")
    name, zone = values[:2]
    table = forms.table(values[2:], origin)
    for key, words in table.items():
        count = int(forms.number(key, words, origin, 0))
        if key in ("ordinary", "spot"):
            site.capacity[(name, zone, key == "spot")] = count
        elif key in ("up", "up-spot"):
            site.up[(name, zone, key == "up-spot")] = count
        else:
            raise forms.FormError(f"{origin}: {key} is none of ordinary, spot, up, up-spot")


def _team(values: list[Any], origin: str) -> Team:
    name, table = _name_and_table(values, origin)
    names = {
        "cpus": "cpus", "cpus-max": "cpus_max", "accelerators": "accelerators",
        "accelerators-max": "accelerators_max",
    }  # fmt: skip
    unknown = sorted(set(table) - set(names))
    if unknown:
        raise forms.FormError(f"{origin} {name}: {unknown[0]} is none of {', '.join(names)}")
    return Team(name, **{names[k]: forms.number(k, v, origin, 0) for k, v in table.items()})


def _objective(values: list[Any], origin: str) -> dict[str, Any]:
    if len(values) < 2 or not all(isinstance(value, str) for value in values[:2]):
        raise forms.FormError(f"{origin}: (objective KIND CLASS (share 0.9) (within-s 30))")
    row: dict[str, Any] = {"kind": values[0], "class": values[1]}
    for key, words in forms.table(values[2:], origin).items():
        row[key.replace("-", "_")] = forms.number(key, words, origin, 0)
    return row


_DISTRIBUTIONS = ("tasks", "run-s")
_NUMBERS = (
    "cpus", "accelerators", "ram-gb", "image-gb", "checkpoint-s", "save-s", "estimate-error",
    "per-minute",
)  # fmt: skip
_FLAGS = ("one-zone", "spread", "spot", "repeat")


def job_class(values: list[Any], origin: str) -> JobClass:
    """Parse `(class NAME (team T) (shape array) (tasks MEDIAN P95 MOST) ...)`."""
    name, table = _name_and_table(values, origin)
    at = f"{origin} {name}"
    fields: dict[str, Any] = {}
    for key, words in table.items():
        field_name = key.replace("-", "_")
        if key == "team":
            fields["team"] = forms.word(key, words, at)
        elif key == "shape":
            fields["shape"] = KINDS[forms.word(key, words, at, tuple(KINDS))]
        elif key == "priority":
            fields["priority"] = PRIORITIES[forms.word(key, words, at, tuple(PRIORITIES))]
        elif key in _DISTRIBUTIONS:
            if len(words) not in (1, 3):
                raise forms.FormError(f"{at}: ({key} MEDIAN P95 MOST) or ({key} VALUE)")
            numbers = [forms.number(key, [w], at, 0) for w in words]
            fields[field_name] = tuple(numbers * 3 if len(numbers) == 1 else numbers)
        elif key in _NUMBERS:
            fields[field_name] = forms.number(key, words, at, 0)
        elif key in ("images", "initial"):
            fields[field_name] = int(forms.number(key, words, at, 0))
        elif key in _FLAGS:
            fields[field_name] = forms.boolean(key, words, at)
        elif key == "types":
            fields["types"] = tuple(forms.word(key, [w], at) for w in words)
        elif key == "deadline":
            if len(words) != 2:
                raise forms.FormError(f"{at}: (deadline FACTOR PLUS-S)")
            fields["deadline"] = tuple(forms.number(key, [w], at, 0) for w in words)
        else:
            raise forms.FormError(f"{at}: {key} is not a form of a class")
    if "team" not in fields:
        raise forms.FormError(f"{at}: (team NAME) is missing")
    return JobClass(name, **fields)
