"""`python -m coveflow.cli`: the `coveflow` command without its script."""

from coveflow.cli.main import main

if __name__ == "__main__":
    main()
