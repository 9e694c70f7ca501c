"""`python -m coveflow --config FILE`: what the program's own file does, installed."""

import sys

from coveflow.program import main

if __name__ == "__main__":
    sys.exit(main())
