"""The description of a running lab, as `lab up` writes it into the lab's folder."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from coveflow.cli.errors import UserError


def read_running_lab(folder: Path) -> dict[str, Any]:
    """Read `nodes` (addresses for users), `lab` (port of the lab's own interface) and `pid`."""
    try:
        return json.loads((folder / "lab.json").read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise UserError(f"no lab runs in {folder}; start one: coveflow lab up") from error
