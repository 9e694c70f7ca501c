"""`python -m coveflow.daemon --config FILE`: what the program's own file does, installed."""

import sys

from coveflow.daemon.program import main

if __name__ == "__main__":
    sys.exit(main())
