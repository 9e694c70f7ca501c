"""Where a running lab is: what `lab up` wrote into its folder."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from coveflow.cli.errors import UserError


def running(folder: Path) -> dict[str, Any]:
    """`nodes` (users' addresses), `lab` (port of its own interface) and `pid`."""
    try:
        return json.loads((folder / "lab.json").read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise UserError(f"no lab runs in {folder}; start one: coveflow lab up") from error
