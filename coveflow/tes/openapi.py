"""The OpenAPI document served by the task API, generated from the models."""

from __future__ import annotations

import functools
from typing import Any

import msgspec

from coveflow import __version__
from coveflow.tes import models
from coveflow.tes.models import State, View

DOCUMENTED_TYPES = (
    models.Task, models.CreateTaskResponse, models.ListTasksResponse, models.CancelTaskResponse,
    models.ServiceInfo, models.Fault,
)  # fmt: skip
ERROR_DESCRIPTIONS = {
    "400": "The request is wrong; the message names the field or parameter.",
    "401": "No good token.",
    "403": "The token has no right to this.",
    "404": "No such task, or none that this token may know of.",
    "408": "The body took too long.",
    "413": "The body or the task is too large.",
    "415": "The body is encoded.",
    "429": "Beyond this interface's part of the budgets; come back after Retry-After.",
    "503": "Not now; come back after Retry-After.",
}
IDEMPOTENCY_KEY_DESCRIPTION = (
    "Submissions with the same key and the same task are one task, whatever node they reach."
    " Without a key a client that never saw the answer cannot know whether its task was accepted."
)


def _json_content(name: str) -> dict[str, Any]:
    return {"application/json": {"schema": {"$ref": f"#/components/schemas/{name}"}}}


def _responses(name: str, *faults: str) -> dict[str, Any]:
    good = {"200": {"description": "Good.", "content": _json_content(name)}}
    return good | {
        code: {"description": ERROR_DESCRIPTIONS[code], "content": _json_content("Fault")}
        for code in faults
    }


def _parameter(name: str, where: str, schema: dict[str, Any], **more: Any) -> dict[str, Any]:
    return {"name": name, "in": where, "schema": schema} | more


@functools.cache
def document(title: str) -> dict[str, Any]:
    """Return the complete document, in OpenAPI 3.1."""
    _, schemas = msgspec.json.schema_components(
        DOCUMENTED_TYPES, ref_template="#/components/schemas/{name}"
    )
    task = schemas["Task"]
    # No field is required in responses, as views omit some; NewTask has its own list.
    task["required"] = []
    for name in models.READ_ONLY:
        task["properties"][name]["readOnly"] = True
    sent = {k: v for k, v in task["properties"].items() if k not in models.READ_ONLY}
    schemas["NewTask"] = task | {
        "title": "NewTask", "properties": sent, "required": ["executors"],
    }  # fmt: skip
    text: dict[str, Any] = {"type": "string"}
    view = _parameter("view", "query", {"type": "string", "enum": list(View)})
    name = _parameter("id", "path", text, required=True)
    many = {"type": "array", "items": text}
    common = ("401", "403", "429", "503")
    return {
        "openapi": "3.1.0",
        "info": {
            "title": f"{title}: GA4GH task execution API 1.1",
            "version": __version__,
            "description": "The API that GA4GH publishes, and what this service adds to it.",
        },
        "servers": [{"url": "/ga4gh/tes/v1"}],
        "security": [{"bearer": []}],
        "paths": {
            "/service-info": {
                "get": {
                    "operationId": "GetServiceInfo",
                    "security": [],
                    "responses": _responses("ServiceInfo"),
                }
            },
            "/tasks": {
                "get": {
                    "operationId": "ListTasks",
                    "parameters": [
                        _parameter("name_prefix", "query", text),
                        _parameter("state", "query", {"type": "string", "enum": list(State)}),
                        _parameter("tag_key", "query", many, explode=True),
                        _parameter("tag_value", "query", many, explode=True),
                        _parameter(
                            "page_size", "query",
                            {"type": "integer", "minimum": 1, "maximum": 2047},
                        ),
                        _parameter("page_token", "query", text),
                        view,
                    ],
                    "responses": _responses("ListTasksResponse", "400", *common),
                },
                "post": {
                    "operationId": "CreateTask",
                    "parameters": [
                        _parameter(
                            "Idempotency-Key", "header", text | {"maxLength": 200},
                            description=IDEMPOTENCY_KEY_DESCRIPTION,
                        )
                    ],
                    "requestBody": {"required": True, "content": _json_content("NewTask")},
                    "responses": _responses(
                        "CreateTaskResponse", "400", "408", "413", "415", *common
                    )
                    | {"409": {
                        "description": "The key was used for another task.",
                        "content": _json_content("Fault"),
                    }},
                },
            },
            "/tasks/{id}": {
                "get": {
                    "operationId": "GetTask",
                    "parameters": [name, view],
                    "responses": _responses("Task", "400", "404", *common),
                }
            },
            "/tasks/{id}:cancel": {
                "post": {
                    "operationId": "CancelTask",
                    "parameters": [name],
                    "responses": _responses("CancelTaskResponse", "400", "404", *common),
                }
            },
        },
        "components": {
            "schemas": schemas,
            "securitySchemes": {
                "bearer": {
                    "type": "http", "scheme": "bearer",
                    "description": "A token of the operators' file, NAME.SECRET.",
                }
            },
        },
    }  # fmt: skip
