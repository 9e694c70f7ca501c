"""Commands processed by the owner's queue, and the structures that they and transactions carry."""

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


class AcceptedJob(msgspec.Struct, eq=False):
    spec: Spec
    at: float
    rev: int
    cancelled: float | None
    # Data of another interface, copied to the final record; no scheduling decision reads it.
    rider: Any = None
    # For a job with a rider: outcomes reported by its tasks, committed before the task ends.
    outcome: dict[str, Any] = {}
    awaits_row: bool = False  # cancelled as reported by a peer; its row has yet to arrive


def decode_accepted_job(spec: Spec, value: dict[str, Any], rev: int) -> AcceptedJob:
    """Decode the record of an accepted job.

    Raises ValueError, or another error of `inbox.DECODE_ERRORS`, for an invalid record: one with a
    string as a time, or 10**12 tasks, would make every planning pass fail.
    """
    at = msgspec.convert(value["at"], float)
    cancelled = msgspec.convert(value.get("cancel"), float | None)
    if not math.isfinite(at) or not math.isfinite(cancelled or 0.0):
        raise ValueError("a time is not a finite number")
    outcome = msgspec.convert(value.get("outcome") or {}, dict[str, Any])
    return AcceptedJob(_checked(spec), at, rev, cancelled, value.get("rider"), outcome)


def _checked(spec: Spec) -> Spec:
    """Return the specification if every value that planning uses is in range."""
    numbers = (
        spec.cpus, spec.accelerators, spec.ram_gb, spec.image_gb, spec.expected_s,
        spec.checkpoint_s, spec.save_s, spec.deadline_s or 0.0,
    )  # fmt: skip
    if not all(number >= 0.0 for number in numbers):  # also rejects NaN
        raise ValueError("a resource or duration is negative or NaN")
    if spec.kind not in KINDS or not 1 <= spec.tasks <= c.MAX_TASKS:
        raise ValueError("unknown kind of job or number of tasks out of range")
    return spec


class AttemptEnd(msgspec.Struct, eq=False):
    """The proven end of an attempt, waiting for its commit."""

    placement: Placement
    done: bool
    at: float


class PendingAnswer(msgspec.Struct, eq=False):
    """A report whose answer is deferred until a commit or until there is new work."""

    report: Report
    reply: asyncio.Future[bytes | None]
    deadline: float
    for_commit: bool
    received_at: float = 0.0
    duplicates: list[asyncio.Future[bytes | None]] = []  # replies to copies of the same report

    def is_awaited(self) -> bool:
        """Whether any sender still waits for the answer."""
        return not all(reply.done() for reply in (self.reply, *self.duplicates))

    def resolve(self, answer: bytes | None) -> None:
        """Answer the report and its copies; None: this node gives no answer."""
        for reply in (self.reply, *self.duplicates):
            if not reply.done():
                reply.set_result(answer)


# --- commands --------------------------------------------------------------------------


class ReportReceived(msgspec.Struct, eq=False):
    report: Report
    reply: asyncio.Future[bytes | None]
    may_wait: bool = True  # the answer may wait for new work
    expects_answer: bool = True  # False: the machine was already redirected to another node


class DirectRequest(msgspec.Struct, eq=False):
    """A request to a machine's own address: to stop tasks, or only to list its tasks."""

    machine: str
    address: str
    epoch: int
    tenure: int  # the machine ignores the stops in another session
    stops: list[Order]


class DirectAnswer(msgspec.Struct, eq=False):
    request: DirectRequest
    report: Report | None  # created by the machine after the request; None: no answer


class InboxRows(msgspec.Struct, eq=False):
    rows: list[tuple[str, Any, int]]
    listed: int | None = None  # revision of a full listing; None: incremental changes
    applied: asyncio.Future[None] | None = None


class StartLeading(msgspec.Struct, eq=False):
    epoch: int
    rev: int
    rows: list[tuple[str, Any, int]]


class Tick(msgspec.Struct, eq=False):
    pass


class CommitResult(msgspec.Struct, eq=False):
    txn: Txn
    rev: int | None
    conflict: list[str] | None = None
    refused: bool = False  # for its size; nothing was written


class CloudList(msgspec.Struct, eq=False):
    rows: list[ListedMachine]


class MachinesRented(msgspec.Struct, eq=False):
    want: fleet.RentalRequest
    machines: list[str]


class RentRefused(msgspec.Struct, eq=False):
    want: fleet.RentalRequest


class MachinesReturned(msgspec.Struct, eq=False):
    machines: list[str]


class LeasesRenewedByPeer(msgspec.Struct, eq=False):
    """Machines whose leases are renewed by a node that this one can't reach."""

    machines: list[str]


class PeerCancellations(msgspec.Struct, eq=False):
    """Cancellations that another member confirmed to users; `jobs` None: not included."""

    name: str
    process: str
    jobs: dict[str, float] | None
    sent: float  # when the request that it answers was sent


class CancellationConfirmed(msgspec.Struct, eq=False):
    """This node confirms to a user that the job is cancelled."""

    job: str


class Prices(msgspec.Struct, eq=False):
    flavors: list[Flavor]


class HeldTasksDecision(msgspec.Struct, eq=False):
    """An operator's decision on held tasks: run them again, or give them up permanently."""

    job: str
    tasks: list[int] | None  # None: all held tasks of the job
    again: bool
    reply: asyncio.Future[dict[str, Any] | None]  # None: unknown, retry


class DrainRequest(msgspec.Struct, eq=False):
    """An operator's request: drain and return the machine, or let it take work again."""

    machine: str
    on: bool
    reply: asyncio.Future[dict[str, Any] | None]


Command = (
    ReportReceived
    | DirectAnswer
    | InboxRows
    | StartLeading
    | Tick
    | CommitResult
    | CloudList
    | MachinesRented
    | RentRefused
    | MachinesReturned
    | LeasesRenewedByPeer
    | PeerCancellations
    | CancellationConfirmed
    | Prices
    | HeldTasksDecision
    | DrainRequest
)


class Txn(msgspec.Struct, eq=False):
    guards: dict[str, int]
    writes: dict[str, Any]
    draft: Draft | None = None
    jobs: list[tuple[Job, set[int]]] = []
    done: list[tuple[Job, int]] = []  # number of done tasks that this transaction records
    finished: list[Job] = []
    machines: list[Machine] = []
    removed: list[Machine] = []
    placed: list[Placement] = []
    ends: list[tuple[Machine, AttemptEnd]] = []
    held: list[Job] = []
    releases: list[tuple[Job, list[int], HeldTasksDecision]] = []
    drains: list[DrainRequest] = []
    history: bool = False

    def leader_only_key(self) -> str | None:
        """A written key that only the leader of this transaction's view writes, if any."""
        return next((key for key in self.writes if key.startswith(LEADER_STATE)), None)
