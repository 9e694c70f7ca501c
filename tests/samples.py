"""Builders of sample objects shared by the tests."""

from typing import Any

from coveflow.core.model import Flavor, Spec


def spec(name: str = "j-000001", **changes: Any) -> Spec:
    fields: dict[str, Any] = {
        "id": name, "workload": "sort", "team": "blue", "kind": "array", "priority": 1,
        "tasks": 4, "cpus": 1.0, "accelerators": 0.0, "ram_gb": 1.0, "image": "img",
        "image_gb": 1.0,
        "types": None, "zone": None, "one_zone": False, "spread": False, "spot": True,
        "expected_s": 30.0, "checkpoint_s": 0.0, "save_s": 0.0, "deadline_s": None,
    }  # fmt: skip
    return Spec(**(fields | changes))


def flavor(name: str = "m8", **changes: Any) -> Flavor:
    fields: dict[str, Any] = {
        "name": name, "cpus": 8.0, "accelerators": 0.0, "ram_gb": 32.0, "cache_gb": 50.0,
        "fetch_gb_per_s": 1.0, "price": 0.4, "spot_price": 0.1, "boot_s": 30.0,
        "zones": ["north", "south"],
    }  # fmt: skip
    return Flavor(**(fields | changes))
