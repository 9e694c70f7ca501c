"""Start the coveflow daemon from a source tree."""

import sys

ROOT = __file__.rpartition("/")[0] or "."
sys.path[:0] = [ROOT, f"{ROOT}/target/deps"]
# Bytecode compiled by the build: a restarted controller must answer before leases expire.
sys.pycache_prefix = f"{ROOT}/target/pycache"
# Only a listener with a certificate needs TLS. Loading it takes a quarter of the start-up time.
if "--tls" not in sys.argv:
    sys.modules["ssl"] = None  # type: ignore[assignment]

from coveflow.program import main  # noqa: E402  (needs the paths above)

if __name__ == "__main__":
    sys.exit(main())
