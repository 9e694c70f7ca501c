"""coveflow: a cluster scheduler that plans with predicted runtimes."""

__version__ = "0.1.0"
