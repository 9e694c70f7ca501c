"""What goes through the owner's queue; the names of what the state service keeps beside it."""

from __future__ import annotations

import asyncio
import math
from typing import Any

import msgspec

from coveflow import constants as c
from coveflow.core import fleet
from coveflow.core.model import (
    KINDS,
    Flavor,
    Job,
    ListedMachine,
    Machine,
    Order,
    Placement,
    Report,
    Spec,
)
from coveflow.state.keys import LEADER_STATE
from coveflow.state.records import Draft


class Accepted(msgspec.Struct, eq=False):
    spec: Spec
    at: float
    rev: int
    cancelled: float | None
    # What another interface keeps with the job: carried to its final record, read by no decision.
    rider: Any = None
    # Of a job with a rider: what its tasks' own word was, by task; committed before the task ends.
    outcome: dict[str, Any] = {}
    told: bool = False  # cancelled by a peer's word; the row that says so has yet to come


def accepted_of(spec: Spec, value: dict[str, Any], rev: int) -> Accepted:
    """The record of an accepted job as this node keeps it.

    Raises ValueError, or another error of `inbox.UNREADABLE`, where it is none: one with a text for
    a time, or a million million tasks, would end each planning pass.
    """
    at = msgspec.convert(value["at"], float)
    cancelled = msgspec.convert(value.get("cancel"), float | None)
    if not math.isfinite(at) or not math.isfinite(cancelled or 0.0):
        raise ValueError("a time is no number")
    outcome = msgspec.convert(value.get("outcome") or {}, dict[str, Any])
    return Accepted(_checked(spec), at, rev, cancelled, value.get("rider"), outcome)


def _checked(spec: Spec) -> Spec:
    """The job, if all that plans go by is in range."""
    numbers = (
        spec.cpus, spec.accelerators, spec.ram_gb, spec.image_gb, spec.expected_s,
        spec.checkpoint_s, spec.save_s, spec.deadline_s or 0.0,
    )  # fmt: skip
    if not all(number >= 0.0 for number in numbers):  # NaN neither
        raise ValueError("a number is out of range")
    if spec.kind not in KINDS or not 1 <= spec.tasks <= c.MAX_TASKS:
        raise ValueError("shape or number of tasks")
    return spec


class End(msgspec.Struct, eq=False):
    """The proven end of an attempt whose commit is pending."""

    placement: Placement
    done: bool
    at: float


class Held(msgspec.Struct, eq=False):
    """A report whose answer waits for a commit, or for new work."""

    report: Report
    reply: asyncio.Future[bytes | None]
    until: float
    for_commit: bool
    since: float = 0.0
    again: list[asyncio.Future[bytes | None]] = []  # the same report, sent once more

    def waits(self) -> bool:
        """Whether anybody still waits for the answer."""
        return not all(reply.done() for reply in (self.reply, *self.again))

    def give(self, answer: bytes | None) -> None:
        """Answer it, wherever it came from; None: not by this node."""
        for reply in (self.reply, *self.again):
            if not reply.done():
                reply.set_result(answer)


# --- commands --------------------------------------------------------------------------


class Heard(msgspec.Struct, eq=False):
    report: Report
    reply: asyncio.Future[bytes | None]
    patient: bool = True  # the answer may wait for new work
    asked: bool = True  # no: its machine was sent to another node, which is answer enough


class DirectRequest(msgspec.Struct, eq=False):
    """What a machine is asked at its own address: to stop tasks, or only to tell what it has."""

    machine: str
    address: str
    epoch: int
    tenure: int  # the machine carries out nothing in another session
    stops: list[Order]


class DirectAnswer(msgspec.Struct, eq=False):
    request: DirectRequest
    report: Report | None  # as the machine made it after the request; None: no answer


class InboxRows(msgspec.Struct, eq=False):
    rows: list[tuple[str, Any, int]]
    listed: int | None = None  # revision of a full listing; None: these are changes
    applied: asyncio.Future[None] | None = None


class Lead(msgspec.Struct, eq=False):
    epoch: int
    rev: int
    rows: list[tuple[str, Any, int]]


class Tick(msgspec.Struct, eq=False):
    pass


class Settled(msgspec.Struct, eq=False):
    txn: Txn
    rev: int | None
    conflict: list[str] | None = None


class CloudList(msgspec.Struct, eq=False):
    rows: list[ListedMachine]


class Rented(msgspec.Struct, eq=False):
    want: fleet.RentalRequest
    machines: list[str]


class Refused(msgspec.Struct, eq=False):
    want: fleet.RentalRequest


class Returned(msgspec.Struct, eq=False):
    machines: list[str]


class Vouched(msgspec.Struct, eq=False):
    """Machines that a node out of this one's reach keeps alive."""

    machines: list[str]


class PeerWord(msgspec.Struct, eq=False):
    """What another member told of the cancellations it confirmed; None: nothing of them."""

    name: str
    process: str
    jobs: dict[str, float] | None
    sent: float  # when that was sent which it answers


class Confirmed(msgspec.Struct, eq=False):
    """A user is told here that the job is cancelled."""

    job: str


class Prices(msgspec.Struct, eq=False):
    flavors: list[Flavor]


class Release(msgspec.Struct, eq=False):
    """An operator's word on held tasks: run them again, or give them up for good."""

    job: str
    tasks: list[int] | None  # None: all that the job holds
    again: bool
    reply: asyncio.Future[dict[str, Any] | None]  # None: not known, ask again


class Drain(msgspec.Struct, eq=False):
    """An operator's word: the machine takes no more work and goes back, or takes work again."""

    machine: str
    on: bool
    reply: asyncio.Future[dict[str, Any] | None]


Command = (
    Heard
    | DirectAnswer
    | InboxRows
    | Lead
    | Tick
    | Settled
    | CloudList
    | Rented
    | Refused
    | Returned
    | Vouched
    | PeerWord
    | Confirmed
    | Prices
    | Release
    | Drain
)


class Txn(msgspec.Struct, eq=False):
    guards: dict[str, int]
    writes: dict[str, Any]
    draft: Draft | None = None
    jobs: list[tuple[Job, set[int]]] = []
    done: list[tuple[Job, int]] = []  # tasks done, as the rows of each of `jobs` have them
    finished: list[Job] = []
    machines: list[Machine] = []
    removed: list[Machine] = []
    placed: list[Placement] = []
    ends: list[tuple[Machine, End]] = []
    held: list[Job] = []
    releases: list[tuple[Job, list[int], Release]] = []
    drains: list[Drain] = []
    history: bool = False

    def proof(self) -> str | None:
        """A key that only the leader of this transaction's view writes, if it writes one."""
        return next((key for key in self.writes if key.startswith(LEADER_STATE)), None)
