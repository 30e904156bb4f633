"""Serve the platform's stand-in."""

import asyncio

from ..platform import PlatformStandin
from ..serving import serve


class PlatformCommand:
    """Serve the platform's stand-in until SIGTERM."""

    name = "platform"

    def __call__(
        self, port: int = 0, lag_seconds: float = 0.0, downloads_per_second: float = 2.0
    ) -> None:
        """Serve the host list, the stores and the weights on a port.

        ``lag_seconds`` delays changes of the host list.
        """
        standin = PlatformStandin(
            port=port,
            lag_seconds=lag_seconds,
            downloads_per_second=downloads_per_second,
        )
        asyncio.run(serve(standin))
