"""Settings: the platform's deploy file (TOML) and the operator's tuning file (S-expressions).

Unknown fields of the deploy file are ignored; unknown keys of the tuning file are errors.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any

import msgspec

from coveflow import forms

Positive = Annotated[float, msgspec.Meta(gt=0)]
NonNegative = Annotated[float, msgspec.Meta(ge=0)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]


class SettingsError(ValueError):
    """A settings file is invalid; the text names the file and the field, line or form."""


class Member(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name="host_name")
    zone: str = msgspec.field(name="area")
    address: str = ""


class Services(msgspec.Struct, frozen=True):
    cloud: str
    state: str


class Team(msgspec.Struct, frozen=True):
    name: str
    cpus: NonNegative = 0.0
    cpus_max: NonNegative = 0.0
    accelerators: NonNegative = msgspec.field(name="gpus", default=0.0)
    accelerators_max: NonNegative = msgspec.field(name="gpus_max", default=0.0)


class Objective(msgspec.Struct, frozen=True):
    kind: str
    workload: str | None = msgspec.field(name="class", default=None)
    share: float | None = None
    within_s: float | None = None
    within_ms: float | None = None
    most: float | None = None


class Workers(msgspec.Struct, frozen=True):
    report_s: Positive
    lease_s: Positive
    gang_wait_s: Positive
    gang_peer_s: Positive
    cancel_s: Positive


class StateLimits(msgspec.Struct, frozen=True):
    """Limits that the state service will have later; None: as today."""

    write_rps: Positive | None = None  # changes a second
    value_kb: Positive | None = None  # KiB of a value's JSON
    txn_ops: Annotated[int, msgspec.Meta(ge=4)] | None = None  # changes in a transaction


class State(msgspec.Struct, frozen=True):
    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: Annotated[int, msgspec.Meta(ge=4)]
    next: StateLimits = StateLimits()  # in force from some moment on, without notice

    @property
    def max_value_kb(self) -> float:
        """KiB of a value that today's and the next limits both allow."""
        return min(self.value_kb, self.next.value_kb or self.value_kb)

    @property
    def max_txn_ops(self) -> int:
        """Changes in a transaction that today's and the next limits both allow."""
        return min(self.txn_ops, self.next.txn_ops or self.txn_ops)


class Cloud(msgspec.Struct, frozen=True):
    rps: Positive
    list_lag_s: NonNegative = 0.0


class Resources(msgspec.Struct, frozen=True):
    cpu: Positive = 1.0
    ram_mb: Positive = 128.0
    max_connections: Annotated[int, msgspec.Meta(ge=1)] = 512


class Params(msgspec.Struct, frozen=True):
    zones: list[str]
    workers: Workers
    state: State
    cloud: Cloud
    size: Annotated[int, msgspec.Meta(ge=1)] = 1
    clock_error_ms: NonNegative = 0.0
    teams: list[Team] = []
    objectives: list[Objective] = []
    resources: Resources = Resources()


class Settings(msgspec.Struct, frozen=True):
    name: str = msgspec.field(name="host_name")
    zone: str = msgspec.field(name="area")
    front: str
    cluster_listen: str
    services: Services
    params: Params
    members: list[Member] = []


class ClassRules(msgspec.Struct, frozen=True):
    """An operator's rules for a class of jobs."""

    repeat: bool = True  # whether a lost or stopped attempt may be repeated


class Tes(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """The GA4GH task execution API: `(tes (port 8090) (tokens FILE) ...)`; without it, disabled."""

    port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = (
        0  # on the host of `front`; 0: use `listen`
    )
    listen: dict[str, str] = {}  # address by controller, if one port does not suit all
    tokens: str = ""  # file of the clients' tokens, relative to the tuning file
    certificate: str = ""  # PEM file, like `key`; without them plain HTTP is used
    key: str = ""
    plain: bool = False  # allow plain HTTP beyond loopback
    part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.25  # of this node's store budgets
    retention_h: Positive = 168.0  # h a task is kept after its end
    body_kb: Annotated[float, msgspec.Meta(gt=0, le=16384)] = 1024.0  # KiB; request body limit
    connections: Annotated[int, msgspec.Meta(ge=1)] = 200
    slow_s: Positive = 10.0  # s in which a client must send its request
    page: Annotated[int, msgspec.Meta(ge=1, le=2047)] = 256  # default number of tasks on a page
    image_gb: NonNegative = 1.0  # GB of an image if the client gives no size
    storage: tuple[str, ...] = ("file:///",)  # URL prefixes that machines can reach
    name: str = "coveflow"
    organization: str = "coveflow"
    organization_url: str = "https://example.org"


class Tuning(msgspec.Struct, frozen=True, rename="kebab", forbid_unknown_fields=True):
    """Values that an operator may tune; one S-expression form `(key value)` each."""

    cycle_s: Positive = 5.0
    horizon_s: Positive = 300.0
    wait_s: NonNegative = 60.0
    slope: Positive = 10.0
    stop_ratio: Positive = 1000.0
    stop_margin: NonNegative = 0.05
    stop_growth: Annotated[float, msgspec.Meta(ge=1)] = 4.0
    estimators: tuple[str, ...] = ("average", "median", "decay", "recent")
    decay: Fraction = 0.5
    recent: Annotated[int, msgspec.Meta(ge=1, le=200)] = 20
    spare: NonNegative = 0.1
    idle_s: NonNegative = 20.0
    trace: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0  # trace events kept for a recorder
    homes: bool = True  # reports go to nodes of the machine's zone, which forward them
    classes: dict[str, ClassRules] = {}
    tes: Tes | None = None

    def may_repeat(self, workload: str) -> bool:
        """Whether work of the class may be preempted, moved or repeated."""
        rules = self.classes.get(workload)
        return rules is None or rules.repeat


def parse_address(text: str) -> tuple[str, int]:
    """Parse `host:port`."""
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} is not an address of the form host:port")
    return host, int(port)


def load(path: Path) -> Settings:
    try:
        raw = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
    return parse(raw, str(path))


def parse(raw: dict[str, Any], origin: str = "settings") -> Settings:
    try:
        settings = msgspec.convert(raw, Settings)
        for text in (
            settings.front,
            settings.cluster_listen,
            settings.services.cloud,
            settings.services.state,
            *(member.address for member in settings.members),
        ):
            parse_address(text)
    except (msgspec.ValidationError, ValueError) as error:
        raise SettingsError(f"{origin}: {error}") from error
    return settings


def load_tuning(path: Path) -> Tuning:
    try:
        return parse_tuning(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error


def parse_tuning(text: str, origin: str = "tuning") -> Tuning:
    """Parse `(coveflow (cycle-s 5) (estimators average median) (class NAME (repeat no)) ...)`."""
    try:
        return _parse_tuning(forms.read(text, origin, "coveflow"), origin)
    except forms.FormError as error:
        raise SettingsError(str(error)) from error


def _parse_tuning(items: list[Any], origin: str) -> Tuning:
    values: dict[str, Any] = {}
    classes: dict[str, ClassRules] = {}
    for item in items:
        key, words = forms.entry(item, origin)
        if key == "class":
            name, rules = _parse_class(words, origin)
            if name in classes:
                raise SettingsError(f"{origin}: class {name} is given twice")
            classes[name] = rules
            continue
        if key == "tes":
            if key in values:
                raise SettingsError(f"{origin}: tes is given twice")
            values[key] = _parse_tes(words, origin)
            continue
        if key in values:
            raise SettingsError(f"{origin}: {key} is given twice")
        if key == "homes":
            values[key] = forms.boolean(key, words, origin)
            continue
        values[key] = words if key == "estimators" else forms.single_value(key, words, origin)
    try:
        tuning = msgspec.convert({**values, "classes": {}}, Tuning)
    except msgspec.ValidationError as error:
        raise SettingsError(f"{origin}: {error}") from error
    known = {"average", "median", "decay", "recent"}
    unknown = [name for name in tuning.estimators if name not in known]
    if unknown or not tuning.estimators:
        raise SettingsError(f"{origin}: estimators must be among {sorted(known)}: {unknown}")
    return msgspec.structs.replace(tuning, classes=classes)


def _parse_tes(words: list[Any], origin: str) -> dict[str, Any]:
    """Parse the values of `(tes (port 8090) (listen (host-0 "127.0.0.1:1")) (plain yes) ...)`."""
    where = f"{origin}: tes"
    values: dict[str, Any] = {}
    for key, row in forms.table(words, where).items():
        if key == "listen":
            values[key] = {
                name: forms.word(name, value, f"{where}: listen")
                for name, value in forms.table(row, f"{where}: listen").items()
            }
        elif key == "storage":
            values[key] = row
        elif key == "plain":
            values[key] = forms.boolean(key, row, where)
        else:
            values[key] = forms.single_value(key, row, where)
    for text in values.get("listen", {}).values():
        try:
            parse_address(text)
        except ValueError as error:
            raise SettingsError(f"{where}: listen: {error}") from error
    if not values.get("port") and not values.get("listen"):
        raise SettingsError(f"{where}: say where to listen, (port N) or (listen (NAME ADDRESS))")
    if ("certificate" in values) != ("key" in values):
        raise SettingsError(f"{where}: certificate and key go together; one is missing")
    return values


def _parse_class(words: list[Any], origin: str) -> tuple[str, ClassRules]:
    if len(words) < 2 or not isinstance(words[0], str):
        raise SettingsError(f"{origin}: a class is (class NAME (repeat no)), not {words}")
    rules = forms.table(words[1:], f"{origin}: class {words[0]}")
    unknown = sorted(set(rules) - {"repeat"})
    if unknown:
        raise SettingsError(f"{origin}: class {words[0]}: {unknown[0]} is not a rule; repeat is")
    return words[0], ClassRules(forms.boolean("repeat", rules["repeat"], f"{origin}: {words[0]}"))
