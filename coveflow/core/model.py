"""Jobs, attempts and machines as pure state machines: no clock, no input or output."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import msgspec

from coveflow import constants as c
from coveflow.core.hearing import Hearing

KINDS = ("array", "gang", "service")


class Spec(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a user submitted."""

    id: str
    workload: str
    team: str
    kind: str
    priority: int
    tasks: int
    cpus: float
    accelerators: float
    ram_gb: float
    image: str
    image_gb: float
    types: list[str] | None
    zone: str | None
    one_zone: bool
    spread: bool
    spot: bool
    expected_s: float
    checkpoint_s: float
    save_s: float
    deadline_s: float | None = None

    def __post_init__(self) -> None:
        """Keep numbers in a range in which any sum or quotient of them is finite.

        A task of 1e-310 CPUs was accepted, fitted a machine infinitely often and ended every
        planning pass; so did a run time whose half was beyond all numbers. Records of older builds
        hold such jobs too.
        """
        for name in ("cpus", "accelerators", "ram_gb", "image_gb"):
            self._bound(name, c.AMOUNT_LEAST, c.AMOUNT_MOST)
        for name in ("expected_s", "checkpoint_s", "save_s", "deadline_s"):
            self._bound(name, c.DURATION_LEAST_S, c.DURATION_MOST_S)

    def _bound(self, name: str, least: float, most: float) -> None:
        """Bound the field's number; nought, None and what is no amount at all stay as they are."""
        number = getattr(self, name)
        if number is not None and number > 0 and not least <= number <= most:
            msgspec.structs.force_setattr(self, name, min(max(number, least), most))


def half(spec: Spec) -> int:
    """How many tasks of a job with `spread` one zone may have."""
    return (spec.tasks + 1) // 2


class Flavor(msgspec.Struct, frozen=True):
    """A machine type of the cloud."""

    name: str
    cpus: float
    accelerators: float
    ram_gb: float
    cache_gb: float
    fetch_gb_per_s: float
    price: float
    spot_price: float
    boot_s: float
    zones: list[str]

    def rate(self, spot: bool) -> float:
        return self.spot_price if spot else self.price

    def absurd(self) -> str:
        """The first field that no machine type can have; empty if there is none.

        Plans divide by speeds and amounts, and weigh prices: one such type must not end them.
        """
        numbers = {
            "cpus": (self.cpus, c.AMOUNT_LEAST, c.AMOUNT_MOST),
            "accelerators": (self.accelerators or c.AMOUNT_LEAST, c.AMOUNT_LEAST, c.AMOUNT_MOST),
            "ram_gb": (self.ram_gb, 0.0, c.AMOUNT_MOST),
            "cache_gb": (self.cache_gb, 0.0, c.AMOUNT_MOST),
            "fetch_gb_per_s": (self.fetch_gb_per_s, c.AMOUNT_LEAST, c.AMOUNT_MOST),
            "price": (self.price, 0.0, c.AMOUNT_MOST),
            "spot_price": (self.spot_price, 0.0, c.AMOUNT_MOST),
            "boot_s": (self.boot_s, 0.0, c.DURATION_MOST_S),
        }
        for name, (number, least, most) in numbers.items():
            if not least <= number <= most:  # NaN neither
                return name
        names = {"name": [self.name], "zones": self.zones}
        for name, texts in names.items():
            if any(not 0 < len(text) <= c.NAME_MOST for text in texts):
                return name
        return ""


class TaskReport(msgspec.Struct, frozen=True):
    job: str
    task: int
    number: int
    state: str
    why: str | None = None
    saved: bool = False


class Report(msgspec.Struct, frozen=True):
    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    tenure: int
    counter: int
    epoch: int
    notice_s: float | None
    tasks: list[TaskReport]


class Order(msgspec.Struct, frozen=True):
    verb: str
    job: str
    task: int
    number: int
    grace_s: float = 0.0


class Listed(msgspec.Struct, frozen=True):
    """A row of the cloud's machine list."""

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


class Placement(msgspec.Struct, eq=False):
    """One attempt of one task on one machine. It lives until its end is proven."""

    job: str
    task: int
    number: int
    machine: str
    tenure: int
    committed: bool = False
    sent: int = -1  # counter of the report whose answer last carried its run; -1: not by us
    state: str = ""  # as last reported; "" before that
    since: float | None = None  # when it was first seen running
    placed_at: float = 0.0
    restored: bool = False  # an earlier leader may have told it to its machine
    stopping: bool = False
    grace_s: float = 0.0
    overrun: int = 0

    @property
    def key(self) -> tuple[str, int, int]:
        return (self.job, self.task, self.number)

    @property
    def told(self) -> bool:
        """Whether its run may have reached the machine: only then can it ever have started."""
        return self.restored or self.sent >= 0


class Job(msgspec.Struct, eq=False):
    spec: Spec
    arrived: float  # time of day of the acceptance
    rev: int  # revision of the accepted record
    cancelled: float | None = None  # time of day of the cancellation
    floor: int = 0  # no attempt number up to this may ever be used again
    done: set[int] = set()
    bits: dict[int, int] = {}  # the same as a bit map per chunk
    done_committed: int = 0  # of `done`, how many are on record; users are told of no others
    attempts: int = 0  # on machines, until proven gone
    free: list[int] = []  # tasks that may be placed, last first
    placed: dict[int, Placement] = {}
    seen_at: float = 0.0
    run_sum: float = 0.0  # s, over the completed tasks that were never interrupted
    run_count: int = 0
    errors: int = 0
    not_before: float = 0.0
    bad_machines: set[str] = set()
    guess_s: float = 0.0
    guess_of: int = -1  # version of the histories that the guess was taken from
    told_guess_s: float = 0.0  # the guess that the trace has
    preempted: int = 0
    finishing: bool = False
    awaits_row: bool = False  # a peer told of its cancellation before the store did
    counted: bool = False  # its run time is in the histories
    repeat: bool = True  # its class allows that an attempt is made again, or stopped for others
    held: set[int] = set()  # tasks that wait for an operator's word, as they may have run
    given_up: set[int] = set()  # tasks that an operator said will never run again
    # Jobs of another interface: what it keeps with the job, its tasks' own word on how they ended,
    # and why the system ended the job, if it did.
    rider: Any = None
    outcome: dict[str, Any] = {}
    failed: str = ""

    @property
    def id(self) -> str:
        return self.spec.id

    @property
    def over(self) -> bool:
        """Nothing is left to run and nothing is left on a machine."""
        if self.placed:
            return False
        return self.cancelled is not None or self.complete

    @property
    def complete(self) -> bool:
        return len(self.done) == self.spec.tasks

    @property
    def begun(self) -> bool:
        """Whether any task of it was ever on a machine; known to every leader."""
        return bool(self.done or self.placed or self.floor)

    def refill(self) -> None:
        """Recompute the free tasks from what is done and placed."""
        self.free = [t for t in range(self.spec.tasks - 1, -1, -1) if self.may_free(t)]

    def may_free(self, task: int) -> bool:
        """Whether a task whose attempt is proven gone may be placed again."""
        return not (
            task in self.done or task in self.placed or task in self.held or task in self.given_up
        )

    def may_have_run_unseen(self, p: Placement) -> bool:
        """Whether an attempt that may not be repeated may have run, though nothing shows it.

        An earlier leader may have told it, and the machine may have begun again under its old
        session: told once more by the next leader, it ran twice.
        """
        return p.restored and not p.state and not self.repeat

    def next_number(self) -> int:
        return self.floor + 1

    def place(self, machine: Machine, now: float) -> Placement:
        task = self.free.pop()
        p = Placement(self.id, task, self.next_number(), machine.id, machine.tenure, placed_at=now)
        self.placed[task] = p
        self.attempts += 1
        machine.placements[p.key] = p
        machine.take(self.spec)
        return p

    def mark_done(self, task: int) -> None:
        self.done.add(task)
        index, offset = divmod(task, c.CHUNK_TASKS)
        self.bits[index] = self.bits.get(index, 0) | 1 << offset

    def chunk(self, index: int) -> str:
        """Completed tasks of one chunk as a bit map in hexadecimal."""
        return f"{self.bits.get(index, 0):x}"

    def load_chunk(self, index: int, text: str) -> None:
        self.bits[index] = bits = int(text, 16)
        low = index * c.CHUNK_TASKS
        self.done.update(low + i for i in range(bits.bit_length()) if bits >> i & 1)


class Machine(msgspec.Struct, eq=False):
    id: str
    address: str
    flavor: Flavor
    zone: str
    spot: bool
    tenure: int = 0
    counter: int = -1
    epoch: int = 0
    owner: str = ""
    placements: dict[tuple[str, int, int], Placement] = {}
    clearing: set[tuple[str, int, int]] = set()  # ends not committed yet
    cpus: float = 0.0
    accelerators: float = 0.0
    ram_gb: float = 0.0
    up: bool = False
    heard: float = 0.0  # when a report last came
    vouched: float = 0.0  # when a node that cannot be asked last told that it hears it
    back_at: float = -1e9  # when it was first heard after a silence
    answered: float = 0.0
    born: float = 0.0
    idle_since: float | None = None
    ends_at: float | None = None  # end announced by a spot notice
    returning: bool = False
    silent: bool = False  # it goes back for its silence alone, and stays if it is heard again
    draining: bool = False  # its tasks move elsewhere, then it goes back
    drained: bool = False  # by an operator's word, which outlives the leader
    suspect: bool = False
    hearing: Hearing = msgspec.field(default_factory=Hearing)
    failed_jobs: dict[str, int] = {}  # failures by job since a task last completed here
    failed_at: float = -1e9  # when a task last failed here
    images: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)
    speed: float = 1.0
    speed_n: int = 0

    def __post_init__(self) -> None:
        self.cpus = self.flavor.cpus
        self.accelerators = self.flavor.accelerators
        self.ram_gb = self.flavor.ram_gb

    def fits(self, spec: Spec) -> bool:
        eps = 1e-6
        return (
            self.cpus + eps >= spec.cpus
            and self.ram_gb + eps >= spec.ram_gb
            and self.accelerators + eps >= spec.accelerators
        )

    def take(self, spec: Spec) -> None:
        self.cpus -= spec.cpus
        self.accelerators -= spec.accelerators
        self.ram_gb -= spec.ram_gb
        if spec.image_gb <= self.flavor.cache_gb:
            self.images[spec.image] = spec.image_gb
            self.images.move_to_end(spec.image)
            while sum(self.images.values()) > self.flavor.cache_gb and len(self.images) > 1:
                self.images.popitem(last=False)

    def give(self, spec: Spec) -> None:
        self.cpus += spec.cpus
        self.accelerators += spec.accelerators
        self.ram_gb += spec.ram_gb

    def allowed(self, spec: Spec) -> bool:
        return (
            (spec.types is None or self.flavor.name in spec.types)
            and (spec.zone is None or spec.zone == self.zone)
            and (spec.spot or not self.spot)
        )

    @property
    def newest(self) -> tuple[int, int]:
        """Session and number of the newest report heard: no other report is evidence."""
        return (self.tenure, self.counter)

    def record(self) -> list[Any]:
        """What the store keeps: who may act on it and what may be running there."""
        jobs: dict[str, dict[int, list[int]]] = {}
        for p in self.placements.values():
            jobs.setdefault(p.job, {}).setdefault(p.number, []).append(p.task)
        tenure = min((p.tenure for p in self.placements.values()), default=self.tenure)
        tasks = {
            job: [[number, ranges(tasks)] for number, tasks in numbers.items()]
            for job, numbers in jobs.items()
        }
        row = [self.owner, self.address, self.flavor.name, self.zone, self.spot, tenure, tasks]
        return [*row, True] if self.drained else row


def ranges(tasks: Any) -> list[int]:
    """Task numbers as a flat list of starts and lengths."""
    flat: list[int] = []
    for task in sorted(tasks):
        if flat and flat[-2] + flat[-1] == task:
            flat[-1] += 1
        else:
            flat += (task, 1)
    return flat


def unranges(flat: list[int]) -> list[int]:
    return [
        task
        for start, length in zip(flat[::2], flat[1::2], strict=True)
        for task in range(start, start + length)
    ]
