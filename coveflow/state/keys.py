"""Keys used in the state service, and the view record that names the leader."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec

INBOX = "in/"
VIEW = "in/view"
TYPES = "in/types"
MEMBER = "in/member/"
JOB = "in/job/"
MAIL = "in/mail/"  # worker reports, by a member that cannot reach the leader directly
REPLY = "in/reply/"  # the leader's answers to them
FINAL_RECORD = "old/"
LEADER_STATE = "st/"
SLOT = "st/slot/"
HISTORY = "st/history"
# Prefixes of the items within the slots.
ATTEMPT_FLOOR = "j/"  # attempt numbers that a job has used
CHUNK = "d/"  # a job's completed tasks, by chunk
HELD = "h/"  # a job's tasks that await an operator's decision or have been abandoned
MACHINE = "m/"  # a machine and the attempts that may be running on it
PAGE = "p/"  # further attempts on a machine, by page number


def page_item(machine: str, page: int) -> str:
    """The item of a machine's attempts on a page; page 0 is in the machine's own item."""
    return f"{PAGE}{machine}/{page}" if page else MACHINE + machine


def machine_page(item: str) -> tuple[str, int] | None:
    """The machine and page whose attempts the item holds; None for an item of a job.

    Raises ValueError if the page is no number.
    """
    if item.startswith(MACHINE):
        return item[len(MACHINE) :], 0
    if not item.startswith(PAGE):
        return None
    machine, page = item[len(PAGE) :].rsplit("/", 1)
    return machine, int(page)


class View(msgspec.Struct, eq=False):
    """Names the leader, which alone may command workers; `epoch` is their fencing token."""

    epoch: Annotated[int, msgspec.Meta(ge=0)] = 0
    leader: str = ""
    members: list[str] = []
    rev: int = 0
    passed: list[str] = []  # consecutive nodes that handed over, the last of them to `leader`
    boot: str = ""  # process id of the leader; "": named by a hand-over, yet to take over
    at: float = 0.0  # when this view was written, by the writer's wall clock
    returns: int = 0  # consecutive restarts after which the leader resumed leadership


def encode_view(view: View) -> dict[str, Any]:
    """Encode a view as its record; empty optional fields are left out."""
    value = {"epoch": view.epoch, "leader": view.leader, "members": view.members}
    more = {"passed": view.passed, "boot": view.boot, "at": view.at, "returns": view.returns}
    return value | {key: it for key, it in more.items() if it}


def decode_view(value: dict[str, Any], rev: int) -> View:
    """Decode a view from its record; fields that an older node does not write stay empty."""
    return msgspec.convert(value | {"rev": rev}, View)
