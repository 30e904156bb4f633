"""Start the gateway from the packages that the build step copied."""

import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent

sys.path.insert(0, str(ROOT / "target" / "app"))

from teaselpond.platform.__main__ import main  # noqa: E402

main()
