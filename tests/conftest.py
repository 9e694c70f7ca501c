"""What holds for all tests."""

# Its plugin loads it at the end where no test did, too deep in calls for CPython 3.11 to parse it.
import hypothesis  # noqa: F401
