"""Start the gateway from the packages that the build step copied."""

import pathlib
import sys

# Libraries that find no TLS do without it. The gateway speaks plain HTTP only,
# and TLS takes 2 MB of memory and a tenth of the time of a start.
TLS_MODULES = ("ssl", "_ssl", "_hashlib")
ROOT = pathlib.Path(__file__).resolve().parent.parent

sys.path.insert(0, str(ROOT / "target" / "app"))
sys.modules.update(dict.fromkeys(TLS_MODULES))

from teaselpond.platform.__main__ import main  # noqa: E402

# Libraries that are imported later, as for metrics, may need it.
for module in TLS_MODULES:
    del sys.modules[module]

main()
