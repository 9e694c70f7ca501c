"""Environment shared by the owner's components: settings, clocks, meters and outgoing effects."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from coveflow import wire
from coveflow.core.model import Order
from coveflow.core.planner import Plan
from coveflow.daemon.tracing import Tracer
from coveflow.net.meters import Meters
from coveflow.settings import Settings, Tuning
from coveflow.state.write_limits import WriteLimits


class NodeContext(msgspec.Struct, eq=False):
    """Passed to every component; the node sets the callbacks after it has built its servers."""

    settings: Settings
    tuning: Tuning
    clock: Callable[[], float]  # s, monotonic
    wall: Callable[[], float]  # s, time of day
    meters: Meters
    write_limits: WriteLimits
    effects: Callable[[str, Any], None] = lambda kind, data: None
    # (machine, within_s, newest): whether another node received a report of the machine that is
    # newer than `newest` within the last `within_s` seconds.
    peer_has_newer_report: Callable[[str, float, tuple[int, int]], bool] = (
        lambda name, within, newest: False
    )
    all_peers_answer: Callable[[], bool] = lambda: True  # whether every other node answers
    peer_answers: Callable[[str], bool] = lambda name: True  # whether that node answers
    # For another interface: maps (a unique number, final records by job) to additional rows of the
    # same transaction; None: there is no such interface.
    final_record_rows: Callable[[str, dict[str, Any]], dict[str, Any]] | None = None
    trace: Tracer | None = None  # receives decisions and evidence, if tracing is enabled
    # Replaced under virtual time: the encoding of answers, and the duration of a planning pass,
    # which determines when the next one runs.
    encode_answer: Callable[[int, list[Order]], Any] = wire.orders_answer
    pass_duration_s: Callable[[Plan, float], float] = lambda plan, measured_s: measured_s
    # Likewise the duration of a batch of commands with that many reports.
    batch_duration_s: Callable[[int, float], float] = lambda reports, measured_s: measured_s
