"""Start the gateway from the packages' source folders."""

import pathlib
import sys

PACKAGES = pathlib.Path(__file__).resolve().parent.parent / "packages"
for package in ("teaselpond", "teaselpond-model"):
    sys.path.insert(0, str(PACKAGES / package / "src"))

from teaselpond.platform.__main__ import main  # noqa: E402

main()
