"""The daemon imports none of the tools: a slow start would let leases of running work expire."""

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
def test_daemon_does_not_import_the_tools(extra):
    # run.py sets sys.modules["ssl"] to None, so that nothing can import it.
    list_loaded = "print(*(name for name, module in sys.modules.items() if module))"
    code = f"import sys, run, coveflow.daemon.node; {extra}\n{list_loaded}"
    out = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, text=True, check=True
    )
    loaded = set(out.stdout.split()) & TOOLS
    # Verifies the check itself: a tool that is imported on purpose must be detected.
    assert loaded == ({"numpy"} if extra else set())
