"""Run a gateway on the platform."""

import os
import sys

from ..gateway.lifecycle.loading import sharing_repr, without_tls
from ..gateway.lifecycle.stopping import end_on_stop_signal


def main() -> None:
    """Load the settings and run a gateway; exit with 2 if they are invalid."""
    end_on_stop_signal()
    with without_tls(), sharing_repr():
        from teaselpond_model.exceptions import ImproperlyConfigured

        from ..listening import open_listeners
        from .settings import load_settings

        try:
            settings = load_settings(os.environ)
        except ImproperlyConfigured as error:
            print(error, file=sys.stderr)
            sys.exit(2)
        listeners_by_address = open_listeners(settings.listeners.addresses())
        # Callers can connect from here on. The imports take most of a start.
        from ..gateway.daemon import serve
        from .adapter import PlatformAdapter

    serve(settings, PlatformAdapter(), listeners_by_address)


if __name__ == "__main__":
    main()
