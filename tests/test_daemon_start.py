"""The daemon starts with nothing of the toolbox: its start-up time decides whether leases last."""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
TOOLS = {
    "click", "rich", "numpy", "pyarrow", "jinja2", "plotly", "hdrh", "hypothesis", "ssl",
    "sexpdata", "coveflow.cli", "coveflow.lab", "coveflow.trace", "coveflow.whatif",
    "coveflow.client", "coveflow.tes", "argon2",
}  # fmt: skip


@pytest.mark.parametrize("extra", ["", "import numpy"])
def test_the_daemon_loads_nothing_of_the_tools(extra):
    # run.py puts None in place of ssl, so that nothing can load it.
    look = "print(*(name for name, module in sys.modules.items() if module))"
    code = f"import sys, run, coveflow.daemon.node; {extra}\n{look}"
    out = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    loaded = set(out.stdout.split()) & TOOLS
    # With one of them imported on purpose the look must notice it.
    assert loaded == ({"numpy"} if extra else set())
