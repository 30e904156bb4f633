"""Start the gateway from the packages' source folders."""

import os
import pathlib
import sys

# The gateway only uses plain HTTP. Without this setting the HTTP library loads
# all certificate authorities, which takes a tenth of a second and 2 MB.
os.environ.setdefault("SSL_CERT_FILE", os.devnull)

PACKAGES = pathlib.Path(__file__).resolve().parent.parent / "packages"
for package in ("teaselpond", "teaselpond-model"):
    sys.path.insert(0, str(PACKAGES / package / "src"))

from teaselpond.platform.__main__ import main  # noqa: E402

main()
