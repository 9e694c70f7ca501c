"""Validation of client requests: accepted, or refused with a message that names the field."""

import json

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coveflow.tes import mapping, models, openapi
from coveflow.tes.models import RequestError

ONE = {"executors": [{"image": "alpine", "command": ["/bin/true"]}]}


def task(**fields):
    return models.read_task(json.dumps(ONE | fields).encode())


def job(**resources):
    found = task(resources=resources)
    return mapping.map_to_job(found, "j-1", "blue", ["north", "south"], 1.0)


@pytest.mark.parametrize(
    ("fields", "named"),
    [
        ({"executors": []}, "executors"),
        ({"executors": [{"image": "", "command": ["x"]}]}, r"executors\[0\].image"),
        ({"executors": [{"image": "a", "command": []}]}, r"executors\[0\].command"),
        ({"executors": [{"image": "a", "command": ["x"], "env": {"A=B": "c"}}]}, "env"),
        ({"executors": [{"image": "a", "command": ["x"], "stdout": "out"}]}, "stdout"),
        ({"executors": [{"image": "a", "command": ["x"], "magic": 1}]}, "magic"),
        ({"inputs": [{"path": "/a"}]}, r"inputs\[0\] needs a url or content"),
        ({"inputs": [{"path": "/a/../b", "content": ""}]}, r"\.\."),
        ({"inputs": [{"path": "/", "content": ""}]}, "below /"),
        ({"inputs": [{"path": "/a", "content": ""}, {"path": "//a", "content": ""}]},
         r"inputs\[0\]"),
        ({"inputs": [{"path": "/a", "content": ""}, {"path": "/a/b", "content": ""}]}, "is a file"),
        ({"inputs": [{"path": "/a", "content": "", "type": "DIRECTORY"}]}, "DIRECTORY"),
        ({"outputs": [{"path": "/a/*.txt", "url": "file:///x"}]}, "path_prefix"),
        ({"outputs": [{"path": "/a/*", "url": "file:///x", "path_prefix": "/b"}]}, "path_prefix"),
        ({"outputs": [{"path": "/a/../../etc", "url": "file:///x"}]}, r"outputs\[0\].path"),
        ({"inputs": [{"path": "//a", "content": ""}, {"path": "//a/b", "content": ""}]}, "a file"),
        ({"volumes": ["relative"]}, r"volumes\[0\]"),
        ({"resources": {"cpu_cores": 0}}, "cpu_cores"),
        ({"resources": {"cpu_cores": 2**40}}, "cpu_cores"),
        ({"resources": {"ram_gb": -1}}, "ram_gb"),
        ({"tags": {"a": 1}}, "tags"),
        ({"tags": {"a": "b" * 3000}}, "tags"),
        ({"name": "é" * 400}, "name"),
        ({"state": "RUNNING"}, "state is for the server"),
        ({"id": "mine"}, "id is for the server"),
        ({"unheard": 1}, "unheard"),
    ],
)  # fmt: skip
def test_errors_name_the_invalid_field(fields, named):
    with pytest.raises(RequestError, match=named):
        task(**fields)


@pytest.mark.parametrize(
    ("resources", "named"),
    [
        ({"zones": ["moon"]}, "moon"),
        ({"backend_parameters": {"urgency": "now"}}, "urgency"),
        ({"backend_parameters": {"deadline_s": "-1"}}, "deadline_s"),
        ({"backend_parameters": {"deadline_s": "nan"}}, "deadline_s"),
        ({"backend_parameters": {"gang_size": "1.5"}}, "gang_size"),
        ({"backend_parameters": {"gang_size": "1e9"}}, "gang_size"),
        ({"backend_parameters": {"team": "red"}}, "team"),
        ({"backend_parameters": {"machine_types": "a,,b"}}, "machine_types"),
        ({"backend_parameters": {"x": "1"}, "backend_parameters_strict": True}, "'x'"),
    ],
)
def test_invalid_resources_are_refused(resources, named):
    with pytest.raises(RequestError, match=named):
        job(**resources)


def test_all_parameters_are_mapped_to_the_job():
    spec, notes = job(
        cpu_cores=2, ram_gb=3.5, disk_gb=9, preemptible=True, zones=["south"],
        backend_parameters={
            "class": "tiles", "urgency": "high", "deadline_s": "90", "expected_s": "12",
            "checkpoint_s": "5", "save_s": "1", "image_gb": "2.5", "machine_types": "a, b",
            "accelerators": "1", "gang_size": "4", "team": "blue", "unheard": "of",
        },
    )  # fmt: skip
    assert (spec.cpus, spec.ram_gb, spec.spot, spec.zone) == (2.0, 3.5, True, "south")
    assert (spec.workload, spec.priority, spec.deadline_s, spec.expected_s) == ("tiles", 2, 90, 12)
    assert (spec.checkpoint_s, spec.save_s, spec.image_gb) == (5, 1, 2.5)
    assert (spec.types, spec.accelerators, spec.kind, spec.tasks) == (["a", "b"], 1, "gang", 4)
    # Fields without effect are reported in the notes.
    assert ["unheard" in notes[0], "disk_gb" in notes[1], len(notes)] == [True, True, 2]


def test_equal_tasks_share_a_document_without_name_and_tags():
    one, two = task(name="a", tags={"x": "1"}), task(name="b")
    assert models.encode_document(one) == models.encode_document(two)
    assert models.encode_document(one) != models.encode_document(task(description="other"))


def test_document_with_five_thousand_executors():
    executors = [{"image": "a", "command": ["/bin/echo", str(i)]} for i in range(5000)]
    found = models.read_task(json.dumps({"executors": executors}).encode())
    raw = models.encode_document(found)
    assert models.read_document(raw).executors == found.executors


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(
        st.sampled_from(
            ["executors", "image", "command", "inputs", "path", "url", "resources", "env", "tags",
             "cpu_cores", "ram_gb", "backend_parameters", "outputs", "type", "volumes", "x"]
        ),
        inner, max_size=4,
    ),
    max_leaves=12,
)  # fmt: skip


@settings(derandomize=True, max_examples=400)
@given(json_values, st.binary(max_size=4))
def test_arbitrary_bodies_are_accepted_or_refused(value, junk):
    for body in (json.dumps(value).encode(), json.dumps(ONE | {"inputs": value}).encode(), junk):
        try:
            found = models.read_task(body)
            mapping.map_to_job(found, "j-1", "blue", ["north"], 1.0)
        except RequestError as refused:
            assert str(refused)


def test_openapi_document_is_valid_and_lists_every_state():
    from openapi_spec_validator import validate

    document = msgspec.json.decode(msgspec.json.encode(openapi.document("test")))
    validate(document)
    broken = msgspec.json.decode(msgspec.json.encode(document))
    del broken["info"]["version"]
    with pytest.raises(Exception, match="version"):
        validate(broken)
    schemas = document["components"]["schemas"]
    assert set(schemas["State"]["enum"]) == set(models.State)
    assert not {"id", "state", "logs", "creation_time"} & set(schemas["NewTask"]["properties"])


def test_basic_view_omits_long_fields():
    found = task(inputs=[{"path": "/a", "content": "secret"}], outputs=None)
    log = models.TaskLog([models.ExecutorLog(0, stdout="o", stderr="e")], [], system_logs=["s"])
    document = models.read_document(models.encode_document(found))
    fields = {"id": "j-1", "state": models.State.COMPLETE}
    full = msgspec.to_builtins(models.render_task(document, models.View.FULL, fields, [log]))
    basic = msgspec.to_builtins(models.render_task(document, models.View.BASIC, fields, [log]))
    assert full["inputs"][0]["content"] == "secret" and full["logs"][0]["system_logs"] == ["s"]
    assert "content" not in basic["inputs"][0] and "system_logs" not in basic["logs"][0]
    assert basic["logs"][0]["logs"] == [{"exit_code": 0}]
