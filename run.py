"""Start the coveflow daemon; everything else is in the package."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from coveflow.cli import main  # noqa: E402  (needs the paths above)

if __name__ == "__main__":
    sys.exit(main())
