"""Change files: what a simulation does differently from the trace, as S-expressions.

    (change
      (arrivals tally (factor 2) (from 60) (to 18:30) (shift-s 30))   ; one class, or all
      (run-time all (factor 1.2))
      (type small (cpus 16) (boot-s 60))          ; any field of a machine type, or a new type
      (capacity small north (ordinary 10) (spot 4))
      (machines small north (count 3))            ; more machines up from the start; negative: fewer
      (team analytics (cpus 10) (cpus-max 50))
      (tuning (cycle-s 2) (spare 0.2))            ; any operator setting
      (class tally (repeat no))
      (drain n-000003 (at 30)) (lose n-000004 (at 60))
      (outage state (at 60) (for 20)) (lose-leader (at 90) (back 8))
      (controllers 5))

Times are s after the trace's start, or a time of day as HH:MM.
"""

from __future__ import annotations

import re
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from coveflow import forms
from coveflow import settings as s

TIME_OF_DAY = re.compile(r"([01]?[0-9]|2[0-3]):([0-5][0-9])")
TYPE_FIELDS = (
    "cpus", "accelerators", "ram-gb", "cache-gb", "fetch-gb-per-s", "price", "spot-price", "boot-s",
)  # fmt: skip
TEAM_FIELDS = {
    "cpus": "cpus", "cpus-max": "cpus_max", "accelerators": "accelerators",
    "accelerators-max": "accelerators_max",
}  # fmt: skip


@dataclass(frozen=True)
class ArrivalChange:
    """A changed rate or time of arrivals, of one class or all, in a period of the trace."""

    workload: str  # a class or `all`
    factor: float = 1.0
    shift_s: float = 0.0
    start: float | None = None
    end: float | None = None

    def covers(self, workload: str, at: float) -> bool:
        return (
            self.workload in ("all", workload)
            and (self.start is None or at >= self.start)
            and (self.end is None or at < self.end)
        )


@dataclass
class Changes:
    """All changes of a file; times are in s after the trace's start."""

    arrivals: list[ArrivalChange] = field(default_factory=list)
    run_time: list[tuple[str, float]] = field(default_factory=list)
    types: dict[str, dict[str, float]] = field(default_factory=dict)
    capacity: dict[tuple[str, str, bool], int] = field(default_factory=dict)
    machines: dict[tuple[str, str, bool], int] = field(default_factory=dict)
    teams: dict[str, dict[str, float]] = field(default_factory=dict)
    tuning: dict[str, Any] = field(default_factory=dict)
    classes: dict[str, s.ClassRules] = field(default_factory=dict)
    drains: list[tuple[float, str]] = field(default_factory=list)
    losses: list[tuple[float, str]] = field(default_factory=list)
    outages: list[tuple[str, float, float]] = field(default_factory=list)
    lost_leaders: list[tuple[float, float]] = field(default_factory=list)
    controllers: int | None = None
    source_forms: list[str] = field(default_factory=list)  # source text of each form

    def new_tuning(self, old: s.Tuning) -> s.Tuning:
        """The changed operator settings; SettingsError if they are invalid."""
        values = {**msgspec.to_builtins(old), **self.tuning, "classes": {}}
        try:
            tuning = msgspec.convert(values, s.Tuning, strict=False)
        except msgspec.ValidationError as error:
            raise s.SettingsError(f"tuning: {error}") from error
        return msgspec.structs.replace(tuning, classes={**old.classes, **self.classes})


def load(path: Path, start: float) -> Changes:
    """Read a change file; `start` is the time of day of the trace's first event."""
    try:
        return parse(path.read_text(encoding="utf-8"), str(path), start)
    except (OSError, UnicodeDecodeError) as error:
        raise forms.FormError(f"{path}: {getattr(error, 'strerror', None) or error}") from error


def parse(text: str, origin: str, start: float = 0.0) -> Changes:
    """Parse the text of a change file.

    FormError names the invalid form and what is valid.
    """
    changes = Changes()
    for item in forms.read(text, origin, "change"):
        key, words = forms.entry(item, origin)
        handle = _HANDLERS.get(key)
        if handle is None:
            known = ", ".join(sorted(_HANDLERS))
            raise forms.FormError(f"{origin}: {key} cannot be changed; valid forms: {known}")
        handle(changes, words, f"{origin}: {forms.format_form(item)}", start)
        changes.source_forms.append(forms.format_form(item))
    return changes


def _split_names(
    words: list[Any], names: int, origin: str
) -> tuple[list[str], dict[str, list[Any]]]:
    """Split into `names` leading names and the (key value) forms after them."""
    found = words[:names]
    if len(found) < names or not all(isinstance(word, str) for word in found):
        raise forms.FormError(f"{origin}: expected {names} name(s) first")
    return found, forms.table(words[names:], origin)


def _check_keys(table: dict[str, list[Any]], keys: Any, origin: str) -> None:
    for key in table:
        if key not in keys:
            raise forms.FormError(f"{origin}: {key} is not one of {', '.join(keys)}")


def parse_time(value: Any, origin: str, start: float) -> float:
    """Parse s after the start or HH:MM; a time of day before the start is on the next day."""
    if isinstance(value, str):
        match = TIME_OF_DAY.fullmatch(value)
        if match is None:
            raise forms.FormError(f"{origin}: {value} is neither seconds nor HH:MM")
        day = time.localtime(start)
        seconds = int(match[1]) * 3600 + int(match[2]) * 60
        at = seconds - (day.tm_hour * 3600 + day.tm_min * 60 + day.tm_sec)
        return float(at if at >= 0 else at + 86_400)
    return forms.number("a time", [value], origin, 0)


def _at(table: dict[str, list[Any]], key: str, origin: str, start: float) -> float:
    if key not in table:
        raise forms.FormError(f"{origin}: ({key} TIME) is missing")
    return parse_time(forms.single_value(key, table[key], origin), origin, start)


def _arrivals(changes: Changes, words: list[Any], origin: str, start: float) -> None:
    (name,), table = _split_names(words, 1, origin)
    _check_keys(table, ("factor", "shift-s", "from", "to"), origin)
    if not table:
        raise forms.FormError(f"{origin}: (factor X) or (shift-s S) is missing")
    changes.arrivals.append(
        ArrivalChange(
            name,
            forms.number("factor", table.get("factor", [1.0]), origin, 0),
            forms.number("shift-s", table.get("shift-s", [0.0]), origin),
            _at(table, "from", origin, start) if "from" in table else None,
            _at(table, "to", origin, start) if "to" in table else None,
        )
    )


def _run_time(changes: Changes, words: list[Any], origin: str, start: float) -> None:
    (name,), table = _split_names(words, 1, origin)
    _check_keys(table, ("factor",), origin)
    factor = forms.number("factor", table.get("factor", []), origin, 0.001)
    changes.run_time.append((name, factor))


def _type(changes: Changes, words: list[Any], origin: str, start: float) -> None:
    (name,), table = _split_names(words, 1, origin)
    _check_keys(table, TYPE_FIELDS, origin)
    changes.types[name] = {
        key.replace("-", "_"): forms.number(key, value, origin, 0) for key, value in table.items()
    }


def _capacity(changes: Changes, words: list[Any], origin: str, start: float) -> None:
    (name, zone), table = _split_names(words, 2, origin)
    _check_keys(table, ("ordinary", "spot"), origin)
    for key, value in table.items():
        count = int(forms.number(key, value, origin, 0))
        changes.capacity[(name, zone, key == "spot")] = count


def _machines(changes: Changes, words: list[Any], origin: str, start: float) -> None:
    (name, zone), table = _split_names(words, 2, origin)
    _check_keys(table, ("count", "spot"), origin)
    spot = forms.boolean("spot", table["spot"], origin) if "spot" in table else False
    changes.machines[(name, zone, spot)] = int(
        forms.number("count", table.get("count", []), origin)
    )


def _team(changes: Changes, words: list[Any], origin: str, start: float) -> None:
    (name,), table = _split_names(words, 1, origin)
    _check_keys(table, TEAM_FIELDS, origin)
    changes.teams[name] = {
        TEAM_FIELDS[key]: forms.number(key, value, origin, 0) for key, value in table.items()
    }


def _tuning(changes: Changes, words: list[Any], origin: str, start: float) -> None:
    known = {f.encode_name: f.name for f in msgspec.structs.fields(s.Tuning)}
    for key, value in forms.table(words, origin).items():
        if key not in known or key in ("classes", "trace"):
            raise forms.FormError(f"{origin}: {key} is not an operator setting")
        parsed = value if key == "estimators" else forms.single_value(key, value, origin)
        changes.tuning[key] = parsed
    try:
        changes.new_tuning(s.Tuning())
    except s.SettingsError as error:
        raise forms.FormError(f"{origin}: {error}") from error


def _class(changes: Changes, words: list[Any], origin: str, start: float) -> None:
    (name,), table = _split_names(words, 1, origin)
    _check_keys(table, ("repeat",), origin)
    changes.classes[name] = s.ClassRules(forms.boolean("repeat", table.get("repeat", []), origin))


def _drain(changes: Changes, words: list[Any], origin: str, start: float) -> None:
    (name,), table = _split_names(words, 1, origin)
    _check_keys(table, ("at",), origin)
    changes.drains.append((_at(table, "at", origin, start), name))


def _lose(changes: Changes, words: list[Any], origin: str, start: float) -> None:
    (name,), table = _split_names(words, 1, origin)
    _check_keys(table, ("at",), origin)
    changes.losses.append((_at(table, "at", origin, start), name))


def _outage(changes: Changes, words: list[Any], origin: str, start: float) -> None:
    (name,), table = _split_names(words, 1, origin)
    forms.word("outage", [name], origin, ("state", "cloud"))
    _check_keys(table, ("at", "for"), origin)
    for_s = forms.number("for", table.get("for", []), origin, 0)
    changes.outages.append((name, _at(table, "at", origin, start), for_s))


def _lose_leader(changes: Changes, words: list[Any], origin: str, start: float) -> None:
    _, table = _split_names(words, 0, origin)
    _check_keys(table, ("at", "back"), origin)
    back = forms.number("back", table.get("back", [8.0]), origin, 0)
    changes.lost_leaders.append((_at(table, "at", origin, start), back))


def _controllers(changes: Changes, words: list[Any], origin: str, start: float) -> None:
    count = int(forms.number("controllers", words, origin, 1))
    if count > 26:
        raise forms.FormError(f"{origin}: at most 26 controllers")
    changes.controllers = count


_HANDLERS = {
    "arrivals": _arrivals, "run-time": _run_time, "type": _type, "capacity": _capacity,
    "machines": _machines, "team": _team, "tuning": _tuning, "class": _class, "drain": _drain,
    "lose": _lose, "outage": _outage, "lose-leader": _lose_leader, "controllers": _controllers,
}  # fmt: skip
