"""Data model of jobs, attempts and machines. Pure: no clock and no I/O."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import msgspec

from coveflow import constants as c
from coveflow.core.answer_receipt import AnswerReceipt
from coveflow.core.task_failures import JobFailures, MachineFailures

KINDS = ("array", "gang", "service")


class Spec(msgspec.Struct, frozen=True, omit_defaults=True):
    """A job as submitted by a user."""

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
        """Clamp numeric fields to a range in which sums and quotients stay finite.

        A task of 1e-310 CPUs fits a machine infinitely often, which made every planning pass fail;
        so did a run time that overflowed in later arithmetic. Records written by older builds may
        contain such jobs, so the check is done here and not only on submission.
        """
        for name in ("cpus", "accelerators", "ram_gb", "image_gb"):
            self._bound(name, c.AMOUNT_MIN, c.AMOUNT_MAX)
        for name in ("expected_s", "checkpoint_s", "save_s", "deadline_s"):
            self._bound(name, c.DURATION_MIN_S, c.DURATION_MAX_S)

    def _bound(self, name: str, least: float, most: float) -> None:
        """Clamp one field; zero, negative, None and NaN values are left unchanged."""
        number = getattr(self, name)
        if number is not None and number > 0 and not least <= number <= most:
            msgspec.structs.force_setattr(self, name, min(max(number, least), most))


def max_tasks_per_zone(spec: Spec) -> int:
    """Return the most tasks of a job with `spread` that may run in one zone."""
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

    def invalid_field(self) -> str:
        """Return the name of the first field with an invalid value, or an empty string.

        The planner divides by speeds and amounts and compares prices, so one invalid machine type
        could make every planning pass fail.
        """
        numbers = {
            "cpus": (self.cpus, c.AMOUNT_MIN, c.AMOUNT_MAX),
            "accelerators": (self.accelerators or c.AMOUNT_MIN, c.AMOUNT_MIN, c.AMOUNT_MAX),
            "ram_gb": (self.ram_gb, 0.0, c.AMOUNT_MAX),
            "cache_gb": (self.cache_gb, 0.0, c.AMOUNT_MAX),
            "fetch_gb_per_s": (self.fetch_gb_per_s, c.AMOUNT_MIN, c.AMOUNT_MAX),
            "price": (self.price, 0.0, c.AMOUNT_MAX),
            "spot_price": (self.spot_price, 0.0, c.AMOUNT_MAX),
            "boot_s": (self.boot_s, 0.0, c.DURATION_MAX_S),
        }
        for name, (number, least, most) in numbers.items():
            if not least <= number <= most:  # also true for NaN
                return name
        names = {"name": [self.name], "zones": self.zones}
        for name, texts in names.items():
            if any(not 0 < len(text) <= c.NAME_MAX_CHARS for text in texts):
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


class ListedMachine(msgspec.Struct, frozen=True):
    """One machine in the list returned by the cloud API."""

    machine: str
    address: str
    type: str
    zone: str
    spot: bool
    state: str
    age_s: float


class Placement(msgspec.Struct, eq=False):
    """One attempt of one task on one machine.

    It exists until the attempt is proven to have ended or can no longer run.
    """

    job: str
    task: int
    number: int
    machine: str
    tenure: int
    committed: bool = False
    # Counter of the report whose reply last carried the run order; -1 if this leader sent none.
    sent_with_report: int = -1
    state: str = ""  # last reported state; empty before the first report
    running_since: float | None = None  # time at which it was first reported as running
    placed_at: float = 0.0
    restored: bool = False  # an earlier leader may have sent the run order to the machine
    stopping: bool = False
    grace_s: float = 0.0
    overrun: int = 0
    sent_again: bool = False  # this leader sent the run order in answers to several reports
    exit_seen_at: float | None = None  # first report of an exit that is not confirmed yet
    missing_since: float | None = None  # since when reports lack it after earlier ones showed it
    page: int = 0  # of the machine's records that holds it

    @property
    def key(self) -> tuple[str, int, int]:
        return (self.job, self.task, self.number)

    @property
    def run_may_have_been_sent(self) -> bool:
        """Whether the run order may have reached the machine; otherwise it cannot have started."""
        return self.restored or self.sent_with_report >= 0


class Job(msgspec.Struct, eq=False):
    spec: Spec
    accepted_at: float  # wall-clock time at which the job was accepted
    rev: int  # store revision of the accepted record
    cancelled: float | None = None  # wall-clock time of the cancellation
    last_attempt_number: int = (
        0  # highest attempt number ever used; none up to it may be used again
    )
    done: set[int] = set()
    done_bitmaps: dict[int, int] = {}  # `done` as one bitmap per chunk
    done_committed: int = 0  # completed tasks committed to the store; only these are shown to users
    attempts: int = 0  # attempts on machines that are not yet proven gone
    pending: list[int] = []  # pending tasks that may be placed, in descending order
    placed: dict[int, Placement] = {}
    seen_at: float = 0.0
    run_sum: float = 0.0  # s; total run time of the completed tasks that were never interrupted
    run_count: int = 0
    errors: int = 0
    not_before: float = 0.0
    failures: JobFailures = msgspec.field(default_factory=JobFailures)
    predicted_s: float = 0.0
    prediction_version: int = (
        -1
    )  # version of the run time histories that the estimate was taken from
    traced_prediction_s: float = 0.0  # estimate last written to the trace
    preempted: int = 0
    finishing: bool = False
    awaits_cancel_record: bool = (
        False  # a peer announced the cancellation; its store record is not read yet
    )
    run_time_observed: bool = False  # its run time has been added to the histories
    may_repeat: bool = True  # its class allows retries of an attempt and preemption
    held: set[int] = set()  # tasks that may have run and wait for an operator's decision
    given_up: set[int] = set()  # tasks that an operator decided never to run again
    # For jobs submitted through another API: the data that API keeps with the job, the results
    # that the tasks themselves reported, and why the system ended the job, if it did.
    rider: Any = None
    outcome: dict[str, Any] = {}
    failed: str = ""

    @property
    def id(self) -> str:
        return self.spec.id

    @property
    def is_finished(self) -> bool:
        """Whether no task is left to run and no attempt is left on a machine."""
        if self.placed:
            return False
        return self.cancelled is not None or self.is_complete

    @property
    def is_complete(self) -> bool:
        return len(self.done) == self.spec.tasks

    @property
    def has_started(self) -> bool:
        """Whether any task was ever placed on a machine; every new leader can derive this."""
        return bool(self.done or self.placed or self.last_attempt_number)

    def recompute_pending(self) -> None:
        """Recompute the pending tasks from the completed and placed ones."""
        self.pending = [t for t in range(self.spec.tasks - 1, -1, -1) if self.may_be_placed(t)]

    def may_be_placed(self, task: int) -> bool:
        """Whether a task may be placed again once its last attempt is proven gone."""
        return not (
            task in self.done or task in self.placed or task in self.held or task in self.given_up
        )

    def may_have_run_unreported(self, p: Placement) -> bool:
        """Whether an attempt that must not be retried may have run without being reported.

        An earlier leader may have sent the run order, and the machine may have restarted under its
        old session. If the next leader sent the order again, the task would run twice.
        """
        return p.restored and not p.state and not self.may_repeat

    def next_attempt_number(self) -> int:
        return self.last_attempt_number + 1

    def place(self, machine: Machine, now: float) -> Placement:
        task = self.pending.pop()
        p = Placement(
            self.id, task, self.next_attempt_number(), machine.id, machine.tenure, placed_at=now
        )
        self.placed[task] = p
        self.attempts += 1
        machine.placements[p.key] = p
        machine.allocate(self.spec)
        return p

    def mark_done(self, task: int) -> None:
        self.done.add(task)
        index, offset = divmod(task, c.CHUNK_TASKS)
        self.done_bitmaps[index] = self.done_bitmaps.get(index, 0) | 1 << offset

    def encode_chunk(self, index: int) -> str:
        """Return the completed tasks of one chunk as a hexadecimal bitmap."""
        return f"{self.done_bitmaps.get(index, 0):x}"

    def load_chunk(self, index: int, text: str) -> None:
        self.done_bitmaps[index] = bits = int(text, 16)
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
    uncommitted_ends: set[tuple[str, int, int]] = (
        set()
    )  # ended attempts whose end is not committed yet
    cpus: float = 0.0
    accelerators: float = 0.0
    ram_gb: float = 0.0
    up: bool = False
    last_report_at: float = 0.0  # time of the last report
    # Time at which a node that the leader cannot query last announced that it receives reports.
    last_vouched_at: float = 0.0
    resumed_at: float = -1e9  # time of the first report after a period of silence
    last_answered_at: float = 0.0
    known_since: float = 0.0
    idle_since: float | None = None
    ends_at: float | None = None  # end announced by a spot termination notice
    returning: bool = False
    returning_for_silence: bool = (
        False  # being returned only because it is silent; kept if it reports again
    )
    draining: bool = False  # its tasks are moved to other machines, then it is returned
    drained: bool = False  # drained by an operator; recorded, so it survives a leader change
    answer_receipt: AnswerReceipt = msgspec.field(default_factory=AnswerReceipt)
    failures: MachineFailures = msgspec.field(default_factory=MachineFailures)
    images: OrderedDict[str, float] = msgspec.field(default_factory=OrderedDict)
    slowdown: float = 1.0
    slowdown_samples: int = 0
    pages: int = 0  # further records of its attempts; see `machine_pages`

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

    def allocate(self, spec: Spec) -> None:
        self.cpus -= spec.cpus
        self.accelerators -= spec.accelerators
        self.ram_gb -= spec.ram_gb
        if spec.image_gb <= self.flavor.cache_gb:
            self.images[spec.image] = spec.image_gb
            self.images.move_to_end(spec.image)
            while sum(self.images.values()) > self.flavor.cache_gb and len(self.images) > 1:
                self.images.popitem(last=False)

    def release(self, spec: Spec) -> None:
        self.cpus += spec.cpus
        self.accelerators += spec.accelerators
        self.ram_gb += spec.ram_gb

    def allows(self, spec: Spec) -> bool:
        return (
            (spec.types is None or self.flavor.name in spec.types)
            and (spec.zone is None or spec.zone == self.zone)
            and (spec.spot or not self.spot)
        )

    @property
    def newest_report(self) -> tuple[int, int]:
        """Session and counter of the newest report; older reports prove nothing."""
        return (self.tenure, self.counter)

    def record(self, tasks: dict[str, list[list[Any]]]) -> list[Any]:
        """Return the stored record: the owning node and encoded attempts that may be running."""
        tenure = min((p.tenure for p in self.placements.values()), default=self.tenure)
        row = [self.owner, self.address, self.flavor.name, self.zone, self.spot, tenure, tasks]
        return [*row, True] if self.drained else row


def encode_ranges(tasks: Any) -> list[int]:
    """Run-length encode task numbers as a flat list of starts and lengths."""
    flat: list[int] = []
    for task in sorted(tasks):
        if flat and flat[-2] + flat[-1] == task:
            flat[-1] += 1
        else:
            flat += (task, 1)
    return flat


def decode_ranges(flat: list[int]) -> list[int]:
    """Decode a list produced by `encode_ranges`."""
    return [
        task
        for start, length in zip(flat[::2], flat[1::2], strict=True)
        for task in range(start, start + length)
    ]
