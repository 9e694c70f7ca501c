"""Entry point of the installed package: `python -m coveflow --config FILE`."""

import sys

from coveflow.program import main

if __name__ == "__main__":
    sys.exit(main())
