"""Small deployments after the users' brief: few machines, quick boots, otherwise their numbers."""

from __future__ import annotations

from pathlib import Path

from standins import World, flavor

ATLAS_ZONES = ["casa-colo", "rabat-dc"]
SURCO_ZONES = ["coban-rack", "xela-rack"]


def atlas(folder: Path, capacity: dict, **more) -> World:
    """Nightly member analytics: atlasfit-ops."""
    types = [
        flavor("small-8", 8.0, 32.0, 0.37, 0.1, 25.0, ATLAS_ZONES, 50.0, 0.8),
        flavor("big-64", 64.0, 128.0, 2.58, 0.72, 15.0, ATLAS_ZONES, 80.0, 0.4),
    ]
    team = {"name": "retention-desk", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
    return World(folder, **{
        "controllers": 3, "zones": ATLAS_ZONES, "flavors": types, "capacity": capacity,
        "teams": [team],
        "workers": {"report_s": 0.8, "lease_s": 10.0, "gang_wait_s": 30.0, "gang_peer_s": 8.0,
                    "cancel_s": 40.0},
        "state": {"rps": 250.0, "write_rps": 50.0, "value_kb": 16.0, "txn_ops": 32},
        "cloud": {"rps": 3.0, "list_lag_s": 10.0},
        "resources": {"cpu": 0.54, "ram_mb": 146.0, "max_connections": 800},
        "run_s": lambda spec, task: spec["expected_s"], "restart_s": 8.0,
        "clock_error_ms": 1000.0,
    } | more)  # fmt: skip


def surco(folder: Path, capacity: dict, **more) -> World:
    """Field boundary mapping: surco-cluster."""
    types = [
        flavor("worker-8", 8.0, 32.0, 0.33, 0.13, 40.0, SURCO_ZONES, 70.0, 0.8),
        flavor("worker-16", 16.0, 128.0, 0.73, 0.32, 15.0, SURCO_ZONES, 30.0, 0.8),
    ]
    teams = [
        {"name": name, "cpus": least, "cpus_max": most, "gpus": 0.0, "gpus_max": 0.0}
        for name, least, most in
        (("mapeo", 104.0, 352.0), ("campo", 104.0, 440.0), ("datos-suelo", 128.0, 216.0))
    ]  # fmt: skip
    return World(folder, **{
        "controllers": 3, "zones": SURCO_ZONES, "flavors": types, "capacity": capacity,
        "teams": teams,
        "workers": {"report_s": 2.0, "lease_s": 12.0, "gang_wait_s": 40.0, "gang_peer_s": 5.0,
                    "cancel_s": 37.0},
        "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 8.0, "txn_ops": 24},
        "cloud": {"rps": 3.0, "list_lag_s": 12.0},
        "resources": {"cpu": 0.72, "ram_mb": 186.0, "max_connections": 1500},
        "run_s": lambda spec, task: spec["expected_s"], "restart_s": 5.0,
        "clock_error_ms": 25.0,
    } | more)  # fmt: skip
