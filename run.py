"""Start the coveflow daemon; everything else is in the package."""

import sys

ROOT = __file__.rpartition("/")[0] or "."
sys.path[:0] = [ROOT, f"{ROOT}/target/deps"]
# Byte code that the build left; a restarted controller must answer before leases run out.
sys.pycache_prefix = f"{ROOT}/target/pycache"
# Only a listener that operators gave a certificate speaks TLS, and loading it would take a quarter
# of the start-up time.
if "--tls" not in sys.argv:
    sys.modules["ssl"] = None  # type: ignore[assignment]

from coveflow.program import main  # noqa: E402  (needs the paths above)

if __name__ == "__main__":
    sys.exit(main())
