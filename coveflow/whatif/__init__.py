"""The simulator: the daemon's own decisions in virtual time, against the lab's models."""
