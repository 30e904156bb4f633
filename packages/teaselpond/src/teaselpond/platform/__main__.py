"""Run a gateway on the platform."""

import os
import sys

from teaselpond_model.exceptions import ImproperlyConfigured

from ..gateway.daemon import serve
from .adapter import PlatformAdapter


def main() -> None:
    """Load the settings and run a gateway; exit with 2 if they are invalid."""
    adapter = PlatformAdapter()
    try:
        settings = adapter.load_settings(os.environ)
    except ImproperlyConfigured as error:
        print(error, file=sys.stderr)
        sys.exit(2)
    serve(settings, adapter)


if __name__ == "__main__":
    main()
