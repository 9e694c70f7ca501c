"""Traces: round trips, crashes at any step of writing, gaps, merging and recording."""

import asyncio
import json
import os
from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp import web
from hypothesis import given, settings
from hypothesis import strategies as st

from coveflow import wire
from coveflow.daemon.tracing import Tracer
from coveflow.lab.serve import listen
from coveflow.trace import files
from coveflow.trace.files import Event, TraceError, Writer, merge, read, verify
from coveflow.trace.record import Recorder
from coveflow.wire import remote

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**40), 2**40) | st.text(max_size=8)
    | st.floats(allow_nan=False),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)  # fmt: skip
FIELDS = st.fixed_dictionaries(
    {},
    optional={
        "job": st.text(max_size=6), "task": st.integers(0, 99_999), "machine": st.text(max_size=6),
        "number": st.integers(1, 99), "why": VALUES, "spec": VALUES,
    },
)  # fmt: skip


def events(count, epoch=1, start=1, **fields):
    return [Event(epoch, n, 100.0 + n, "placed", dict(fields)) for n in range(start, start + count)]


@settings(derandomize=True, deadline=None, max_examples=50)
@given(st.lists(st.tuples(st.text("abc", min_size=1, max_size=4), FIELDS), max_size=12))
def test_events_round_trip(rows):
    written = [Event(3, i, 0.5 * i, kind, fields) for i, (kind, fields) in enumerate(rows, 1)]
    assert list(files.events_of(files.table_of(written), "here")) == written


class Killed(BaseException):
    """Stands for the end of the process."""


@pytest.mark.parametrize("complete", [True, False])
def test_kill_at_any_step_causes_no_duplicate_and_no_unrecorded_loss(
    tmp_path, monkeypatch, complete
):
    """The writer is killed at each disk operation, and temporary files may be cut short."""
    real = {name: getattr(os, name) for name in ("replace", "fsync", "open")}
    batches = [events(5), events(4, start=6), events(3, epoch=2), events(6, epoch=2, start=4)]
    step = 0
    while True:
        folder, count, open_locks = tmp_path / f"{step}", SimpleNamespace(left=step), []

        def call(name, *args, folder=folder, count=count, open_locks=open_locks, **kwargs):
            if count.left == 0:
                for path in folder.glob(".*.tmp") if not complete else []:
                    path.write_bytes(path.read_bytes()[: path.stat().st_size // 2])
                count.left = -1
                raise Killed
            count.left -= 1
            handle = real[name](*args, **kwargs)
            if name == "open" and str(args[0]).endswith(".lock"):
                open_locks.append(handle)
            return handle

        def resume(folder=folder):
            writer = Writer(folder)
            for batch in batches:
                # As the recorder, which requests the events after the newest one on disk.
                writer.append([e for e in batch if e.number > writer.last(e.epoch)])
            writer.close()

        for name in real:
            monkeypatch.setattr(os, name, lambda *a, name=name, call=call, **k: call(name, *a, **k))
        killed = False
        try:
            resume()
        except Killed:
            killed = True
        for name, function in real.items():
            monkeypatch.setattr(os, name, function)
        for handle in open_locks if killed else []:
            os.close(handle)  # as the kernel does when a process ends
        resume()
        assert list(read(folder)) == [e for batch in batches for e in batch]
        assert verify(folder).wrong == []
        if not killed:
            break
        step += 1
    assert step > 30  # the number of disk operations at which it was killed


def write_trace(folder):
    writer = Writer(folder)
    writer.append(events(5, job="j-1"))
    writer.append(events(5, start=6, job="j-1"))
    writer.close()


def test_a_second_recorder_is_refused(tmp_path):
    first = Writer(tmp_path)
    with pytest.raises(TraceError, match="another recorder"):
        Writer(tmp_path)
    first.close()


@pytest.mark.parametrize("keep", [0, 10, 0.5, 0.99])
def test_truncated_segment_is_named(tmp_path, keep):
    write_trace(tmp_path)
    path = tmp_path / "seg-000002.parquet"
    data = path.read_bytes()
    path.write_bytes(data[: int(len(data) * keep) if keep < 1 else keep])
    with pytest.raises(TraceError, match=r"seg-000002\.parquet"):
        list(read(tmp_path))
    found = verify(tmp_path)
    assert any("seg-000002" in text for text in found.wrong) and found.rows == 5


def test_missing_segment_newer_version_and_missing_trace_are_named(tmp_path):
    write_trace(tmp_path / "a")
    (tmp_path / "a" / "seg-000001.parquet").unlink()
    with pytest.raises(TraceError, match="not there"):
        list(read(tmp_path / "a"))
    write_trace(tmp_path / "b")
    manifest = json.loads((tmp_path / "b" / "manifest.json").read_text())
    (tmp_path / "b" / "manifest.json").write_text(json.dumps(manifest | {"version": 99}))
    for use in (read, verify, lambda folder: Writer(folder)):
        with pytest.raises(TraceError, match="99 is newer"):
            list(use(tmp_path / "b"))
    with pytest.raises(TraceError, match="no trace there"):
        list(read(tmp_path / "nowhere"))


def test_missing_numbers_need_a_gap_row(tmp_path):
    writer = Writer(tmp_path)
    writer.append(events(3) + events(3, start=6))
    writer.close()
    assert verify(tmp_path).wrong == ["events 1/4 to 5 are missing without a gap row"]
    writer = Writer(tmp_path)
    writer.append([Event(0, 1, 1.0, "gap", {"of": 1, "first": 4, "last": 5, "why": "x"})])
    writer.close()
    assert verify(tmp_path).wrong == []


def test_two_recorders_fill_each_others_gaps(tmp_path):
    for name, numbers in (("a", [1, 2, 5]), ("b", [1, 3, 4, 5, 6])):
        writer = Writer(tmp_path / name)
        writer.append([Event(1, n, float(n), "x", {}) for n in numbers])
        ranges = [(2, 2)] if name == "b" else [(3, 4)]
        writer.append([
            Event(0, i, 9.0, "gap", {"of": 1, "first": a, "last": b, "why": ""})
            for i, (a, b) in enumerate(ranges, 1)
        ])  # fmt: skip
        writer.close()
    merge([tmp_path / "a", tmp_path / "b"], tmp_path / "c")
    assert [(e.epoch, e.number) for e in read(tmp_path / "c")] == [(1, n) for n in range(1, 7)]
    assert verify(tmp_path / "c").wrong == []


class FakeCluster:
    """Two controllers with real tracers, and a state service that has some jobs."""

    def __init__(self) -> None:
        self.now, self.tracers, self.view = 0.0, {}, 0
        self.state = {"in/job/j-5": {"spec": {"id": "j-5"}, "at": 5.0}}
        self.state["old/j-4"] = {"status": "done", "done": 3}
        self.down = set()

    def lead(self, node, epoch, size=1000, boot="x"):
        if node not in self.tracers:
            self.tracers[node] = Tracer(size, lambda: self.now, lambda: 50.0 + self.now, boot)
        self.tracers[node].begin(epoch)
        self.view = max(self.view, epoch)

    def emit(self, node, epoch, count):
        for _ in range(count):
            self.now += 0.01
            self.tracers[node].emit(epoch, "placed", {"job": "j-1", "task": 1})

    def handler(self, node):
        async def handle(request):
            if node in self.down:
                return web.Response(status=500)
            if request.path == wire.STORE_PATH:
                prefix = request.query["starts"]
                rows = [(k, v, 1) for k, v in sorted(self.state.items()) if k.startswith(prefix)]
                return web.Response(body=remote.rows_body(rows, False, 1))
            ask = wire.unpack(await request.read())
            tracer = self.tracers.get(node) or Tracer(1, float, float, "none")
            answer = tracer.read(ask["epoch"], ask["after"], ask["most"])
            return web.Response(
                body=wire.pack(answer | {"leader": "", "leading": 0, "view": self.view})
            )

        return handle

    async def record(self, folder, for_s):
        ports, runners = [], []
        for node in ("a", "b", "state"):
            port, runner = await listen(self.handler(node), 0)
            ports.append(f"127.0.0.1:{port}")
            runners.append(runner)
        known = SimpleNamespace(
            cluster_listen=ports[0], members=[SimpleNamespace(address=ports[1])],
            services=SimpleNamespace(state=ports[2]),
        )  # fmt: skip
        try:
            async with aiohttp.ClientSession() as session:
                recorder = Recorder(known, folder, session)
                await recorder.run(for_s)
        finally:
            for runner in runners:
                await runner.cleanup()


@pytest.fixture
def short_intervals(monkeypatch):
    short = {
        "POLL_INTERVAL_S": 0.02,
        "FLUSH_INTERVAL_S": 0.05,
        "EPOCH_LOST_S": 0.2,
        "FILL_INTERVAL_S": 0.02,
    }
    for name, value in short.items():
        monkeypatch.setattr(f"coveflow.trace.record.{name}", value)


def test_recorder_follows_take_overs_and_records_lost_events_as_gaps(tmp_path, short_intervals):
    cluster = FakeCluster()
    cluster.lead("a", 1)
    cluster.emit("a", 1, 30)
    cluster.tracers["a"].end(1, "deposed")
    cluster.lead("b", 2)
    cluster.emit("b", 2, 20)
    asyncio.run(cluster.record(tmp_path, 0.4))
    found = verify(tmp_path)
    assert (found.epochs, found.gaps, found.wrong) == ({1: 31, 2: 20}, [], [])
    # While the recorder is down, a leader's process ends, a whole epoch passes, a buffer overflows.
    del cluster.tracers["b"]
    cluster.lead("a", 4, size=1000)
    cluster.tracers["a"].epochs[4] = type(cluster.tracers["a"].epochs[4])(maxlen=10)
    cluster.emit("a", 4, 25)
    asyncio.run(cluster.record(tmp_path, 0.8))
    found = verify(tmp_path)
    assert found.wrong == [] and found.epochs[4] == 25
    recorded = {(gap["of"], gap["first"], gap["last"]) for gap in found.gaps}
    assert recorded == {(4, 1, 15), (2, 21, None), (3, 1, None)}
    filled = [e.fields for e in read(tmp_path) if e.kind == "fill"]
    assert {f["job"]: f.get("status") for f in filled} == {"j-5": None, "j-4": "done"}
    # A gap is recorded only once.
    asyncio.run(cluster.record(tmp_path, 0.5))
    assert len(verify(tmp_path).gaps) == 3


def test_controller_without_trace_is_an_error_that_names_the_setting(tmp_path, short_intervals):
    cluster = FakeCluster()

    def handler(node):
        async def handle(request):
            return web.Response(status=404, body=wire.error_answer("set (trace EVENTS)"))

        return handle

    cluster.handler = handler
    with pytest.raises(TraceError, match=r"\(trace EVENTS\)"):
        asyncio.run(cluster.record(tmp_path, 2.0))
